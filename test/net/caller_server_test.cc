#include "net/caller_server.h"

#include <map>
#include <nlohmann/json.hpp>
#include <vector>

#include "loop_fixture.h"
#include "net/websocket_client.h"

namespace carawayhaven {
namespace {

using nlohmann::json;

constexpr std::uint16_t kPort = 7830;
constexpr char kAddress[] = "127.0.0.1:7830";
constexpr std::size_t kMaxSessions = 3;

// The callers' side of the connections: records what arrives on each of them.
class RecordingCallers : public WebSocketHandler {
 public:
  void OnOpen(const std::shared_ptr<WebSocketConnection>&) override { ++open; }
  void OnMessage(const std::shared_ptr<WebSocketConnection>& socket,
                 std::string_view message) override {
    answers[socket].push_back(json::parse(message));
  }
  void OnClose(const std::shared_ptr<WebSocketConnection>& socket) override {
    closed.push_back(socket);
  }

  int open = 0;
  std::map<std::shared_ptr<WebSocketConnection>, std::vector<json>> answers;
  std::vector<std::shared_ptr<WebSocketConnection>> closed;
};

class CallerServerWithCallers : public LoopFixture, public CallerHandler {
 protected:
  void OnCallerRequest(Request request, CallerResponder respond) override {
    requests_.push_back(std::move(request));
    responders_.push_back(std::move(respond));
  }
  void OnTransactionAbandoned(const ServiceName& service,
                              const TransactionId& id) override {
    abandoned_.push_back(service + "/" + id);
  }

  std::shared_ptr<WebSocketConnection> Open() {
    const int open = callers_.open;
    auto socket = client_.Connect(kAddress, callers_);
    EXPECT_TRUE(RunUntil([&] { return callers_.open > open; }));
    return socket;
  }
  void Send(const std::shared_ptr<WebSocketConnection>& socket,
            const char* type, std::uint64_t id,
            const json& fields = json::object()) {
    json message = {
        {"type", type}, {"id", id}, {"service", "s"}, {"statement", "get"}};
    message.update(fields);
    socket->Send(message.dump());
  }
  bool WaitForRequests(std::size_t count) {
    return RunUntil([&] { return responders_.size() >= count; });
  }
  bool WaitForAnswers(const std::shared_ptr<WebSocketConnection>& socket,
                      std::size_t count) {
    return RunUntil([&] { return callers_.answers[socket].size() >= count; });
  }
  static Outcome Ran() {
    Outcome outcome;
    outcome.verdict = Verdict::kRan;
    outcome.position = {2, 5};
    return outcome;
  }

  std::vector<Request> requests_;
  std::vector<CallerResponder> responders_;
  std::vector<std::string> abandoned_;
  RecordingCallers callers_;
  CallerServer server_{*loop_, kAddress, kMaxSessions, {}, *this};
  WebSocketClient client_{*loop_};
};

// Guards against a proxy that runs out of memory because it accepts too many
// sessions.
TEST_F(CallerServerWithCallers, SessionBeyondTheLimitIsRefused) {
  for (std::size_t i = 0; i < kMaxSessions; ++i) Open();
  const auto refused = Open();
  EXPECT_TRUE(RunUntil([&] { return callers_.closed.size() == 1; }));
  EXPECT_EQ(callers_.closed.front(), refused);
  EXPECT_EQ(callers_.answers[refused].at(0)["type"], "leaving");
  EXPECT_EQ(server_.stats().sessions_refused, 1U);
  EXPECT_EQ(server_.sessions(), kMaxSessions);
}

TEST_F(CallerServerWithCallers, RequestBeyondTheInFlightLimitIsRefused) {
  const auto socket = Open();
  const std::size_t limit = CallerServer::kMaxInFlightPerSession;
  for (std::size_t id = 1; id <= limit + 1; ++id) Send(socket, "request", id);
  ASSERT_TRUE(WaitForAnswers(socket, 1));
  const json refusal = callers_.answers[socket].at(0);
  EXPECT_EQ(refusal["id"], limit + 1);
  EXPECT_EQ(refusal["verdict"], "not_run");
  EXPECT_EQ(refusal["reason"], "overloaded");
  EXPECT_EQ(responders_.size(), limit);
  responders_.front()(Ran(), "");
  Send(socket, "request", 500);
  EXPECT_TRUE(WaitForRequests(limit + 1));
}

// Guards against a refusal that says that a write had no effect, although an
// earlier copy of the commit or the write of the resolve may have run.
TEST_F(CallerServerWithCallers, RefusedResolveAndCommitMayHaveRun) {
  const auto socket = Open();
  const std::size_t limit = CallerServer::kMaxInFlightPerSession;
  for (std::size_t id = 1; id <= limit; ++id) Send(socket, "request", id);
  Send(socket, "resolve", limit + 1, {{"request_id", "r"}});
  Send(socket, "commit", limit + 2,
       {{"transaction", "t"}, {"request_id", "r"}});
  ASSERT_TRUE(WaitForAnswers(socket, 2));
  for (const json& refusal : callers_.answers[socket]) {
    EXPECT_EQ(refusal["verdict"], "may_have_run");
    EXPECT_EQ(refusal["reason"], "overloaded");
  }
}

// Guards against a malformed message of one caller that ends other sessions,
// and against requests that are accepted after it on the same connection.
TEST_F(CallerServerWithCallers, MalformedMessageClosesOnlyItsSession) {
  const auto faulty = Open();
  const auto other = Open();
  Send(faulty, "request", 0, {{"id", "x"}});
  Send(faulty, "request", 2);
  EXPECT_TRUE(RunUntil([&] { return callers_.closed.size() == 1; }));
  EXPECT_EQ(callers_.answers[faulty].size(), 1U);
  EXPECT_EQ(callers_.answers[faulty].at(0)["reason"], "invalid_request");
  EXPECT_TRUE(requests_.empty());
  Send(other, "select", 3);
  ASSERT_TRUE(WaitForAnswers(other, 1));
  EXPECT_EQ(callers_.answers[other].at(0)["id"], 3);
  EXPECT_EQ(server_.stats().invalid_messages, 2U);
  Send(other, "request", 4);
  EXPECT_TRUE(WaitForRequests(1));
}

// Guards against an answer that is sent to another session or uses a freed one,
// when its caller has disconnected.
TEST_F(CallerServerWithCallers, AnswerToADisconnectedCallerIsDropped) {
  const auto disconnected = Open();
  const auto other = Open();
  Send(disconnected, "request", 1);
  ASSERT_TRUE(WaitForRequests(1));
  Send(other, "request", 1);
  ASSERT_TRUE(WaitForRequests(2));
  disconnected->Abort();
  ASSERT_TRUE(RunUntil([&] { return server_.sessions() == 1; }));
  EXPECT_EQ(server_.in_flight(), 2U);
  responders_[0](Ran(), "");
  responders_[1](Ran(), "");
  EXPECT_TRUE(WaitForAnswers(other, 1));
  EXPECT_EQ(server_.in_flight(), 0U);
  EXPECT_TRUE(callers_.answers[disconnected].empty());
}

// Guards against transactions that occupy an endpoint connection after their
// caller has disconnected.
TEST_F(CallerServerWithCallers, TransactionsOfADisconnectedCallerAreAbandoned) {
  const auto socket = Open();
  Send(socket, "begin", 1);
  Send(socket, "begin", 2);
  Send(socket, "begin", 3);
  ASSERT_TRUE(WaitForRequests(3));
  responders_[0](Ran(), "t1");
  responders_[1](Ran(), "t2");
  ASSERT_TRUE(WaitForAnswers(socket, 2));
  Send(socket, "commit", 4, {{"transaction", "t1"}, {"request_id", "r"}});
  ASSERT_TRUE(WaitForRequests(4));
  responders_[3](Ran(), "");
  ASSERT_TRUE(WaitForAnswers(socket, 3));
  socket->Abort();
  ASSERT_TRUE(RunUntil([&] { return server_.sessions() == 0; }));
  EXPECT_EQ(abandoned_, std::vector<std::string>{"s/t2"});
  responders_[2](Ran(), "t3");
  EXPECT_EQ(abandoned_, (std::vector<std::string>{"s/t2", "s/t3"}));
}

// Guards against a token that does not include an acknowledged write, so that
// the session would not read its own writes, and against a token that advances
// on reads, which would send later reads to the primary.
TEST_F(CallerServerWithCallers, OnlyAcknowledgedWritesAdvanceTheToken) {
  const auto socket = Open();
  const json write = {{"access", "write"}, {"request_id", "r"}};
  Send(socket, "request", 1, {{"token", "s:2.4"}});
  Send(socket, "request", 2, write);
  Send(socket, "request", 3, write);
  ASSERT_TRUE(WaitForRequests(3));
  responders_[0](Ran(), "");
  responders_[1](Ran(), "");
  Outcome unknown = Ran();
  unknown.verdict = Verdict::kMayHaveRun;
  responders_[2](unknown, "");
  ASSERT_TRUE(WaitForAnswers(socket, 3));
  EXPECT_EQ(callers_.answers[socket][0]["token"], "s:2.4");
  EXPECT_EQ(callers_.answers[socket][1]["token"], "s:2.5");
  EXPECT_EQ(callers_.answers[socket][2]["token"], "");
}

TEST_F(CallerServerWithCallers, LeavingIsAnnouncedAndNewSessionsAreRefused) {
  const auto socket = Open();
  server_.AnnounceLeaving();
  ASSERT_TRUE(WaitForAnswers(socket, 1));
  EXPECT_EQ(callers_.answers[socket][0]["type"], "leaving");
  const auto late = Open();
  EXPECT_TRUE(RunUntil([&] { return callers_.closed.size() == 1; }));
  EXPECT_EQ(callers_.closed.front(), late);
}

// Guards against a request without an answer: a caller that sends its request
// as soon as the session is open has not read yet that the session is refused.
TEST_F(CallerServerWithCallers, RequestOnARefusedSessionIsRefused) {
  server_.AnnounceLeaving();
  const auto socket = client_.Connect(kAddress, callers_);
  Send(socket, "request", 7);
  EXPECT_TRUE(RunUntil([&] { return callers_.closed.size() == 1; }));
  ASSERT_EQ(callers_.answers[socket].size(), 2U);
  const json refusal = callers_.answers[socket].at(1);
  EXPECT_EQ(refusal["id"], 7);
  EXPECT_EQ(refusal["verdict"], "not_run");
  EXPECT_EQ(refusal["reason"], "leaving");
  EXPECT_TRUE(requests_.empty());
}

// Guards against requests without an answer because a later message of the
// session is malformed.
TEST_F(CallerServerWithCallers, MalformedMessageClosesAfterTheAnswersInFlight) {
  const auto socket = Open();
  Send(socket, "request", 1);
  Send(socket, "request", 2);
  Send(socket, "request", 0, {{"id", "x"}});
  ASSERT_TRUE(WaitForAnswers(socket, 1));
  RunTicks(4);
  EXPECT_TRUE(callers_.closed.empty());
  Send(socket, "request", 3);
  responders_[1](Ran(), "");
  ASSERT_TRUE(WaitForAnswers(socket, 2));
  responders_[0](Ran(), "");
  EXPECT_TRUE(RunUntil([&] { return callers_.closed.size() == 1; }));
  ASSERT_EQ(callers_.answers[socket].size(), 3U);
  EXPECT_EQ(callers_.answers[socket].at(1)["id"], 2);
  EXPECT_EQ(callers_.answers[socket].at(2)["id"], 1);
  EXPECT_EQ(requests_.size(), 2U);
}

// Guards against requests without an answer because a later message of the
// session exceeds the size limit.
TEST_F(CallerServerWithCallers, OversizedMessageClosesAfterTheAnswersInFlight) {
  const auto socket = Open();
  Send(socket, "request", 1);
  ASSERT_TRUE(WaitForRequests(1));
  socket->Send(std::string(WebSocketConnection::kMaxMessageBytes + 1, 'x'));
  ASSERT_TRUE(WaitForAnswers(socket, 1));
  EXPECT_EQ(callers_.answers[socket].at(0)["reason"], "invalid_request");
  EXPECT_TRUE(callers_.closed.empty());
  responders_[0](Ran(), "");
  EXPECT_TRUE(RunUntil([&] { return callers_.closed.size() == 1; }));
  ASSERT_EQ(callers_.answers[socket].size(), 2U);
  EXPECT_EQ(callers_.answers[socket].at(1)["id"], 1);
}

// Guards against a process that ends although a request was not read or its
// answer was not sent.
TEST_F(CallerServerWithCallers, UnreadRequestAndUnsentAnswerArePending) {
  RawSocket socket(kPort);
  socket.Write(kWebSocketHandshake);
  ASSERT_TRUE(RunUntil([this] { return server_.sessions() == 1; }));
  EXPECT_FALSE(server_.HasPendingBytes());
  socket.Write(WebSocketFrame(
      R"({"type":"request","id":1,"service":"s","statement":"get"})"));
  for (int i = 0; i < 1'000 && !server_.HasPendingBytes(); ++i) usleep(1'000);
  EXPECT_TRUE(server_.HasPendingBytes());
  ASSERT_TRUE(WaitForRequests(1));
  EXPECT_FALSE(server_.HasPendingBytes());
  responders_[0](Ran(), "");
  EXPECT_TRUE(server_.HasPendingBytes());
  RunTicks(2);
  EXPECT_FALSE(server_.HasPendingBytes());
}

}  // namespace
}  // namespace carawayhaven
