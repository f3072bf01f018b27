#include "net/endpoint_connector.h"

#include <functional>
#include <map>
#include <vector>

#include "core/endpoint_answer.h"
#include "core/endpoint_command.h"
#include "loop_fixture.h"
#include "net/websocket_server.h"

namespace carawayhaven {
namespace {

constexpr std::uint16_t kPort = 7820;
constexpr char kAddress[] = "127.0.0.1:7820";
constexpr char kOk[] = R"({"id":1,"status":"ok","term":1})";

// Answers each command with all of the given texts.
class ScriptedEndpoint : public WebSocketHandler {
 public:
  void OnOpen(const std::shared_ptr<WebSocketConnection>&) override {}
  void OnMessage(const std::shared_ptr<WebSocketConnection>& socket,
                 std::string_view) override {
    for (const std::string& answer : answers) socket->Send(answer);
  }
  void OnClose(const std::shared_ptr<WebSocketConnection>&) override {
    ++closed;
  }

  std::vector<std::string> answers{kOk};
  int closed = 0;
};

class EndpointConnectorWithServer : public LoopFixture, public EndpointEvents {
 protected:
  void OnConnectionOpened(ConnectionId id, TimePoint) override {
    ++opened_[id];
    if (on_event_) on_event_(id);
  }
  void OnConnectionClosed(ConnectionId id, TimePoint) override {
    ++closed_[id];
    if (on_event_) on_event_(id);
  }
  void OnAnswer(ConnectionId id, const EndpointAnswer&, TimePoint) override {
    ++answers_[id];
    if (on_event_) on_event_(id);
  }

  ConnectionId Open() {
    const ConnectionId id = connector_.Open(kAddress, *this);
    EXPECT_FALSE(connector_.Send(id, EndpointCommand{}));
    EXPECT_TRUE(RunUntil([&] { return opened_[id] == 1; }));
    return id;
  }

  std::function<void(ConnectionId)> on_event_;
  std::map<ConnectionId, int> opened_;
  std::map<ConnectionId, int> closed_;
  std::map<ConnectionId, int> answers_;
  ScriptedEndpoint endpoint_;
  WebSocketServer server_{*loop_, "127.0.0.1", kPort, endpoint_};
  EndpointConnector connector_{*loop_};
};

// Guards against an answer that is accepted after a malformed one on the same
// connection, and against other connections that are closed as well.
TEST_F(EndpointConnectorWithServer, MalformedAnswerClosesOnlyItsConnection) {
  const ConnectionId faulty = Open();
  const ConnectionId other = Open();
  endpoint_.answers = {kOk, "{}", "nonsense", kOk};
  EXPECT_TRUE(connector_.Send(faulty, EndpointCommand{}));
  EXPECT_TRUE(RunUntil([&] { return closed_[faulty] > 0; }));
  EXPECT_EQ(answers_[faulty], 1);
  EXPECT_EQ(connector_.malformed_answers(), 1U);
  EXPECT_FALSE(connector_.Send(faulty, EndpointCommand{}));
  endpoint_.answers = {kOk};
  EXPECT_TRUE(connector_.Send(other, EndpointCommand{}));
  EXPECT_TRUE(RunUntil([&] { return answers_[other] == 1; }));
  EXPECT_EQ(closed_[faulty], 1);
  EXPECT_EQ(closed_[other], 0);
}

// Guards against a command that is reported as not sent although it was sent,
// and against a connection that is unusable after a command that cannot be
// encoded.
TEST_F(EndpointConnectorWithServer, TextThatIsNotUtf8IsNotSent) {
  const ConnectionId id = Open();
  EndpointCommand command;
  command.statement = "\xff";
  EXPECT_FALSE(connector_.Send(id, command));
  EXPECT_TRUE(connector_.Send(id, EndpointCommand{}));
  EXPECT_TRUE(RunUntil([&] { return answers_[id] == 1; }));
}

// Guards against a use after free when the receiver of an event closes the
// connection, and against events after Close.
TEST_F(EndpointConnectorWithServer, CloseInsideAnyCallbackIsSafe) {
  on_event_ = [this](ConnectionId id) { connector_.Close(id); };
  const ConnectionId at_open = Open();
  on_event_ = nullptr;
  const ConnectionId at_answer = Open();
  endpoint_.answers = {kOk, kOk};
  on_event_ = [this](ConnectionId id) { connector_.Close(id); };
  connector_.Send(at_answer, EndpointCommand{});
  EXPECT_TRUE(RunUntil([&] { return endpoint_.closed == 2; }));
  EXPECT_EQ(answers_[at_answer], 1);
  on_event_ = nullptr;
  const ConnectionId at_close = Open();
  on_event_ = [this](ConnectionId id) { connector_.Close(id); };
  endpoint_.answers = {"nonsense"};
  connector_.Send(at_close, EndpointCommand{});
  EXPECT_TRUE(RunUntil([&] { return closed_[at_close] == 1; }));
  EXPECT_EQ(closed_[at_open] + closed_[at_answer], 0);
  const ConnectionId never_open = connector_.Open(kAddress, *this);
  connector_.Close(never_open);
  RunTicks(4);
  EXPECT_EQ(opened_[never_open] + closed_[never_open], 0);
}

TEST_F(EndpointConnectorWithServer, FailedOpenIsReportedOnce) {
  RawListener listener;
  listener.Close();
  const ConnectionId id = connector_.Open(listener.address(), *this);
  EXPECT_EQ(closed_[id], 0);
  EXPECT_TRUE(RunUntil([&] { return closed_[id] > 0; }));
  RunTicks(4);
  EXPECT_EQ(closed_[id], 1);
  EXPECT_EQ(opened_[id], 0);
}

}  // namespace
}  // namespace carawayhaven
