#include <gtest/gtest.h>

#include "carawayhaven/exceptions.h"
#include "carawayhaven/session_token.h"
#include "fuzz_loop.h"

namespace carawayhaven {
namespace {

constexpr int kIterations = 20'000;
constexpr std::mt19937_64::result_type kRandomSeed = 20'266;

// Guards against a token that changes when a proxy parses and formats it. The
// session would then not read its own writes.
TEST(SessionTokenMutations, AnyTextIsRefusedOrKeepsItsPositions) {
  int accepted = 0;
  RunFuzzLoop("test/wire/token_corpus", kIterations, kRandomSeed,
              [&accepted](const std::string& text) {
                try {
                  const SessionToken token = SessionToken::Parse(text);
                  ++accepted;
                  const std::string form = token.Format();
                  ASSERT_EQ(SessionToken::Parse(form).Format(), form);
                } catch (const InvalidTokenError&) {
                }
              });
  EXPECT_GE(accepted, 3);
  EXPECT_LT(accepted, kIterations);
}

}  // namespace
}  // namespace carawayhaven
