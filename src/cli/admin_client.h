#ifndef CARAWAYHAVEN_CLI_ADMIN_CLIENT_H_
#define CARAWAYHAVEN_CLI_ADMIN_CLIENT_H_

#include <string>

#include "net/http_server.h"

namespace carawayhaven {

/// Client for the admin API of a proxy.
class AdminClient {
 public:
  virtual ~AdminClient() = default;

  /// Sends the request to `address` ("IP:port") and blocks until the response
  /// arrives. Without a response, the returned status is 0; the request may
  /// still have been executed.
  virtual HttpResponse Call(const std::string& address,
                            const HttpRequest& request) = 0;
};

}  // namespace carawayhaven

#endif  // CARAWAYHAVEN_CLI_ADMIN_CLIENT_H_
