#ifndef CARAWAYHAVEN_CORE_LIMITS_LIMIT_OBSERVER_H_
#define CARAWAYHAVEN_CORE_LIMITS_LIMIT_OBSERVER_H_

#include "carawayhaven/names.h"

namespace carawayhaven {

/// Notified when an organisation starts or stops to exceed its limit.
class LimitObserver {
 public:
  virtual ~LimitObserver() = default;

  /// `over` is true when an operation is refused, and false when none was for
  /// some seconds. Not called more than once per second for an organisation.
  virtual void OnOverLimit(const OrganisationName& organisation, bool over) = 0;
};

}  // namespace carawayhaven

#endif  // CARAWAYHAVEN_CORE_LIMITS_LIMIT_OBSERVER_H_
