#ifndef CARAWAYHAVEN_CORE_LIMITS_ORGANISATION_LIMITER_H_
#define CARAWAYHAVEN_CORE_LIMITS_ORGANISATION_LIMITER_H_

#include <cstdint>
#include <string_view>

#include "carawayhaven/time.h"

namespace carawayhaven {

/// Decision about one operation of an organisation.
struct LimitDecision {
  enum class Kind : std::uint8_t {
    kAdmitted,
    /// Not admitted now; a token from a peer may arrive within `retry_after`.
    kWait,
    /// Over the limit.
    kRefused,
  };

  Kind kind = Kind::kAdmitted;
  /// kWait, kRefused: time after which the operation may be admitted.
  Duration retry_after{0};
};

/// Enforces the limits of organisations, which hold for all VMs together. Not
/// thread-safe; all calls must come from the thread of the event loop.
class OrganisationLimiter {
 public:
  virtual ~OrganisationLimiter() = default;

  /// Asks to run one operation, and counts it if it is admitted. An
  /// organisation without a limit is always admitted.
  virtual LimitDecision Take(std::string_view organisation, TimePoint now) = 0;

  /// Asks again for an operation that was told to wait.
  virtual LimitDecision TakeAgain(std::string_view organisation,
                                  TimePoint now) = 0;

  /// Notified that an operation that was told to wait is refused after all.
  virtual void OnRefused(std::string_view organisation, TimePoint now) = 0;

  /// Counts a repeated send of an operation that was admitted before, also if
  /// that exceeds the present allowance.
  virtual void TakeForced(std::string_view organisation, TimePoint now) = 0;
};

}  // namespace carawayhaven

#endif  // CARAWAYHAVEN_CORE_LIMITS_ORGANISATION_LIMITER_H_
