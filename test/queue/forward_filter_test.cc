#include "core/queue/forward_filter.h"

#include <gtest/gtest.h>

namespace carawayhaven {
namespace {

class ForwardFilterOfTwoFronts : public testing::Test {
 protected:
  ForwardFilter filter_;
};

// Guards against a repeated message that runs a transaction's step twice.
TEST_F(ForwardFilterOfTwoFronts, MessageIsRepeatedPassesOnce) {
  EXPECT_TRUE(filter_.Accept("a", 7));
  EXPECT_TRUE(filter_.Accept("b", 7));
  EXPECT_TRUE(filter_.Accept("a", 6));
  EXPECT_FALSE(filter_.Accept("a", 7));
  EXPECT_FALSE(filter_.Accept("a", 6));
}

// Guards against a window that forgets what it passed, or grows for ever.
TEST_F(ForwardFilterOfTwoFronts, WindowIsExceededRefusesWhatIsOlder) {
  for (CorrelationId id = 1; id <= 2 * ForwardFilter::kWindow; ++id) {
    EXPECT_TRUE(filter_.Accept("a", id));
  }
  EXPECT_FALSE(filter_.Accept("a", 1));
  EXPECT_FALSE(filter_.Accept("a", ForwardFilter::kWindow));
  EXPECT_FALSE(filter_.Accept("a", 2 * ForwardFilter::kWindow));
}

}  // namespace
}  // namespace carawayhaven
