#include "proxy/nearest_name.h"

#include <algorithm>
#include <cstddef>
#include <numeric>
#include <vector>

namespace carawayhaven {
namespace {

// Only this many bytes of the text are compared, which bounds the work for
// unknown keys of any length.
constexpr std::size_t kMaxComparedBytes = 64;

std::size_t EditDistance(std::string_view a, std::string_view b) {
  std::vector<std::size_t> row(b.size() + 1);
  std::iota(row.begin(), row.end(), std::size_t{0});
  for (std::size_t i = 1; i <= a.size(); ++i) {
    std::size_t diagonal = row[0];
    row[0] = i;
    for (std::size_t j = 1; j <= b.size(); ++j) {
      const std::size_t substitution =
          diagonal + (a[i - 1] == b[j - 1] ? 0 : 1);
      diagonal = row[j];
      row[j] = std::min({substitution, row[j] + 1, row[j - 1] + 1});
    }
  }
  return row[b.size()];
}

}  // namespace

std::string_view NearestName(std::string_view text,
                             std::span<const std::string_view> names) {
  const std::string_view compared = text.substr(0, kMaxComparedBytes);
  return *std::min_element(names.begin(), names.end(),
                           [compared](std::string_view a, std::string_view b) {
                             return EditDistance(compared, a) <
                                    EditDistance(compared, b);
                           });
}

}  // namespace carawayhaven
