#include <gmock/gmock.h>
#include <gtest/gtest.h>
#include <unistd.h>

#include <algorithm>
#include <fstream>
#include <sstream>

#include "carawayhaven/exceptions.h"
#include "cli/admin_client.h"
#include "cli/command_list.h"
#include "cli/status_command.h"

namespace carawayhaven {
namespace {

using testing::HasSubstr;

constexpr char kTeamText[] = R"(team = "kitchen"
[[service]]
name = "pool-1"
[[service.endpoint]]
name = "pool-1-a"
address = "127.0.0.1:7101"
data_centre = "zrh-a"
[[service.endpoint]]
name = "pool-1-b"
address = "127.0.0.1:7102"
data_centre = "gva-a"
[[service.endpoint]]
name = "pool-1-c"
address = "127.0.0.1:7103"
data_centre = "lug-a"
)";

class FakeAdminClient : public AdminClient {
 public:
  HttpResponse Call(const std::string& address,
                    const HttpRequest& request) override {
    address_ = address;
    if (request.path == "/healthz") {
      HttpResponse health;
      health.status = reachable_ ? 200 : 0;
      return health;
    }
    requests_.push_back(request);
    return response_;
  }

  bool reachable_ = true;
  HttpResponse response_;
  std::string address_;
  std::vector<HttpRequest> requests_;
};

class CommandLine : public testing::Test {
 protected:
  int Run(const std::vector<std::string>& arguments) {
    out_.str("");
    err_.str("");
    return CommandList(context_, client_,
                       [this](const Settings& settings,
                              const SettingsLoader& /*reload*/) {
                         started_vm_ = settings.vm;
                         return kExitOk;
                       })
        .Run(arguments);
  }

  static std::string WriteFile(const std::string& text) {
    std::string name =
        testing::UnitTest::GetInstance()->current_test_info()->name();
    std::replace(name.begin(), name.end(), '/', '-');
    std::string path =
        testing::TempDir() + "commands_test_" + std::to_string(getpid()) + name;
    std::ofstream(path) << text;
    return path;
  }

  void SetResponse(int status, const std::string& body) {
    client_.response_ = {status, "application/json", "", body};
  }

  std::ostringstream out_;
  std::ostringstream err_;
  CommandContext context_{
      out_, err_, {{"CARAWAYHAVEN_TOKEN", "kitchen-token"}}};
  FakeAdminClient client_;
  std::string started_vm_;
};

// Guards against usage errors that exit with 0, which scripts take for success.
TEST_F(CommandLine, UsageErrorExitsWithTwo) {
  const std::vector<std::vector<std::string>> invalid_command_lines = {
      {},
      {"unknown"},
      {"check"},
      {"check", "/nonexistent"},
      {"submit", "file"},
      {"status"},
      {"status", "--admin", "nowhere"},
      {"status", "--admin", "127.0.0.1:1", "--wrong"},
      {"drain"},
      {"resolve", "s", "--admin", "127.0.0.1:1"},
      {"resolve", "s", "a?b", "--admin", "127.0.0.1:1"},
      {"resolve", "s/t", "a", "--admin", "127.0.0.1:1"},
      {"proxy"},
      {"version", "extra"}};
  for (const auto& arguments : invalid_command_lines) {
    EXPECT_EQ(Run(arguments), kExitUsage) << testing::PrintToString(arguments);
    EXPECT_NE(err_.str(), "") << testing::PrintToString(arguments);
  }
  EXPECT_TRUE(client_.requests_.empty());
}

TEST_F(CommandLine, HelpOfEachCommandExitsWithZero) {
  for (const char* command :
       {"proxy", "check", "submit", "status", "drain", "resolve", "version"}) {
    EXPECT_EQ(Run({command, "--help"}), kExitOk);
    EXPECT_THAT(out_.str(), HasSubstr("Exit codes:"));
  }
  EXPECT_EQ(Run({"--help"}), kExitOk);
  EXPECT_THAT(out_.str(), HasSubstr("resolve"));
}

TEST_F(CommandLine, CheckWritesEveryErrorWithItsPosition) {
  EXPECT_EQ(Run({"check", WriteFile(kTeamText)}), kExitOk) << out_.str();
  const std::string path = WriteFile("team = 3\nbogus = 1\n");
  EXPECT_EQ(Run({"check", path}), kExitRefused);
  EXPECT_THAT(out_.str(), HasSubstr(path + ":1:"));
  EXPECT_THAT(out_.str(), HasSubstr(path + ":2:"));
}

struct ResponseCase {
  int status;
  const char* body;
  ExitCode exit_code;
  const char* output;
};

class SubmitResponse : public CommandLine,
                       public testing::WithParamInterface<ResponseCase> {};

// Guards against different outcomes of a submit with the same exit code, which
// scripts cannot tell apart.
TEST_P(SubmitResponse, MapsToExitCode) {
  SetResponse(GetParam().status, GetParam().body);
  EXPECT_EQ(Run({"submit", WriteFile(kTeamText), "--admin", "127.0.0.1:7003",
                 "--based-on", "7"}),
            GetParam().exit_code);
  EXPECT_THAT(out_.str() + err_.str(), HasSubstr(GetParam().output));
  ASSERT_EQ(client_.requests_.size(), 1U);
  EXPECT_EQ(client_.requests_[0].method, "PUT");
  EXPECT_EQ(client_.requests_[0].path, "/teams/kitchen");
  EXPECT_EQ(client_.requests_[0].if_match, "7");
  EXPECT_EQ(client_.requests_[0].bearer_token, "kitchen-token");
  EXPECT_EQ(client_.requests_[0].body, kTeamText);
}

INSTANTIATE_TEST_SUITE_P(
    Table, SubmitResponse,
    testing::Values(
        ResponseCase{200, R"({"version":8})", kExitOk, "version 8 is in force"},
        ResponseCase{412, R"({"error":"version 9 stands"})", kExitRefused,
                     "version 9 stands"},
        ResponseCase{403, R"({"error":"the token"})", kExitRefused,
                     "the token"},
        ResponseCase{422,
                     R"({"errors":[{"line":3,"column":4,"message":"bad"}]})",
                     kExitRefused, ":3:4: bad"},
        ResponseCase{503, R"({"error":"store"})", kExitUnreachable, "store"},
        ResponseCase{504, R"({"error":"may have"})", kExitUnknown, "may have"},
        ResponseCase{500, "not JSON", kExitUnknown, "500"},
        ResponseCase{0, "", kExitUnknown, "may have taken effect"}));

TEST_F(CommandLine, UnreachableProxyExitsWithThreeAndSendsNothing) {
  client_.reachable_ = false;
  EXPECT_EQ(Run({"submit", WriteFile(kTeamText), "--admin", "127.0.0.1:1"}),
            kExitUnreachable);
  EXPECT_EQ(Run({"drain", "--admin", "127.0.0.1:1"}), kExitUnreachable);
  EXPECT_EQ(Run({"resolve", "s", "i", "--admin", "127.0.0.1:1"}),
            kExitUnreachable);
  EXPECT_TRUE(client_.requests_.empty());
  SetResponse(0, "");
  EXPECT_EQ(Run({"status", "--admin", "127.0.0.1:1"}), kExitUnreachable);
}

TEST_F(CommandLine, MissingTokenExitsWithTwo) {
  context_.environment.clear();
  EXPECT_EQ(Run({"drain", "--admin", "127.0.0.1:1"}), kExitUsage);
  EXPECT_EQ(Run({"submit", WriteFile(kTeamText), "--admin", "127.0.0.1:1"}),
            kExitUsage);
  EXPECT_TRUE(client_.requests_.empty());
}

// Guards against an unknown verdict that exits with the code of a final one.
TEST_F(CommandLine, ResolveWritesTheVerdict) {
  SetResponse(200, R"({"verdict":"not_run"})");
  EXPECT_EQ(Run({"resolve", "pool-1", "a:1", "--admin", "127.0.0.1:1"}),
            kExitOk);
  EXPECT_EQ(out_.str(), "not_run\n");
  EXPECT_EQ(client_.requests_[0].path, "/resolve/pool-1/a:1");
  SetResponse(504, R"({"verdict":"may_have_run","error":"ask again"})");
  EXPECT_EQ(Run({"resolve", "pool-1", "a:1", "--admin", "127.0.0.1:1"}),
            kExitUnknown);
}

TEST_F(CommandLine, StatusWritesTableOrJson) {
  const std::string json =
      R"({"vm":"entry-1","data_centre":"zrh-a","sessions":2,"leaving":false,)"
      R"("requests_in_flight":1,"store_reachable":false,"teams":[],)"
      R"("groups":[{"service":"pool-1","term":3,"endpoints":[{"name":)"
      R"("pool-1-a","role":"primary","owner":"entry-1","lag_ms":1.5,)"
      R"("position":{"term":3,"index":17},"pool":{"running":2,"slots":5,)"
      R"("waiting":0}}]}],"members":[]})";
  SetResponse(200, json);
  EXPECT_EQ(Run({"status", "--admin", "127.0.0.1:1", "--json"}), kExitOk);
  EXPECT_EQ(out_.str(), json + '\n');
  EXPECT_EQ(Run({"status", "--admin", "127.0.0.1:1"}), kExitOk);
  EXPECT_THAT(out_.str(), HasSubstr("store unreachable"));
  EXPECT_THAT(out_.str(),
              HasSubstr("pool-1   3     pool-1-a  primary  3.17      1.5     "
                        "entry-1  2/5 running, 0 waiting\n"));
  SetResponse(200, R"({"groups":1})");
  EXPECT_EQ(Run({"status", "--admin", "127.0.0.1:1"}), kExitUnknown);
}

TEST_F(CommandLine, ProxyReadsSettingsWithOverrides) {
  const std::string path = WriteFile(
      "vm = \"a\"\ndata_centre = \"b\"\nregion = \"c\"\n"
      "caller_address = \"127.0.0.1:1\"\npeer_address = \"127.0.0.1:2\"\n"
      "admin_address = \"127.0.0.1:3\"\nplatform_address = \"127.0.0.1:4\"\n");
  EXPECT_EQ(Run({"proxy", "--settings", path, "--vm", "override"}), kExitOk)
      << err_.str();
  EXPECT_EQ(started_vm_, "override");
  started_vm_.clear();
  EXPECT_EQ(Run({"proxy", "--settings", path, "--print-settings"}), kExitOk);
  EXPECT_THAT(out_.str(), HasSubstr("vm = \"a\"  # " + path + ":1:6"));
  EXPECT_EQ(Run({"proxy", "--settings", path, "--max-sessions", "0"}),
            kExitRefused);
  EXPECT_THAT(err_.str(), HasSubstr("--max-sessions: max_sessions must be"));
  EXPECT_EQ(started_vm_, "");
}

}  // namespace
}  // namespace carawayhaven
