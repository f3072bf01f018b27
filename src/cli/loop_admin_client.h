#ifndef CARAWAYHAVEN_CLI_LOOP_ADMIN_CLIENT_H_
#define CARAWAYHAVEN_CLI_LOOP_ADMIN_CLIENT_H_

#include <string>

#include "carawayhaven/time.h"
#include "cli/admin_client.h"

namespace carawayhaven {

/// Calls over HTTP, each on an event loop of its own. Not thread-safe.
class LoopAdminClient : public AdminClient {
 public:
  /// Longer than a submission takes at most (kSubmitTimeout, 10 s).
  static constexpr Duration kCallTimeout = std::chrono::seconds(15);

  HttpResponse Call(const std::string& address,
                    const HttpRequest& request) override;
};

}  // namespace carawayhaven

#endif  // CARAWAYHAVEN_CLI_LOOP_ADMIN_CLIENT_H_
