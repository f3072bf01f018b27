#include "core/config/config_exchange_limiter.h"

#include <gtest/gtest.h>

namespace carawayhaven {
namespace {

using std::chrono::milliseconds;

class ConfigExchangeLimiterOfAVm : public ::testing::Test {
 protected:
  /// Counts the copies that are sent when a peer shows an older version every
  /// 250 ms for 10 s.
  int CopiesIn10Seconds(std::uint64_t version) {
    int copies = 0;
    for (int i = 0; i < 40; ++i, now_ += milliseconds(250)) {
      if (!limiter_.MaySend("vm-2", version, now_)) continue;
      limiter_.OnSent("vm-2", version, now_);
      ++copies;
    }
    return copies;
  }

  TimePoint now_ = TimePoint(std::chrono::seconds(100));
  ConfigExchangeLimiter limiter_;
};

// Guards against links that are filled by copies of one version.
TEST_F(ConfigExchangeLimiterOfAVm, OneVersionIsSentAtIntervals) {
  EXPECT_EQ(CopiesIn10Seconds(7), 7);
}

// Guards against a version that comes late because an earlier one was sent.
TEST_F(ConfigExchangeLimiterOfAVm, NewVersionAndOtherPeersDoNotWait) {
  limiter_.OnSent("vm-2", 7, now_);
  EXPECT_FALSE(limiter_.MaySend("vm-2", 7, now_));
  EXPECT_FALSE(limiter_.MaySend("vm-2", 6, now_));
  EXPECT_TRUE(limiter_.MaySend("vm-2", 8, now_));
  EXPECT_TRUE(limiter_.MaySend("vm-3", 7, now_));
}

// Guards against a version that comes late because its copy was lost.
TEST_F(ConfigExchangeLimiterOfAVm, LostPeerDoesNotWait) {
  limiter_.OnSent("vm-2", 7, now_);
  limiter_.OnPeerLost("vm-2");
  EXPECT_TRUE(limiter_.MaySend("vm-2", 7, now_));
}

// Guards against one copy from each of the peers that show a new version.
TEST_F(ConfigExchangeLimiterOfAVm, OneVersionIsRequestedAtIntervals) {
  EXPECT_TRUE(limiter_.MayRequest(7, now_));
  limiter_.OnRequested(7, now_);
  EXPECT_FALSE(limiter_.MayRequest(7, now_ + milliseconds(999)));
  EXPECT_TRUE(limiter_.MayRequest(8, now_));
  EXPECT_TRUE(limiter_.MayRequest(7, now_ + milliseconds(1000)));
}

// Guards against a copy of each version of a storm from the leader to each VM
// of the other data centres, which get these versions from the store.
TEST_F(ConfigExchangeLimiterOfAVm, VmThatAdvancesInAStormIsNotStuck) {
  for (std::uint64_t version = 1; version <= 25; ++version) {
    EXPECT_FALSE(limiter_.IsStuck("vm-2", version, now_)) << version;
    now_ += milliseconds(250);
  }
}

// Guards against a VM that stays at an old version because its data centre gets
// none from the store.
TEST_F(ConfigExchangeLimiterOfAVm, VmThatStaysBehindIsStuck) {
  EXPECT_FALSE(limiter_.IsStuck("vm-2", 7, now_));
  EXPECT_FALSE(limiter_.IsStuck("vm-2", 7, now_ + milliseconds(599)));
  EXPECT_TRUE(limiter_.IsStuck("vm-2", 7, now_ + milliseconds(600)));
  EXPECT_FALSE(limiter_.IsStuck("vm-3", 7, now_ + milliseconds(600)));
}

}  // namespace
}  // namespace carawayhaven
