#include <gtest/gtest.h>

#include "fuzz_loop.h"
#include "proxy/settings_parser.h"

namespace carawayhaven {
namespace {

constexpr int kIterations = 20'000;
constexpr std::mt19937_64::result_type kRandomSeed = 20'262;

// Guards against a text that crashes or hangs the parser, makes it throw
// anything but SettingsError with faults, or is accepted without its addresses.
TEST(SettingsMutations, AnyTextIsAcceptedOrRefusedWithFaults) {
  int accepted = 0;
  RunFuzzLoop("test/proxy/corpus", kIterations, kRandomSeed,
              [&accepted](const std::string& text) {
                const SettingsSources sources{"mutated.toml", text, {}, {}};
                try {
                  const Settings settings =
                      SettingsParser::Parse(sources).settings;
                  ++accepted;
                  ASSERT_FALSE(settings.caller_address.empty());
                  ASSERT_FALSE(settings.platform_address.empty());
                } catch (const SettingsError& error) {
                  ASSERT_FALSE(error.faults().empty());
                }
              });
  EXPECT_GT(accepted, 0);
  EXPECT_LT(accepted, kIterations);
}

}  // namespace
}  // namespace carawayhaven
