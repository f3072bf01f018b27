#include "proxy/resolvable_id.h"

#include <algorithm>
#include <cctype>

namespace carawayhaven {

bool IsResolvableId(std::string_view id) {
  constexpr std::string_view kMarks = "-._~:@+=";
  return !id.empty() && id.size() <= kMaxResolvableIdBytes && id != "." &&
         id != ".." &&
         std::all_of(id.begin(), id.end(), [kMarks](unsigned char c) {
           return std::isalnum(c) != 0 ||
                  kMarks.find(static_cast<char>(c)) != std::string_view::npos;
         });
}

}  // namespace carawayhaven
