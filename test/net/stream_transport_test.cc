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

class StreamToAPeerThatDoesNotRead : public LoopFixture {
 protected:
  StreamToAPeerThatDoesNotRead() {
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
TEST_F(StreamToAPeerThatDoesNotRead, CloseAfterSendDeliversAllBytes) {
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

}  // namespace
}  // namespace carawayhaven
