#ifndef CARAWAYHAVEN_PROXY_NEAREST_NAME_H_
#define CARAWAYHAVEN_PROXY_NEAREST_NAME_H_

#include <span>
#include <string_view>

namespace carawayhaven {

/// Returns the name with the smallest edit distance to `text`, the first one if
/// several have it. Precondition: `names` is not empty.
std::string_view NearestName(std::string_view text,
                             std::span<const std::string_view> names);

}  // namespace carawayhaven

#endif  // CARAWAYHAVEN_PROXY_NEAREST_NAME_H_
