#ifndef CARAWAYHAVEN_CORE_SESSION_PRIMARY_RIGHTS_H_
#define CARAWAYHAVEN_CORE_SESSION_PRIMARY_RIGHTS_H_

#include <map>
#include <optional>

#include "carawayhaven/names.h"
#include "carawayhaven/time.h"

namespace carawayhaven {

/// Permission to treat an endpoint as the primary of its group until the lease
/// expires. No other endpoint of the group is promoted before then.
struct PrimaryLease {
  EndpointName endpoint;
  Term term = 0;
  TimePoint expires;
};

/// The latest primary lease of each service on this VM. Not thread-safe.
class PrimaryLeases {
 public:
  /// Stores a lease. A lease of a lower term than the current one is ignored,
  /// and a renewal never shortens the lease. Returns true if the endpoint or
  /// the term changed.
  bool Grant(const ServiceName& service, const PrimaryLease& lease);

  /// Returns the lease that is valid at `now`, or null.
  const PrimaryLease* FindValid(const ServiceName& service,
                                TimePoint now) const;

  /// Returns the latest lease, which may have expired, or null.
  const PrimaryLease* FindLatest(const ServiceName& service) const;

  const std::map<ServiceName, PrimaryLease>& all() const { return leases_; }

 private:
  std::map<ServiceName, PrimaryLease> leases_;
};

}  // namespace carawayhaven

#endif  // CARAWAYHAVEN_CORE_SESSION_PRIMARY_RIGHTS_H_
