#include <nlohmann/json.hpp>
#include <vector>

#include "core/endpoint_answer.h"
#include "core/endpoint_command.h"
#include "loop_fixture.h"
#include "net/endpoint_connector.h"
#include "net/websocket_server.h"
#include "standins/endpoint_server.h"

namespace carawayhaven {
namespace {

using nlohmann::json;
using standins::EndpointServer;

constexpr std::uint16_t kPort = 7840;
constexpr std::uint16_t kReplicaPort = 7841;
constexpr char kAddress[] = "127.0.0.1:7840";

// Runs the endpoint stand-in in the loop of the test. Checks the behaviour of
// an endpoint on which the verdicts of the proxies depend; docs/platform.md
// specifies it.
class EndpointStandin : public LoopFixture, public EndpointEvents {
 protected:
  EndpointStandin() {
    primary_.replication().BecomeInitialPrimary();
    replica_.replication().FollowInitialPrimary("primary");
  }

  void OnConnectionOpened(ConnectionId, TimePoint) override { ++opened_; }
  void OnConnectionClosed(ConnectionId, TimePoint) override {}
  void OnAnswer(ConnectionId, const EndpointAnswer& answer,
                TimePoint) override {
    answers_.push_back(answer);
  }

  json Admin(const std::string& path, const json& body = json::object()) {
    std::string text;
    primary_.OnRequest({"POST", path, "", "", "", body.dump()},
                       [&text](const HttpResponse& r) { text = r.body; });
    return json::parse(text);
  }
  ConnectionId Open() {
    const int opened = opened_;
    const ConnectionId id = connector_.Open(kAddress, *this);
    EXPECT_TRUE(RunUntil([&] { return opened_ > opened; }));
    return id;
  }
  void Send(ConnectionId id, EndpointOperation operation,
            const std::string& statement = "") {
    EndpointCommand command;
    command.operation = operation;
    command.correlation = ++correlation_;
    command.term = 1;
    command.statement = statement;
    command.parameters = R"(["k",1])";
    if (statement == "put") {
      command.access = AccessMode::kWrite;
      command.id.value = "r";
    }
    EXPECT_TRUE(connector_.Send(id, command));
  }
  EndpointAnswer Call(ConnectionId id, EndpointOperation operation,
                      const std::string& statement = "") {
    const std::size_t answers = answers_.size();
    Send(id, operation, statement);
    EXPECT_TRUE(RunUntil([&] { return answers_.size() > answers; }));
    return answers_.empty() ? EndpointAnswer{} : answers_.back();
  }

  std::vector<EndpointAnswer> answers_;
  int opened_ = 0;
  CorrelationId correlation_ = 0;
  EndpointServer primary_{*loop_,
                          {"primary", 1, 20, {{"replica", "127.0.0.1:7841"}}}};
  EndpointServer replica_{*loop_, {"replica", 1, 20, {}}};
  WebSocketServer primary_socket_{*loop_, "127.0.0.1", kPort, primary_};
  WebSocketServer replica_socket_{*loop_, "127.0.0.1", kReplicaPort, replica_};
  EndpointConnector connector_{*loop_};
};

// Guards against a write that takes effect after its proxy has closed the
// connection, and against a slot that stays in use until the write would have
// ended.
TEST_F(EndpointStandin, StatementOfAClosedConnectionHasNoEffect) {
  Admin("/faults", {{"statement_us", 100'000}});
  const ConnectionId lost = Open();
  Send(lost, EndpointOperation::kExecute, "put");
  ASSERT_TRUE(RunUntil([&] { return Admin("/status")["executed"] == 1; }));
  connector_.Close(lost);
  ASSERT_TRUE(RunUntil([&] { return Admin("/status")["connections"] == 0; }));
  const ConnectionId id = Open();
  const EndpointAnswer answer = Call(id, EndpointOperation::kExecute, "get");
  EXPECT_EQ(answer.status, EndpointStatus::kOk);
  EXPECT_EQ(answer.payload, "null");
  RunTicks(30);
  EXPECT_EQ(Call(id, EndpointOperation::kExecute, "get").payload, "null");
  EXPECT_EQ(Admin("/status")["refused_busy"], 0);
  EXPECT_EQ(Admin("/status")["max_running"], 1);
}

TEST_F(EndpointStandin, TransactionOfAClosedConnectionIsRolledBack) {
  const ConnectionId lost = Open();
  Call(lost, EndpointOperation::kBegin);
  EXPECT_EQ(Call(lost, EndpointOperation::kExecute, "put").status,
            EndpointStatus::kOk);
  EXPECT_EQ(Call(lost, EndpointOperation::kExecute, "get").payload, "1");
  connector_.Close(lost);
  EXPECT_EQ(Call(Open(), EndpointOperation::kExecute, "get").payload, "null");
}

// Guards against a primary that measures the age of its data from the arrival
// of a replica's delayed answer instead of from the start of the replication
// round that the replica confirms.
TEST_F(EndpointStandin, AgeOfThePrimaryCountsFromTheReplicationRound) {
  constexpr Duration kLinkDelay = std::chrono::milliseconds(40);
  const ConnectionId id = Open();
  Call(id, EndpointOperation::kConfirm);
  Admin("/faults", {{"link_delay_us", kLinkDelay.count()}});
  RunTicks(20);
  EXPECT_GE(Call(id, EndpointOperation::kConfirm).age, kLinkDelay);
}

}  // namespace
}  // namespace carawayhaven
