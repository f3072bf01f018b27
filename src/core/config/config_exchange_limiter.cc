#include "core/config/config_exchange_limiter.h"

namespace carawayhaven {

bool ConfigExchangeLimiter::MaySend(const VmName& vm, std::uint64_t version,
                                    TimePoint now) const {
  const auto found = sent_.find(vm);
  return found == sent_.end() || found->second.version < version ||
         now - found->second.at >= kResendDelay;
}

void ConfigExchangeLimiter::OnSent(const VmName& vm, std::uint64_t version,
                                   TimePoint now) {
  sent_[vm] = {version, now};
}

bool ConfigExchangeLimiter::IsStuck(const VmName& vm, std::uint64_t shown,
                                    TimePoint now) {
  const auto [found, is_new] = shown_.try_emplace(vm, Exchange{shown, now});
  if (found->second.version != shown) found->second = {shown, now};
  return now - found->second.at >= kLocalDeliveryTime;
}

bool ConfigExchangeLimiter::MayRequest(std::uint64_t version,
                                       TimePoint now) const {
  return requested_.version < version || now - requested_.at >= kRequestDelay;
}

void ConfigExchangeLimiter::OnRequested(std::uint64_t version, TimePoint now) {
  requested_ = {version, now};
}

}  // namespace carawayhaven
