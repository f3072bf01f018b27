#include "core/queue/forward_filter.h"

#include <gtest/gtest.h>

namespace carawayhaven {
namespace {

class ForwardFilterOfTwoProxies : public testing::Test {
 protected:
  ForwardFilter filter_;
};

// Guards against running a step of a transaction twice when its message is
// repeated.
TEST_F(ForwardFilterOfTwoProxies, MessageIsRepeatedPassesOnce) {
  EXPECT_TRUE(filter_.Accept("a", 7));
  EXPECT_TRUE(filter_.Accept("b", 7));
  EXPECT_TRUE(filter_.Accept("a", 6));
  EXPECT_FALSE(filter_.Accept("a", 7));
  EXPECT_FALSE(filter_.Accept("a", 6));
}

// Guards against accepting an id again once it has left the window, and against
// a window that grows without bound.
TEST_F(ForwardFilterOfTwoProxies, WindowIsExceededRefusesWhatIsOlder) {
  for (CorrelationId id = 1; id <= 2 * ForwardFilter::kWindow; ++id) {
    EXPECT_TRUE(filter_.Accept("a", id));
  }
  EXPECT_FALSE(filter_.Accept("a", 1));
  EXPECT_FALSE(filter_.Accept("a", ForwardFilter::kWindow));
  EXPECT_FALSE(filter_.Accept("a", 2 * ForwardFilter::kWindow));
}

}  // namespace
}  // namespace carawayhaven
