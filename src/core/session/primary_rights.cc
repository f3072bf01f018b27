#include "core/session/primary_rights.h"

#include <algorithm>

namespace carawayhaven {

bool PrimaryRights::Grant(const ServiceName& service,
                          const PrimaryRight& right) {
  const auto [entry, is_new] = rights_.try_emplace(service, right);
  if (is_new) return true;
  PrimaryRight& held = entry->second;
  if (right.term < held.term) return false;
  if (right.term == held.term && right.endpoint == held.endpoint) {
    held.expires = std::max(held.expires, right.expires);
    return false;
  }
  held = right;
  return true;
}

const PrimaryRight* PrimaryRights::Valid(const ServiceName& service,
                                         TimePoint now) const {
  const PrimaryRight* right = Last(service);
  return right != nullptr && now < right->expires ? right : nullptr;
}

const PrimaryRight* PrimaryRights::Last(const ServiceName& service) const {
  const auto found = rights_.find(service);
  return found == rights_.end() ? nullptr : &found->second;
}

}  // namespace carawayhaven
