#include "core/config/config_store.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <optional>

#include "config/team_texts.h"

namespace carawayhaven {
namespace {

class ConfigStoreWithOneTeam : public testing::Test {
 protected:
  void SetUp() override {
    ASSERT_EQ(store.Apply("a", 5, TeamValue(TeamText("a", {"s-1"}))),
              ApplyResult::kApplied);
  }
  ConfigStore store;
};

TEST_F(ConfigStoreWithOneTeam, DeclaredNamesAreFound) {
  EXPECT_EQ(store.FindService("s-1")->endpoints.size(), 3U);
  EXPECT_EQ(store.TeamOf("s-1"), "a");
  EXPECT_EQ(store.FindEndpoint("s-1-b").service->name, "s-1");
  EXPECT_EQ(store.FindService("s-2"), nullptr);
  EXPECT_EQ(store.FindEndpoint("s-2-b").endpoint, nullptr);
}

TEST_F(ConfigStoreWithOneTeam, OlderVersionIsStale) {
  EXPECT_EQ(store.Apply("a", 4, TeamValue(TeamText("a", {"s-2"}))),
            ApplyResult::kStale);
  EXPECT_EQ(store.Apply("a", 5, TeamValue(TeamText("a", {"s-2"}))),
            ApplyResult::kStale);
  EXPECT_NE(store.FindService("s-1"), nullptr);
}

// Guards against an invalid text that removes a service, and against a return
// to versions older than the invalid one.
TEST_F(ConfigStoreWithOneTeam, InvalidVersionKeepsLastValidOneAndIsRecorded) {
  for (const std::string& bad : {std::string("no json"), TeamValue("team = "),
                                 TeamValue(TeamText("b", {})),
                                 std::string(TeamObject::kMaxBytes + 1, ' ')}) {
    const std::uint64_t version = store.FindTeam("a")->highest_seen + 1;
    const ConfigDigest before = store.digest();
    EXPECT_EQ(store.Apply("a", version, bad), ApplyResult::kRejected);
    EXPECT_FALSE(store.digest() == before);
    EXPECT_EQ(store.FindTeam("a")->highest_seen, version);
    EXPECT_EQ(store.FindTeam("a")->version, 5U);
    EXPECT_NE(store.FindService("s-1"), nullptr);
  }
  EXPECT_EQ(store.Apply("a", 6, "no json"), ApplyResult::kStale);
}

// Guards against a team that takes over another team's service, either by
// declaring it or because the owner edits its text.
TEST_F(ConfigStoreWithOneTeam, EditByTheOwnerKeepsTheClaim) {
  store.Apply("b", 7, TeamValue(TeamText("b", {"s-1", "s-9"})));
  EXPECT_EQ(store.TeamOf("s-1"), "a");
  TeamObject edited;
  edited.text = TeamText("a", {"s-1"}, "edited");
  edited.declared_since["s-1"] = 5;
  store.Apply("a", 9, edited.Format());
  EXPECT_EQ(store.TeamOf("s-1"), "a");
  EXPECT_EQ(store.TeamOf("s-9"), "b");
  store.Apply("a", 10, TeamValue(TeamText("a", {})));
  EXPECT_EQ(store.TeamOf("s-1"), "b");
}

struct Arrival {
  const char* team;
  std::uint64_t version;
  std::string value;
};

// Guards against proxies that disagree because versions arrive in a different
// order: three teams claim the same names, one team has an invalid version and
// one replaces a service.
TEST(ConfigStoreWithRacingTeams, AllArrivalOrdersGiveTheSameServices) {
  TeamObject kept;
  kept.text = TeamText("c", {"s-1", "s-3"});
  kept.declared_since["s-3"] = 3;
  std::vector<Arrival> arrivals{
      {"a", 4, TeamValue(TeamText("a", {"s-1", "s-2"}))},
      {"a", 8, TeamValue(TeamText("a", {"s-2", "s-3"}))},
      {"b", 5, TeamValue(TeamText("b", {"s-1", "s-2", "s-3"}))},
      {"b", 9, TeamValue("broken = ")},
      {"c", 3, TeamValue(TeamText("c", {"s-3"}))},
      {"c", 7, kept.Format()},
  };
  std::sort(
      arrivals.begin(), arrivals.end(),
      [](const Arrival& x, const Arrival& y) { return x.version < y.version; });
  std::optional<ConfigDigest> digest;
  int orders = 0;
  do {
    ConfigStore store;
    for (const Arrival& arrival : arrivals) {
      store.Apply(arrival.team, arrival.version, arrival.value);
    }
    if (!digest.has_value()) digest = store.digest();
    ASSERT_TRUE(store.digest() == *digest);
    ASSERT_EQ(store.Services(),
              (std::vector<ServiceName>{"s-1", "s-2", "s-3"}));
    ASSERT_EQ(store.TeamOf("s-1"), "b");
    ASSERT_EQ(store.TeamOf("s-2"), "b");
    ASSERT_EQ(store.TeamOf("s-3"), "c");
    ++orders;
  } while (std::next_permutation(arrivals.begin(), arrivals.end(),
                                 [](const Arrival& x, const Arrival& y) {
                                   return x.version < y.version;
                                 }));
  EXPECT_EQ(orders, 720);
}

TEST(TeamObjectJson, ObjectWithAllFieldsRoundTrips) {
  TeamObject object;
  object.submission = "id";
  object.text = "team = \"t\"\n";
  object.declared_since["s"] = 4;
  object.earlier.push_back({"before", 3});
  const std::optional<TeamObject> parsed = TeamObject::Parse(object.Format());
  ASSERT_TRUE(parsed.has_value());
  EXPECT_EQ(parsed->text, object.text);
  EXPECT_EQ(parsed->declared_since, object.declared_since);
  EXPECT_EQ(parsed->earlier.front().version, 3U);
}

// Guards against a crash caused by a value that was not written by a proxy.
TEST(TeamObjectJson, MalformedValuesAreRefused) {
  for (const char* value : {"", "[]", "3", "{}", R"({"text": 3})", "{\"text\":",
                            R"({"submission": "x", "text": null})"}) {
    EXPECT_FALSE(TeamObject::Parse(value).has_value()) << value;
  }
  EXPECT_TRUE(TeamObject::Parse(R"({"submission": "x", "text": "",
      "since": 3, "earlier": [1, {"submission": 2}]})")
                  .has_value());
}

}  // namespace
}  // namespace carawayhaven
