#ifndef CARAWAYHAVEN_CORE_FAILOVER_PROMOTION_SERVICE_H_
#define CARAWAYHAVEN_CORE_FAILOVER_PROMOTION_SERVICE_H_

#include <cstdint>
#include <functional>

#include "carawayhaven/names.h"

namespace carawayhaven {

enum class PromotionResult : std::uint8_t {
  /// The endpoint is the primary already, or becomes it soon.
  kAccepted,
  /// The endpoint is not running, or a newer order was accepted; nothing
  /// changed.
  kRefused,
  /// The service cannot take the order now; nothing changed.
  kUnavailable,
  /// No answer, or one that does not tell whether the order was taken; it may
  /// still take effect.
  kUnknown,
};

/// Orders the database group to change its primary.
class PromotionService {
 public:
  using Callback = std::function<void(PromotionResult)>;

  virtual ~PromotionService() = default;

  /// Orders `endpoint` to become the primary. `token` is a fencing token: it
  /// must be above that of every earlier leader. `done` is called once, from
  /// the event loop.
  virtual void Promote(const ServiceName& service, const EndpointName& endpoint,
                       const VmName& leader, std::uint64_t token,
                       Callback done) = 0;
};

}  // namespace carawayhaven

#endif  // CARAWAYHAVEN_CORE_FAILOVER_PROMOTION_SERVICE_H_
