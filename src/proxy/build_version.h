#ifndef CARAWAYHAVEN_PROXY_BUILD_VERSION_H_
#define CARAWAYHAVEN_PROXY_BUILD_VERSION_H_

namespace carawayhaven {

inline constexpr char kBuildVersion[] = "0.1.0";

}  // namespace carawayhaven

#endif  // CARAWAYHAVEN_PROXY_BUILD_VERSION_H_
