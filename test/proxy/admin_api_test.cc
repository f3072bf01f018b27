#include "proxy/admin_api.h"

#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include <nlohmann/json.hpp>

#include "proxy/admin_backend.h"

namespace carawayhaven {
namespace {

using testing::HasSubstr;

class FakeBackend : public AdminBackend {
 public:
  ProxyStatus Status() const override { return status_; }
  Readiness CheckReadiness() const override { return readiness_; }
  std::string MetricsText() const override { return "m 1\n"; }
  std::optional<TeamDocument> FindTeam(std::string_view team) const override {
    if (team != "kitchen") return std::nullopt;
    return TeamDocument{"team = \"kitchen\"", 7, {{7, Duration(2'000)}}};
  }
  void Submit(const TeamName& team, const std::string& text,
              ObjectVersion based_on, SubmitCallback done) override {
    submitted_ = team + '|' + text + '|' + std::to_string(based_on);
    ++changes_;
    done(submit_result_);
  }
  void Drain() override { ++changes_; }
  void Resolve(const ServiceName& service, const std::string& id,
               ResolveCallback done) override {
    resolved_ = service + '|' + id;
    ++changes_;
    done(outcome_);
  }

  ProxyStatus status_;
  Readiness readiness_{true, ""};
  SubmitResult submit_result_{SubmitStatus::kAccepted, 8, "", {}, ""};
  Outcome outcome_;
  std::string submitted_;
  std::string resolved_;
  int changes_ = 0;
};

HttpRequest MakeRequest(std::string method, std::string path,
                        std::string token = "", std::string if_match = "",
                        std::string body = "") {
  HttpRequest request;
  request.method = std::move(method);
  request.path = std::move(path);
  request.bearer_token = std::move(token);
  request.if_match = std::move(if_match);
  request.body = std::move(body);
  return request;
}

class AdminApiContract : public testing::Test {
 protected:
  HttpResponse Send(const HttpRequest& request) {
    int answers = 0;
    HttpResponse last;
    api_.OnRequest(request, [&](const HttpResponse& response) {
      ++answers;
      last = response;
    });
    EXPECT_EQ(answers, 1) << request.method << ' ' << request.path;
    return last;
  }

  nlohmann::json SendForJson(const HttpRequest& request) {
    return nlohmann::json::parse(Send(request).body);
  }

  FakeBackend backend_;
  const AdminApi::Tokens tokens_{{"kitchen", Secret("kitchen-token")},
                                 {"operators", Secret("operators-token")}};
  AdminApi api_{backend_, tokens_};
};

struct RefusedCase {
  HttpRequest request;
  int status;
  std::string error;
};

class AdminApiRefusal : public AdminApiContract,
                        public testing::WithParamInterface<RefusedCase> {};

// Guards against invalid or unauthorised input that has an effect, and against
// an error that does not state its cause.
TEST_P(AdminApiRefusal, StatesTheCauseAndChangesNothing) {
  const HttpResponse response = Send(GetParam().request);
  EXPECT_EQ(response.status, GetParam().status);
  EXPECT_THAT(nlohmann::json::parse(response.body)["error"].get<std::string>(),
              HasSubstr(GetParam().error));
  EXPECT_EQ(backend_.changes_, 0);
}

INSTANTIATE_TEST_SUITE_P(
    Table, AdminApiRefusal,
    testing::Values(
        RefusedCase{MakeRequest("GET", "/"), 404, "unknown path"},
        RefusedCase{MakeRequest("GET", "/teams"), 404, "unknown path"},
        RefusedCase{MakeRequest("GET", "/statusx"), 404, "unknown path"},
        RefusedCase{MakeRequest("POST", "/healthz"), 405, "only GET"},
        RefusedCase{MakeRequest("DELETE", "/readyz"), 405, "only GET"},
        RefusedCase{MakeRequest("PUT", "/status"), 405, "only GET"},
        RefusedCase{MakeRequest("POST", "/metrics"), 405, "only GET"},
        RefusedCase{MakeRequest("DELETE", "/teams/kitchen"), 405, "GET and"},
        RefusedCase{MakeRequest("GET", "/drain", "operators-token"), 405,
                    "only POST"},
        RefusedCase{MakeRequest("GET", "/resolve/s/1"), 405, "only POST"},
        RefusedCase{MakeRequest("GET", "/teams/"), 400, "team's name"},
        RefusedCase{MakeRequest("GET", "/teams/a/b"), 400, "team's name"},
        RefusedCase{MakeRequest("GET", "/teams/" + std::string(65, 'a')), 400,
                    "team's name"},
        RefusedCase{MakeRequest("GET", "/teams/other"), 404, "no such team"},
        RefusedCase{MakeRequest("PUT", "/teams/kitchen", "", "7", "x"), 401,
                    "Bearer"},
        RefusedCase{
            MakeRequest("PUT", "/teams/kitchen", "kitchen-toke", "7", "x"), 403,
            "not the one of 'kitchen'"},
        RefusedCase{
            MakeRequest("PUT", "/teams/kitchen", "operators-token", "7", "x"),
            403, "not the one of 'kitchen'"},
        RefusedCase{
            MakeRequest("PUT", "/teams/other", "kitchen-token", "7", "x"), 403,
            "not the one of 'other'"},
        RefusedCase{
            MakeRequest("PUT", "/teams/kitchen", "kitchen-token", "", "x"), 428,
            "If-Match"},
        RefusedCase{
            MakeRequest("PUT", "/teams/kitchen", "kitchen-token", "7x", "x"),
            400, "If-Match"},
        RefusedCase{
            MakeRequest("PUT", "/teams/kitchen", "kitchen-token", "-1", "x"),
            400, "If-Match"},
        RefusedCase{MakeRequest("PUT", "/teams/kitchen", "kitchen-token", "7"),
                    400, "body"},
        RefusedCase{
            MakeRequest("PUT", "/teams/kitchen", "kitchen-token", "7",
                        std::string(AdminApi::kMaxTeamTextBytes + 1, 'x')),
            413, "at most"},
        RefusedCase{MakeRequest("POST", "/drain"), 401, "Bearer"},
        RefusedCase{MakeRequest("POST", "/drain", "kitchen-token"), 403,
                    "not the one of 'operators'"},
        RefusedCase{MakeRequest("POST", "/resolve/s"), 400, "/resolve/"},
        RefusedCase{MakeRequest("POST", "/resolve//1"), 400, "service's name"},
        RefusedCase{MakeRequest("POST", "/resolve/s/"), 400, "request id"},
        RefusedCase{MakeRequest("POST", "/resolve/s/a\nb"), 400, "request id"},
        RefusedCase{MakeRequest("POST", "/resolve/s/a/b"), 400, "request id"},
        RefusedCase{MakeRequest("POST", "/resolve/s/a%62"), 400, "request id"},
        RefusedCase{MakeRequest("POST", "/resolve/s/" + std::string(257, 'a')),
                    400, "request id"}));

struct SubmitCase {
  SubmitResult result;
  int status;
  std::string etag;
};

class AdminApiSubmit : public AdminApiContract,
                       public testing::WithParamInterface<SubmitCase> {};

// Guards against results of a submit that the operator cannot tell apart.
TEST_P(AdminApiSubmit, ResultHasItsOwnStatus) {
  backend_.submit_result_ = GetParam().result;
  const HttpResponse response =
      Send(MakeRequest("PUT", "/teams/kitchen", "kitchen-token", "7", "text"));
  EXPECT_EQ(response.status, GetParam().status);
  EXPECT_EQ(response.etag, GetParam().etag);
  EXPECT_EQ(backend_.submitted_, "kitchen|text|7");
}

INSTANTIATE_TEST_SUITE_P(
    Table, AdminApiSubmit,
    testing::Values(
        SubmitCase{{SubmitStatus::kAccepted, 8, "", {}, ""}, 200, "8"},
        SubmitCase{{SubmitStatus::kConflict, 9, "", {}, ""}, 412, "9"},
        SubmitCase{{SubmitStatus::kInvalid, 0, "", {}, ""}, 422, ""},
        SubmitCase{{SubmitStatus::kUnavailable, 0, "", {}, ""}, 503, ""},
        SubmitCase{{SubmitStatus::kUnknown, 0, "", {}, ""}, 504, ""}));

TEST_F(AdminApiContract, InvalidTextAnswersWithAllErrors) {
  backend_.submit_result_ = {
      SubmitStatus::kInvalid, 0, "", {{{3, 4}, "bad"}, {{5, 6}, "worse"}}, ""};
  const nlohmann::json json = SendForJson(
      MakeRequest("PUT", "/teams/kitchen", "kitchen-token", "0", "text"));
  EXPECT_EQ(json["errors"][1],
            (nlohmann::json{{"line", 5}, {"column", 6}, {"message", "worse"}}));
}

TEST_F(AdminApiContract, TeamIsReadWithVersionAndHistory) {
  const HttpResponse response = Send(MakeRequest("GET", "/teams/kitchen"));
  EXPECT_EQ(response.etag, "7");
  EXPECT_EQ(
      nlohmann::json::parse(response.body),
      (nlohmann::json{{"team", "kitchen"},
                      {"version", 7},
                      {"text", "team = \"kitchen\""},
                      {"seen", {{{"version", 7}, {"applied_ago_ms", 2}}}}}));
}

TEST_F(AdminApiContract, HealthReadinessAndMetricsAreServed) {
  EXPECT_EQ(Send(MakeRequest("GET", "/healthz")).status, 200);
  EXPECT_EQ(Send(MakeRequest("GET", "/readyz")).status, 200);
  backend_.readiness_ = {false, "no configuration yet"};
  const HttpResponse response = Send(MakeRequest("GET", "/readyz"));
  EXPECT_EQ(response.status, 503);
  EXPECT_THAT(response.body, HasSubstr("no configuration yet"));
  const HttpResponse metrics = Send(MakeRequest("GET", "/metrics"));
  EXPECT_EQ(metrics.body, "m 1\n");
  EXPECT_EQ(metrics.content_type, "text/plain; version=0.0.4");
}

TEST_F(AdminApiContract, OperatorsDrainTheProxy) {
  EXPECT_EQ(Send(MakeRequest("POST", "/drain", "operators-token")).status, 202);
  EXPECT_EQ(backend_.changes_, 1);
}

// Guards against an uncertain verdict that is reported like a certain one.
TEST_F(AdminApiContract, ResolveReportsTheVerdict) {
  backend_.outcome_.verdict = Verdict::kRan;
  backend_.outcome_.payload = "[1]";
  const HttpResponse ran = Send(MakeRequest("POST", "/resolve/s-1/a:b.c-1"));
  EXPECT_EQ(ran.status, 200);
  EXPECT_THAT(ran.body, HasSubstr(R"("verdict":"ran")"));
  EXPECT_EQ(backend_.resolved_, "s-1|a:b.c-1");
  backend_.outcome_ = {};
  EXPECT_EQ(SendForJson(MakeRequest("POST", "/resolve/s-1/a"))["verdict"],
            "not_run");
  backend_.outcome_.reason = Reason::kUnknownService;
  EXPECT_EQ(Send(MakeRequest("POST", "/resolve/s-1/a")).status, 404);
  backend_.outcome_.verdict = Verdict::kMayHaveRun;
  EXPECT_EQ(Send(MakeRequest("POST", "/resolve/s-1/a")).status, 504);
}

TEST_F(AdminApiContract, StatusHasGroupsOwnersAndMembers) {
  GroupEndpointStatus endpoint;
  endpoint.name = "registro-1-mdz";
  endpoint.is_primary = true;
  endpoint.owner = "entry-2";
  endpoint.position = {3, 17};
  endpoint.lag = Duration(1'500);
  endpoint.observed_ago = Duration(250'000);
  endpoint.pool = PoolStatus{3, 2, 5, 4, 1, true};
  GroupEndpointStatus unseen;
  unseen.name = "registro-1-cor";
  backend_.status_.groups = {
      {"registro-1", "registro", 3, "registro-1-mdz", {endpoint, unseen}}};
  backend_.status_.members = {
      {"entry-2", "mendoza", "127.0.0.1:1", 4, 9, VmState::kSuspected}};
  const nlohmann::json json = SendForJson(MakeRequest("GET", "/status"));
  const nlohmann::json& first = json["groups"][0]["endpoints"][0];
  EXPECT_EQ(first["role"], "primary");
  EXPECT_EQ(first["position"]["index"], 17);
  EXPECT_EQ(first["lag_ms"], 1.5);
  EXPECT_EQ(first["observed_ago_ms"], 250);
  EXPECT_EQ(first["pool"]["waiting"], 5);
  EXPECT_FALSE(json["groups"][0]["endpoints"][1].contains("position"));
  EXPECT_EQ(json["members"][0]["state"], "suspected");
}

}  // namespace
}  // namespace carawayhaven
