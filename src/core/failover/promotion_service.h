#ifndef CARAWAYHAVEN_CORE_FAILOVER_PROMOTION_SERVICE_H_
#define CARAWAYHAVEN_CORE_FAILOVER_PROMOTION_SERVICE_H_

#include <cstdint>
#include <functional>

#include "carawayhaven/names.h"

namespace carawayhaven {

enum class PromotionResult : std::uint8_t {
  /// The endpoint leads soon, or leads already.
  kAccepted,
  /// The endpoint does not run, or a newer order stands; nothing changed.
  kRefused,
  /// Not now; nothing changed.
  kUnavailable,
  /// No answer; the order may take effect.
  kUnknown,
};

/// Orders the database group to change its primary.
class PromotionService {
 public:
  using Callback = std::function<void(PromotionResult)>;

  virtual ~PromotionService() = default;

  /// `token` must be above that of every earlier holder. `done` is called once,
  /// from the loop.
  virtual void Promote(const ServiceName& service, const EndpointName& endpoint,
                       const VmName& leader, std::uint64_t token,
                       Callback done) = 0;
};

}  // namespace carawayhaven

#endif  // CARAWAYHAVEN_CORE_FAILOVER_PROMOTION_SERVICE_H_
