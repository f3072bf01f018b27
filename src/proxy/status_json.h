#ifndef CARAWAYHAVEN_PROXY_STATUS_JSON_H_
#define CARAWAYHAVEN_PROXY_STATUS_JSON_H_

#include <string>

namespace carawayhaven {

struct ProxyStatus;

/// Returns the status as JSON text. Durations are in milliseconds.
std::string FormatStatusJson(const ProxyStatus& status);

}  // namespace carawayhaven

#endif  // CARAWAYHAVEN_PROXY_STATUS_JSON_H_
