#ifndef CARAWAYHAVEN_PROXY_RESOLVABLE_ID_H_
#define CARAWAYHAVEN_PROXY_RESOLVABLE_ID_H_

#include <cstddef>
#include <string_view>

namespace carawayhaven {

inline constexpr std::size_t kMaxResolvableIdBytes = 256;
inline constexpr char kResolvableIdRule[] =
    "must have 1 to 256 letters, digits or characters of -._~:@+=";

/// Returns whether a request id can be resolved through the admin API. HTTP
/// libraries decode and normalise other characters in a path, so that a request
/// other than the intended one could be cancelled; callers resolve requests
/// with such ids themselves.
bool IsResolvableId(std::string_view id);

}  // namespace carawayhaven

#endif  // CARAWAYHAVEN_PROXY_RESOLVABLE_ID_H_
