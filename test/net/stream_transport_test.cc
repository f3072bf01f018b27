#include "net/stream_transport.h"

#include <memory>
#include <string>
#include <utility>

#include "loop_fixture.h"
#include "net/stream_events.h"

namespace carawayhaven {
namespace {

constexpr std::uint16_t kPort = 7850;
constexpr char kAddress[] = "127.0.0.1:7850";

class StreamToAPeer : public LoopFixture {
 protected:
  StreamToAPeer() {
    loop_->OnRoundEnd([this] { server_.Flush(); });
  }

  std::shared_ptr<StreamConnection> accepted_;
  StreamTransport server_{*loop_, "server", std::chrono::seconds(10), kAddress,
                          [this](std::shared_ptr<StreamConnection> stream) {
                            accepted_ = std::move(stream);
                          }};
  RawSocket peer_{kPort};
};

// Guards against an answer that is truncated because the connection is closed
// while a part of the answer has not reached the socket yet.
TEST_F(StreamToAPeer, CloseAfterSendDeliversAllBytes) {
  ASSERT_TRUE(RunUntil([this] { return accepted_ != nullptr; }));
  // More than the buffers of the sockets hold.
  const std::string answer(StreamConnection::kMaxBacklogBytes, 'x');
  ASSERT_TRUE(accepted_->Send(answer));
  RunTicks(3);
  accepted_->CloseAfterSend();
  RunTicks(3);
  EXPECT_TRUE(RunUntil([this] { return !peer_.Read(); }));
  EXPECT_EQ(peer_.received().size(), answer.size());
}

// Guards against bytes that are read and dropped between the decision to close
// the connection and its close.
TEST_F(StreamToAPeer, CloseAfterSendClosesAtOnce) {
  ASSERT_TRUE(RunUntil([this] { return accepted_ != nullptr; }));
  ASSERT_TRUE(accepted_->Send("answer"));
  accepted_->CloseAfterSend();
  EXPECT_FALSE(peer_.Read());
  EXPECT_EQ(peer_.received(), "answer");
  RunTicks(3);
  EXPECT_FALSE(accepted_->connected());
}

// As above, when the connection is closed because of what arrived on it.
TEST_F(StreamToAPeer, CloseInItsOwnEventClosesBeforeTheNextRead) {
  ASSERT_TRUE(RunUntil([this] { return accepted_ != nullptr; }));
  class ClosingEvents : public StreamEvents {
   public:
    explicit ClosingEvents(StreamConnection& stream) : stream_(stream) {}
    void OnStreamBytes(std::string_view /*bytes*/) override {
      ++events;
      stream_.Send("answer");
      stream_.CloseAfterSend();
    }
    void OnStreamClosed() override { ++events; }

    int events = 0;

   private:
    StreamConnection& stream_;
  };
  ClosingEvents closing(*accepted_);
  accepted_->SetEvents(&closing);
  peer_.Write("request");
  EXPECT_TRUE(RunUntil([this] { return !peer_.Read(); }));
  EXPECT_EQ(peer_.received(), "answer");
  EXPECT_EQ(closing.events, 1);
}

}  // namespace
}  // namespace carawayhaven
