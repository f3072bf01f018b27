#ifndef CARAWAYHAVEN_CORE_SESSION_PRIMARY_RIGHTS_H_
#define CARAWAYHAVEN_CORE_SESSION_PRIMARY_RIGHTS_H_

#include <map>
#include <optional>

#include "carawayhaven/names.h"
#include "carawayhaven/time.h"

namespace carawayhaven {

/// The right to treat an endpoint as the primary of its group until it expires.
/// No other endpoint of the group is promoted before then.
struct PrimaryLease {
  EndpointName endpoint;
  Term term = 0;
  TimePoint expires;
};

/// The rights that this VM holds. Not thread-safe.
class PrimaryLeases {
 public:
  /// Takes a grant. A grant of a lower term than the held one is ignored, and
  /// the expiry of a right is never brought forward. Returns true when the
  /// endpoint or the term is another than before.
  bool Grant(const ServiceName& service, const PrimaryLease& lease);

  /// Returns the right that holds at `now`, or null.
  const PrimaryLease* FindValid(const ServiceName& service,
                                TimePoint now) const;

  /// Returns the last right, which may have expired, or null.
  const PrimaryLease* FindLatest(const ServiceName& service) const;

  const std::map<ServiceName, PrimaryLease>& all() const { return leases_; }

 private:
  std::map<ServiceName, PrimaryLease> leases_;
};

}  // namespace carawayhaven

#endif  // CARAWAYHAVEN_CORE_SESSION_PRIMARY_RIGHTS_H_
