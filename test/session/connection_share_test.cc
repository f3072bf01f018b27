#include "core/session/connection_share.h"

#include <gtest/gtest.h>

namespace carawayhaven {
namespace {

using std::chrono::seconds;

class ConnectionShareOfTwelveVms : public ::testing::Test {
 protected:
  ConnectionShareOfTwelveVms() { share_.SetVmCount(12, now_); }

  TimePoint now_ = TimePoint(std::chrono::hours(1));
  ConnectionShare share_;
};

TEST(ConnectionShareAtStart, NoVmIsKnownOneConnectionIsOpened) {
  EXPECT_EQ(ConnectionShare().LimitFor(195), 1U);
}

TEST_F(ConnectionShareOfTwelveVms, PlentyOfConnectionsAThirdStaysFree) {
  EXPECT_EQ(share_.LimitFor(195), 10U);
}

TEST_F(ConnectionShareOfTwelveVms, FewConnectionsAllButTheReserveAreUsed) {
  EXPECT_EQ(share_.LimitFor(53), 4U);
}

TEST_F(ConnectionShareOfTwelveVms, FewerConnectionsThanVmsOneIsLeft) {
  EXPECT_EQ(share_.LimitFor(5), 1U);
  EXPECT_EQ(share_.LimitFor(2), 1U);
}

// Guards against a partition that exhausts the endpoints: in a deployment of 83
// VMs the side that saw only 2 of 12 session VMs opened up to 96 connections
// per VM, and the endpoints stayed full for seconds after the partition had
// ended.
TEST_F(ConnectionShareOfTwelveVms, PartitionHidesTenVmsTheLimitStays) {
  EXPECT_FALSE(share_.SetVmCount(2, now_ + seconds(1)));
  EXPECT_FALSE(share_.SetVmCount(2, now_ + seconds(8)));
  EXPECT_EQ(share_.LimitFor(195), 10U);
}

TEST_F(ConnectionShareOfTwelveVms, VmsAreGoneForLongTheirShareIsUsed) {
  EXPECT_TRUE(share_.SetVmCount(6, now_ + ConnectionShare::kVmRetention));
  EXPECT_EQ(share_.LimitFor(195), 21U);
}

TEST_F(ConnectionShareOfTwelveVms, VmsAreAddedTheLimitFallsAtOnce) {
  EXPECT_TRUE(share_.SetVmCount(24, now_ + seconds(1)));
  EXPECT_EQ(share_.LimitFor(195), 5U);
}

}  // namespace
}  // namespace carawayhaven
