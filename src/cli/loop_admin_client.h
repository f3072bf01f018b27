#ifndef CARAWAYHAVEN_CLI_LOOP_ADMIN_CLIENT_H_
#define CARAWAYHAVEN_CLI_LOOP_ADMIN_CLIENT_H_

#include <string>

#include "carawayhaven/time.h"
#include "cli/admin_client.h"

namespace carawayhaven {

/// Admin client over HTTP. Each call runs its own event loop. Not thread-safe.
class LoopAdminClient : public AdminClient {
 public:
  /// Exceeds the longest duration of a submission (kSubmitTimeout, 10 s).
  static constexpr Duration kCallTimeout = std::chrono::seconds(15);

  HttpResponse Call(const std::string& address,
                    const HttpRequest& request) override;
};

}  // namespace carawayhaven

#endif  // CARAWAYHAVEN_CLI_LOOP_ADMIN_CLIENT_H_
