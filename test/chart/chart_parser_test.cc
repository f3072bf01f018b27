#include "core/chart/chart_parser.h"

#include <gtest/gtest.h>

#include <filesystem>
#include <fstream>
#include <iterator>
#include <string>

#include "carawayhaven/exceptions.h"

namespace carawayhaven {
namespace {

// Guards against a chart file that compiles into the binary but is refused
// when the process first uses it.
TEST(ChartFiles, EveryFileIsParsedIsAccepted) {
  int files = 0;
  for (const auto& entry : std::filesystem::directory_iterator("charts")) {
    std::ifstream stream(entry.path());
    const std::string text(std::istreambuf_iterator<char>(stream), {});
    EXPECT_NO_THROW(ChartParser::Parse(text)) << entry.path();
    ++files;
  }
  EXPECT_GT(files, 0);
}

class FaultyChart : public testing::TestWithParam<const char*> {};

// Guards against a protocol that can get stuck in a non-final state or that
// contains a misspelt name.
TEST_P(FaultyChart, IsParsedThrowsParseError) {
  EXPECT_THROW(ChartParser::Parse(GetParam()), ParseError);
}

INSTANTIATE_TEST_SUITE_P(
    Faults, FaultyChart,
    testing::Values(
        "initial = ", "final = []\nevents = []\n[states.a]\n",
        // Unreachable state.
        "initial='a'\nfinal=[]\nevents=['e']\n[states.a]\ne='a'\n"
        "[states.b]\ne='a'\n",
        // Undeclared event.
        "initial='a'\nfinal=[]\nevents=['e']\n[states.a]\nf='a'\n",
        // Non-final state without a transition.
        "initial='a'\nfinal=[]\nevents=['e']\n[states.a]\ne='b'\n[states.b]\n",
        // Undeclared target, initial and final state.
        "initial='a'\nfinal=[]\nevents=['e']\n[states.a]\ne='b'\n",
        "initial='b'\nfinal=[]\nevents=['e']\n[states.a]\ne='a'\n",
        "initial='a'\nfinal=['b']\nevents=['e']\n[states.a]\ne='a'\n",
        // State of the wrong type.
        "initial='a'\nfinal=['a']\nevents=[]\n[states]\na=1\n"));

TEST(SmallChart, EventIsFiredLeadsToItsTarget) {
  const StateChart chart = ChartParser::Parse(
      "initial='a'\nfinal=['b']\nevents=['e']\n[states.a]\ne='b'\n"
      "[states.b]\n");
  EXPECT_EQ(*chart.Next(chart.initial(), "e"), "b");
  EXPECT_EQ(chart.Next("b", "e"), nullptr);
  EXPECT_TRUE(chart.IsFinal("b"));
}

}  // namespace
}  // namespace carawayhaven
