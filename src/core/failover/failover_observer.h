#ifndef CARAWAYHAVEN_CORE_FAILOVER_FAILOVER_OBSERVER_H_
#define CARAWAYHAVEN_CORE_FAILOVER_FAILOVER_OBSERVER_H_

#include <string_view>

#include "carawayhaven/names.h"
#include "carawayhaven/time.h"

namespace carawayhaven {

/// Is told what the failover logic of this VM believes and does.
class FailoverObserver {
 public:
  virtual ~FailoverObserver() = default;

  /// Another VM, or none, grants rights now.
  virtual void OnLeaderChanged(const VmName& leader, bool self) = 0;

  /// The state of a service's primary changed; `why` names the input that
  /// decided it and `age` how old that input is.
  virtual void OnPrimaryStateChanged(const ServiceName& service,
                                     std::string_view state,
                                     const EndpointName& endpoint, Term term,
                                     std::string_view why, Duration age) = 0;

  /// The store has stopped or started to answer for the objects below a prefix.
  virtual void OnStoreReachable(std::string_view prefix, bool reachable) = 0;

  /// An object of the proxy's own could not be read; it is passed over.
  virtual void OnMalformedObject(std::string_view path,
                                 std::string_view error) = 0;
};

}  // namespace carawayhaven

#endif  // CARAWAYHAVEN_CORE_FAILOVER_FAILOVER_OBSERVER_H_
