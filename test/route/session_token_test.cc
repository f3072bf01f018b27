#include "carawayhaven/session_token.h"

#include <gtest/gtest.h>

#include "carawayhaven/exceptions.h"

namespace carawayhaven {
namespace {

class SessionTokenText : public testing::TestWithParam<const char*> {};

// Guards against parsing a malformed token as position zero, which would
// silently disable read-your-writes.
TEST_P(SessionTokenText, IsMalformedThrowsInvalidTokenError) {
  EXPECT_THROW(SessionToken::Parse(GetParam()), InvalidTokenError);
}

INSTANTIATE_TEST_SUITE_P(Malformed, SessionTokenText,
                         testing::Values("a", "a:", "a:1", "a:1.", "a:.2",
                                         ":1.2", "a:1.2x", "a:-1.2",
                                         "a:1.99999999999999999999"));

class SessionTokenWithWrite : public testing::Test {
 protected:
  SessionToken token_ = SessionToken::Parse("registro-1:3.17,registro-2:1.4");
};

TEST_F(SessionTokenWithWrite, FormattedReadsBackEqual) {
  EXPECT_EQ(token_.Format(), "registro-1:3.17,registro-2:1.4");
}

// Guards against a late answer that moves a session back in time.
TEST_F(SessionTokenWithWrite, AdvancedToOlderTermKeepsPosition) {
  token_.Advance("registro-1", {2, 900});
  EXPECT_EQ(token_.PositionOf("registro-1"), (LogPosition{3, 17}));
}

TEST_F(SessionTokenWithWrite, UnknownServiceHasNoPosition) {
  EXPECT_EQ(token_.PositionOf("other"), (LogPosition{}));
}

}  // namespace
}  // namespace carawayhaven
