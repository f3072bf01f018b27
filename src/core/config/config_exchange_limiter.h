#ifndef CARAWAYHAVEN_CORE_CONFIG_CONFIG_EXCHANGE_LIMITER_H_
#define CARAWAYHAVEN_CORE_CONFIG_CONFIG_EXCHANGE_LIMITER_H_

#include <cstdint>
#include <map>

#include "carawayhaven/names.h"
#include "carawayhaven/time.h"

namespace carawayhaven {

/// Limits how often one version of a configuration is sent to a peer and
/// requested from peers. Without it, each message that shows an older version
/// causes another copy while the first one is in transit, and the copies of a
/// large configuration fill the links. Not thread-safe.
class ConfigExchangeLimiter {
 public:
  /// A copy that has had no effect after this time is sent again.
  static constexpr Duration kResendDelay = std::chrono::milliseconds(1500);
  /// A version that has not arrived after this time is requested again.
  static constexpr Duration kRequestDelay = std::chrono::milliseconds(1000);
  /// Each data centre has a VM that reads new versions from the store and sends
  /// them to the others. Another data centre helps out after this time, which
  /// allows for a large version on a slow link.
  static constexpr Duration kLocalDeliveryTime = std::chrono::milliseconds(600);

  /// True if the version, or a later one, was not sent to the peer within
  /// kResendDelay before `now`.
  bool MaySend(const VmName& vm, std::uint64_t version, TimePoint now) const;
  void OnSent(const VmName& vm, std::uint64_t version, TimePoint now);
  /// The connection to the peer ended; what was sent may be lost.
  void OnPeerLost(const VmName& vm) {
    sent_.erase(vm);
    shown_.erase(vm);
  }

  /// To be called whenever a VM shows a version that is older than the known
  /// one. True if it has shown the same one for kLocalDeliveryTime, so that it
  /// seems to get no later one within its data centre.
  bool IsStuck(const VmName& vm, std::uint64_t shown, TimePoint now);

  /// True if the version, or a later one, was not requested from any peer
  /// within kRequestDelay before `now`.
  bool MayRequest(std::uint64_t version, TimePoint now) const;
  void OnRequested(std::uint64_t version, TimePoint now);

 private:
  struct Exchange {
    std::uint64_t version = 0;
    TimePoint at;
  };

  std::map<VmName, Exchange> sent_;
  /// The older version that a VM showed last, and since when.
  std::map<VmName, Exchange> shown_;
  Exchange requested_;
};

}  // namespace carawayhaven

#endif  // CARAWAYHAVEN_CORE_CONFIG_CONFIG_EXCHANGE_LIMITER_H_
