#include "core/session/primary_rights.h"

#include <algorithm>

namespace carawayhaven {

bool PrimaryLeases::Grant(const ServiceName& service,
                          const PrimaryLease& lease) {
  const auto [entry, is_new] = leases_.try_emplace(service, lease);
  if (is_new) return true;
  PrimaryLease& current = entry->second;
  if (lease.term < current.term) return false;
  if (lease.term == current.term && lease.endpoint == current.endpoint) {
    current.expires = std::max(current.expires, lease.expires);
    return false;
  }
  current = lease;
  return true;
}

const PrimaryLease* PrimaryLeases::FindValid(const ServiceName& service,
                                             TimePoint now) const {
  const PrimaryLease* lease = FindLatest(service);
  return lease != nullptr && now < lease->expires ? lease : nullptr;
}

const PrimaryLease* PrimaryLeases::FindLatest(
    const ServiceName& service) const {
  const auto found = leases_.find(service);
  return found == leases_.end() ? nullptr : &found->second;
}

}  // namespace carawayhaven
