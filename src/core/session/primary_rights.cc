#include "core/session/primary_rights.h"

#include <algorithm>

namespace carawayhaven {

bool PrimaryLeases::Grant(const ServiceName& service,
                          const PrimaryLease& lease) {
  const auto [entry, is_new] = leases_.try_emplace(service, lease);
  if (is_new) return true;
  PrimaryLease& held = entry->second;
  if (lease.term < held.term) return false;
  if (lease.term == held.term && lease.endpoint == held.endpoint) {
    held.expires = std::max(held.expires, lease.expires);
    return false;
  }
  held = lease;
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
