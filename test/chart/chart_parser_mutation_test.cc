#include <gtest/gtest.h>

#include "carawayhaven/exceptions.h"
#include "core/chart/chart_parser.h"
#include "fuzz_loop.h"

namespace carawayhaven {
namespace {

constexpr int kIterations = 20'000;
constexpr std::mt19937_64::result_type kRandomSeed = 20'267;

// Guards against a fuzz input that crashes the parser or makes it throw
// anything other than ParseError.
TEST(ChartParserMutations, AnyTextIsAChartOrAParseError) {
  int accepted = 0;
  RunFuzzLoop("test/chart/corpus", kIterations, kRandomSeed,
              [&accepted](const std::string& text) {
                try {
                  ChartParser::Parse(text);
                  ++accepted;
                } catch (const ParseError&) {
                }
              });
  EXPECT_GT(accepted, 0);
  EXPECT_LT(accepted, kIterations);
}

}  // namespace
}  // namespace carawayhaven
