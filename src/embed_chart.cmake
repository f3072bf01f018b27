# Generates HEADER, which defines the text of the file CHART as a string
# constant named after NAME in CamelCase with the prefix k.
file(READ ${CHART} text)
string(REPLACE "_" ";" words ${NAME})
set(constant k)
foreach(word ${words})
  string(SUBSTRING ${word} 0 1 first)
  string(SUBSTRING ${word} 1 -1 rest)
  string(TOUPPER ${first} first)
  string(APPEND constant ${first}${rest})
endforeach()
file(WRITE ${HEADER} "#pragma once\n
namespace carawayhaven::charts {
inline constexpr char ${constant}[] = R\"chart(${text})chart\";
}  // namespace carawayhaven::charts\n")
