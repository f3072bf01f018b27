#include <map>
#include <vector>

#include "loop_fixture.h"
#include "net/websocket_client.h"
#include "net/websocket_server.h"

namespace carawayhaven {
namespace {

constexpr std::uint16_t kPort = 7801;
constexpr char kAddress[] = "127.0.0.1:7801";

class Recorder : public WebSocketHandler {
 public:
  explicit Recorder(bool echoes) : echoes_(echoes) {}

  void OnOpen(const std::shared_ptr<WebSocketConnection>& socket) override {
    sockets.push_back(socket);
  }
  void OnMessage(const std::shared_ptr<WebSocketConnection>& socket,
                 std::string_view message) override {
    messages.emplace_back(message);
    if (echoes_) socket->Send(message);
    if (message == "close") socket->CloseAfterSend();
  }
  void OnClose(const std::shared_ptr<WebSocketConnection>&) override {
    ++closed;
  }

  std::vector<std::shared_ptr<WebSocketConnection>> sockets;
  std::vector<std::string> messages;
  int closed = 0;

 private:
  bool echoes_;
};

class WebSocketServerAndClient : public LoopFixture {
 protected:
  std::shared_ptr<WebSocketConnection> Open() {
    const std::size_t open = local_.sockets.size();
    auto socket = client_.Connect(kAddress, local_);
    EXPECT_TRUE(RunUntil([&] { return local_.sockets.size() > open; }));
    return socket;
  }

  // Opens a connection that is read only when the test does so.
  RawSocket OpenRaw() {
    RawSocket socket(kPort);
    EXPECT_TRUE(socket.connected());
    socket.Write(kWebSocketHandshake);
    EXPECT_TRUE(RunUntil([&] { return !remote_.sockets.empty(); }));
    return socket;
  }

  Recorder remote_{true};
  Recorder local_{false};
  WebSocketServer server_{*loop_, "127.0.0.1", kPort, remote_};
  WebSocketClient client_{*loop_};
};

// Guards against messages that are split at the size of a buffer, merged or
// reordered.
TEST_F(WebSocketServerAndClient, MessagesOfAllSizesArriveCompleteAndInOrder) {
  const auto socket = Open();
  std::vector<std::string> sent;
  for (const std::size_t size :
       {std::size_t{1}, std::size_t{16 * 1024}, std::size_t{16 * 1024 + 1},
        WebSocketConnection::kMaxMessageBytes, std::size_t{2}}) {
    sent.emplace_back(size, static_cast<char>('a' + sent.size()));
    socket->Send(sent.back());
  }
  EXPECT_TRUE(RunUntil([&] { return local_.messages.size() >= sent.size(); }));
  EXPECT_EQ(remote_.messages, sent);
  EXPECT_EQ(local_.messages, sent);
}

// Guards against a queue of small messages that needs a round of the loop for
// each message.
TEST_F(WebSocketServerAndClient, ManySmallMessagesTakeFewRoundsOfTheLoop) {
  constexpr std::size_t kMessages = 2'000;
  const auto socket = Open();
  for (std::size_t i = 0; i < kMessages; ++i) socket->Send("small");
  std::size_t rounds = 0;
  loop_->OnRoundEnd([&rounds] { ++rounds; });
  EXPECT_TRUE(RunUntil([&] { return local_.messages.size() == kMessages; }));
  loop_->OnRoundEnd(nullptr);
  EXPECT_LT(rounds, kMessages / 4);
}

TEST_F(WebSocketServerAndClient, MessageOverTheLimitClosesOnlyItsConnection) {
  const auto socket = Open();
  const auto other = Open();
  socket->Send(std::string(WebSocketConnection::kMaxMessageBytes + 1, 'x'));
  EXPECT_TRUE(
      RunUntil([&] { return local_.closed == 1 && remote_.closed == 1; }));
  other->Send("still here");
  EXPECT_TRUE(RunUntil([&] { return !local_.messages.empty(); }));
  EXPECT_EQ(remote_.messages, std::vector<std::string>{"still here"});
}

// Guards against messages that are handled after the server has decided to
// close the connection.
TEST_F(WebSocketServerAndClient, NothingIsDeliveredAfterCloseAfterSend) {
  const auto socket = Open();
  socket->Send("close");
  socket->Send("after");
  EXPECT_TRUE(
      RunUntil([&] { return local_.closed == 1 && remote_.closed == 1; }));
  EXPECT_EQ(remote_.messages, std::vector<std::string>{"close"});
  EXPECT_EQ(local_.messages, std::vector<std::string>{"close"});
}

TEST_F(WebSocketServerAndClient, FailedOpenIsReportedOnceAndNotFromTheCall) {
  RawListener listener;
  listener.Close();
  client_.Connect(listener.address(), local_);
  EXPECT_EQ(local_.closed, 0);
  EXPECT_TRUE(RunUntil([&] { return local_.closed > 0; }));
  RunTicks(4);
  EXPECT_EQ(local_.closed, 1);
  EXPECT_TRUE(local_.sockets.empty());
}

TEST_F(WebSocketServerAndClient, AbortClosesTheConnectionWithoutALocalEvent) {
  Open()->Abort();
  EXPECT_TRUE(RunUntil([&] { return remote_.closed == 1; }));
  EXPECT_EQ(local_.closed, 0);
}

// Guards against a connection over its backlog limit that is never closed,
// because its socket does not become writable again.
TEST_F(WebSocketServerAndClient, PeerThatDoesNotReadIsDisconnectedAtTheLimit) {
  RawSocket silent = OpenRaw();
  const std::string part(256 * 1024, 'x');
  // Fills the socket buffers of the system first, then the backlog.
  for (int i = 0; i < 30; ++i) remote_.sockets.front()->Send(part);
  RunTicks(20);
  EXPECT_EQ(remote_.closed, 0);
  for (int i = 0; i < 40; ++i) remote_.sockets.front()->Send(part);
  EXPECT_TRUE(RunUntil([&] { return remote_.closed == 1; }));
}

// Guards against an answer that is truncated because the connection is closed
// while a part of the answer has not reached the socket yet.
TEST_F(WebSocketServerAndClient, CloseAfterSendDeliversTheQueuedMessages) {
  RawSocket slow = OpenRaw();
  // More than the buffers of the sockets hold.
  const std::string message(WebSocketConnection::kMaxBacklogBytes, 'x');
  remote_.sockets.front()->Send(message);
  remote_.sockets.front()->CloseAfterSend();
  RunTicks(10);
  EXPECT_TRUE(RunUntil([&] { return !slow.Read(); }));
  EXPECT_GE(slow.received().size(), message.size());
}

}  // namespace
}  // namespace carawayhaven
