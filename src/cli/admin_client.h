#ifndef CARAWAYHAVEN_CLI_ADMIN_CLIENT_H_
#define CARAWAYHAVEN_CLI_ADMIN_CLIENT_H_

#include <string>

#include "net/http_server.h"

namespace carawayhaven {

/// Calls the admin API of a proxy.
class AdminClient {
 public:
  virtual ~AdminClient() = default;

  /// Sends the request to "IP:port" and waits for the response. Its status is
  /// 0 when there was none: the request may have had an effect.
  virtual HttpResponse Call(const std::string& address,
                            const HttpRequest& request) = 0;
};

}  // namespace carawayhaven

#endif  // CARAWAYHAVEN_CLI_ADMIN_CLIENT_H_
