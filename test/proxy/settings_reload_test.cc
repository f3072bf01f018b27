#include "proxy/settings_reload.h"

#include <gtest/gtest.h>

namespace carawayhaven {
namespace {

class SettingsReloadOfRunningProxy : public ::testing::Test {
 protected:
  Settings in_force_;
  Settings read_;
};

TEST_F(SettingsReloadOfRunningProxy, NothingChangedNothingIsReported) {
  const SettingsChange change = ApplyReload(read_, in_force_);
  EXPECT_TRUE(change.applied.empty());
  EXPECT_TRUE(change.needs_restart.empty());
}

TEST_F(SettingsReloadOfRunningProxy, GraceTimeChangedItIsInForce) {
  read_.shutdown_grace = std::chrono::seconds(9);
  const SettingsChange change = ApplyReload(read_, in_force_);
  EXPECT_EQ(change.applied, std::vector<std::string>{"shutdown_grace_s"});
  EXPECT_EQ(in_force_.shutdown_grace, std::chrono::seconds(9));
}

TEST_F(SettingsReloadOfRunningProxy, AddressChangedItCountsFromTheNextStart) {
  read_.platform_address = "10.0.0.9:7000";
  const SettingsChange change = ApplyReload(read_, in_force_);
  EXPECT_EQ(change.needs_restart, std::vector<std::string>{"platform_address"});
  EXPECT_EQ(in_force_.platform_address, "");
}

}  // namespace
}  // namespace carawayhaven
