#ifndef CARAWAYHAVEN_CORE_CONFIG_CONFIG_EVIDENCE_H_
#define CARAWAYHAVEN_CORE_CONFIG_CONFIG_EVIDENCE_H_

#include <algorithm>
#include <cstdint>

#include "carawayhaven/time.h"

namespace carawayhaven {

/// Tracks until when the configuration in force was known to be the latest one.
/// A VM that knows this may refuse what its configuration does not permit. Not
/// thread-safe.
class ConfigEvidence {
 public:
  /// A configuration takes effect within 5 s. One that was the latest this long
  /// ago has only successors that are still within that time. The store's watch
  /// and a peer's answer together are at most 3 s old in calm conditions.
  static constexpr Duration kMaxAge = std::chrono::milliseconds(4500);

  /// All changes that the store had made at `at` have been applied.
  void OnStoreAnswer(TimePoint at) {
    confirmed_at_ = std::max(confirmed_at_, at);
  }

  /// A peer showed its version in the reply to a request that was sent at
  /// `sent`. `age` is the time since that version was known to be the latest;
  /// negative when unknown.
  void OnPeer(std::uint64_t own_version, std::uint64_t version, Duration age,
              TimePoint sent) {
    newest_seen_ = std::max(newest_seen_, version);
    if (version == own_version && age >= Duration{0}) {
      OnStoreAnswer(sent - age);
    }
  }

  bool IsCurrent(std::uint64_t own_version, TimePoint now) const {
    return own_version >= newest_seen_ && confirmed_at_ != TimePoint() &&
           now - confirmed_at_ <= kMaxAge;
  }

  /// Latest time at which the version in force was known to be the latest one;
  /// TimePoint() if it never was.
  TimePoint confirmed_at() const { return confirmed_at_; }

 private:
  TimePoint confirmed_at_;
  std::uint64_t newest_seen_ = 0;
};

}  // namespace carawayhaven

#endif  // CARAWAYHAVEN_CORE_CONFIG_CONFIG_EVIDENCE_H_
