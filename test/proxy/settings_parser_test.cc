#include "proxy/settings_parser.h"

#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include "proxy/settings_key.h"

namespace carawayhaven {
namespace {

using testing::HasSubstr;
using testing::Not;

constexpr char kValidText[] = R"(vm = "entry-1"
data_centre = "mendoza"
region = "cuyo"
caller_address = "127.0.0.1:7001"
peer_address = "127.0.0.1:7002"
admin_address = "127.0.0.1:7003"
platform_address = "127.0.0.1:7004"
)";

SettingsSources SourcesOf(const std::string& text) {
  return {.file_name = "p.toml", .text = text, .environment = {}, .flags = {}};
}

std::string FaultsOf(const SettingsSources& sources) {
  try {
    SettingsParser::Parse(sources);
  } catch (const SettingsError& error) {
    return error.what();
  }
  return "accepted";
}

struct FaultCase {
  std::string line;
  std::string expected;
};

class SettingsFaults : public testing::TestWithParam<FaultCase> {};

// Guards against a mistyped or invalid setting that is silently ignored.
TEST_P(SettingsFaults, InFileAreReportedWithPosition) {
  EXPECT_EQ(FaultsOf(SourcesOf(kValidText + GetParam().line)),
            "p.toml:" + GetParam().expected);
}

INSTANTIATE_TEST_SUITE_P(
    Table, SettingsFaults,
    testing::Values(
        FaultCase{"max_sesions = 3",
                  "8:1: unknown key 'max_sesions'; the nearest known key is "
                  "'max_sessions'"},
        FaultCase{"max_sessions = \"3\"",
                  "8:16: max_sessions must be an integer from 1 to 8192"},
        FaultCase{"max_sessions = 8193",
                  "8:16: max_sessions must be an integer from 1 to 8192"},
        FaultCase{"trace_sample_ratio = 1.5",
                  "8:22: trace_sample_ratio must be a number from 0 to 1"},
        FaultCase{"trace_sample_ratio = nan",
                  "8:22: trace_sample_ratio must be a number from 0 to 1"},
        FaultCase{"log_level = \"loud\"",
                  "8:13: log_level must be \"debug\", \"info\", \"warning\" or "
                  "\"error\""},
        FaultCase{"admin_tokens = 3",
                  "8:16: admin_tokens must be a table from team to token, for "
                  "example admin_tokens.kitchen = \"...\""},
        FaultCase{"admin_tokens.kitchen = \"short\"",
                  "8:24: a token must be a string of 8 to 512 characters"}));

class SettingsText : public testing::Test {
 protected:
  SettingsSources sources_ = SourcesOf(kValidText);
};

TEST_F(SettingsText, WithRequiredKeysOnlyHasDefaults) {
  const Settings settings = SettingsParser::Parse(sources_).settings;
  EXPECT_EQ(settings.vm, "entry-1");
  EXPECT_EQ(settings.drain_timeout, std::chrono::seconds(10));
  EXPECT_EQ(settings.default_timeout, std::chrono::seconds(2));
  EXPECT_EQ(settings.max_sessions, 8192U);
  EXPECT_EQ(settings.trace_sample_ratio, 0.01);
}

// Guards against a report that stops at the first fault.
TEST_F(SettingsText, WithManyFaultsReportsAllAtOnce) {
  sources_ = SourcesOf("vm = 3\ncaller_address = \"localhost:1\"\nregin = 1\n");
  sources_.environment["CARAWAYHAVEN_MAX_SESSIONS"] = "many";
  sources_.flags["log_level"] = "x";
  const std::string faults = FaultsOf(sources_);
  for (const char* expected :
       {"p.toml:1:6: vm must be", "p.toml:2:18: caller_address must be",
        "p.toml:3:1: unknown key 'regin'", "p.toml:1:1: missing key 'region'",
        "p.toml:1:1: missing key 'platform_address'",
        "CARAWAYHAVEN_MAX_SESSIONS: max_sessions must be",
        "--log-level: log_level must be"}) {
    EXPECT_THAT(faults, HasSubstr(expected));
  }
  EXPECT_THAT(faults, Not(HasSubstr("missing key 'vm'")));
}

TEST_F(SettingsText, WithBrokenSyntaxReportsItsPosition) {
  EXPECT_THAT(FaultsOf(SourcesOf("vm = \n")), HasSubstr("p.toml:1:"));
}

// Guards against two listeners on one address, which would fail only at the
// start.
TEST_F(SettingsText, WithEqualListenAddressesIsRefused) {
  sources_.flags["admin_address"] = "127.0.0.1:7001";
  EXPECT_EQ(FaultsOf(sources_),
            "flag --admin-address: admin_address must differ from "
            "caller_address");
}

TEST_F(SettingsText, UnknownVariableIsRefusedWithNearestName) {
  sources_.environment["CARAWAYHAVEN_REGIN"] = "x";
  sources_.environment["CARAWAYHAVEN_TOKEN"] = "used by submit";
  EXPECT_EQ(FaultsOf(sources_),
            "CARAWAYHAVEN_REGIN: unknown variable; the nearest known one is "
            "CARAWAYHAVEN_REGION");
}

class SettingsPrecedence : public SettingsText {};

// Guards against an override that takes effect in the wrong order.
TEST_F(SettingsPrecedence, FlagOverridesVariableOverridesFile) {
  sources_.environment = {{"CARAWAYHAVEN_VM", "env-vm"},
                          {"CARAWAYHAVEN_REGION", "env-region"},
                          {"CARAWAYHAVEN_TRACE_SAMPLE_RATIO", "0.5"}};
  sources_.flags = {{"vm", "flag-vm"}};
  const LoadedSettings loaded = SettingsParser::Parse(sources_);
  EXPECT_EQ(loaded.settings.vm, "flag-vm");
  EXPECT_EQ(loaded.settings.region, "env-region");
  EXPECT_EQ(loaded.settings.trace_sample_ratio, 0.5);
  const std::string description = loaded.Describe();
  EXPECT_THAT(description, HasSubstr("vm = \"flag-vm\"  # flag --vm\n"));
  EXPECT_THAT(
      description,
      HasSubstr(
          "region = \"env-region\"  # environment CARAWAYHAVEN_REGION\n"));
  EXPECT_THAT(description,
              HasSubstr("data_centre = \"mendoza\"  # p.toml:2:15\n"));
  EXPECT_THAT(description, HasSubstr("max_sessions = 8192  # default\n"));
}

class SettingsTokens : public SettingsText {};

// Guards against a token that appears in the printed settings or in an error.
TEST_F(SettingsTokens, AreNeverPrinted) {
  sources_.text += "admin_tokens.kitchen = \"secret-of-kitchen\"\n";
  sources_.environment["CARAWAYHAVEN_ADMIN_TOKENS"] =
      "operators=secret-of-operators";
  const LoadedSettings loaded = SettingsParser::Parse(sources_);
  const std::string description = loaded.Describe();
  EXPECT_THAT(description,
              HasSubstr("admin_tokens.kitchen = (set)  # p.toml:8:24"));
  EXPECT_THAT(description, HasSubstr("admin_tokens.operators = (set)  # "
                                     "environment CARAWAYHAVEN_ADMIN_TOKENS"));
  EXPECT_THAT(description, Not(HasSubstr("secret-of")));
  EXPECT_TRUE(loaded.settings.admin_tokens.at("operators")
                  .Matches("secret-of-operators"));
  sources_.environment["CARAWAYHAVEN_ADMIN_TOKENS"] = "secret-without-a-team";
  EXPECT_THAT(FaultsOf(sources_), Not(HasSubstr("secret-without")));
}

// Guards against a comparison that accepts a prefix, a repetition or the empty
// text.
TEST(SecretMatches, OnlyTheWholeValue) {
  const Secret secret("abcabc");
  EXPECT_TRUE(secret.Matches("abcabc"));
  for (const char* wrong : {"", "abc", "abcabcabcabc", "abcabd", "xbcabc"}) {
    EXPECT_FALSE(secret.Matches(wrong)) << wrong;
  }
  EXPECT_FALSE(Secret("").Matches(""));
}

}  // namespace
}  // namespace carawayhaven
