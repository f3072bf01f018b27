#ifndef CARAWAYHAVEN_TEST_NET_LOOP_FIXTURE_H_
#define CARAWAYHAVEN_TEST_NET_LOOP_FIXTURE_H_

#include <arpa/inet.h>
#include <gtest/gtest.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cerrno>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <utility>

#include "net/event_loop.h"

namespace carawayhaven {

/// Fixture with an event loop that runs until a condition holds or kMaxTicks
/// have passed.
class LoopFixture : public testing::Test {
 protected:
  static constexpr int kMaxTicks = 4'000;
  static constexpr Duration kTick = std::chrono::milliseconds(5);

  /// Returns false if the condition does not hold after kMaxTicks.
  bool RunUntil(const std::function<bool()>& condition) {
    ticks_left_ = kMaxTicks;
    Tick(condition);
    loop_->Run();
    return condition();
  }

  void RunTicks(int ticks) {
    int left = ticks;
    RunUntil([&left] { return --left < 0; });
  }

  // The objects of a test must outlive the loop, so the loop is destroyed
  // first.
  void TearDown() override { loop_.reset(); }

  std::unique_ptr<EventLoop> loop_ = std::make_unique<EventLoop>();

 private:
  void Tick(const std::function<bool()>& condition) {
    if (condition() || --ticks_left_ == 0) {
      loop_->Stop();
      return;
    }
    loop_->RunAfter(kTick, [this, condition] { Tick(condition); });
  }

  int ticks_left_ = 0;
};

/// Opens a WebSocket connection with the subprotocol of the proxies.
inline constexpr char kWebSocketHandshake[] =
    "GET / HTTP/1.1\r\nHost: x\r\nUpgrade: websocket\r\n"
    "Connection: Upgrade\r\nSec-WebSocket-Version: 13\r\n"
    "Sec-WebSocket-Protocol: carawayhaven\r\n"
    "Sec-WebSocket-Key: dGhlIHNhbXBsZSBub25jZQ==\r\n\r\n";

/// Returns a text message of up to 64 KiB in a frame, with a mask of zeros.
inline std::string WebSocketFrame(std::string_view text) {
  std::string frame = "\x81";
  frame += static_cast<char>(0x80 | 126);
  frame += static_cast<char>(text.size() >> 8);
  frame += static_cast<char>(text.size() & 0xff);
  frame.append(4, '\0');
  frame += text;
  return frame;
}

/// A blocking client socket that sends and reads only when a test calls it.
class RawSocket {
 public:
  explicit RawSocket(std::uint16_t port)
      : fd_(socket(AF_INET, SOCK_STREAM, 0)) {
    const sockaddr_in address = LoopbackAddress(port);
    connected_ = connect(fd_, reinterpret_cast<const sockaddr*>(&address),
                         sizeof(address)) == 0;
  }
  /// Takes over a connected socket.
  static RawSocket Adopt(int fd) { return RawSocket(Adopted{fd}); }
  ~RawSocket() { Close(); }
  RawSocket(RawSocket&& other) noexcept
      : fd_(std::exchange(other.fd_, -1)),
        connected_(other.connected_),
        received_(std::move(other.received_)) {}
  RawSocket& operator=(RawSocket&&) = delete;

  bool connected() const { return connected_; }
  void Write(std::string_view bytes) {
    EXPECT_EQ(send(fd_, bytes.data(), bytes.size(), MSG_NOSIGNAL),
              static_cast<ssize_t>(bytes.size()));
  }
  /// Returns true if the peer has closed the connection. Discards up to 4 KiB
  /// of received bytes, without waiting.
  bool IsClosed() {
    char buffer[4096];
    const ssize_t got = recv(fd_, buffer, sizeof(buffer), MSG_DONTWAIT);
    return got == 0 || (got < 0 && errno != EAGAIN);
  }

  /// Appends the bytes that have arrived to received(), without waiting.
  /// Returns false when the peer has closed the connection.
  bool Read() {
    char buffer[64 * 1024];
    while (true) {
      const ssize_t got = recv(fd_, buffer, sizeof(buffer), MSG_DONTWAIT);
      if (got <= 0) return got < 0 && errno == EAGAIN;
      received_.append(buffer, static_cast<std::size_t>(got));
    }
  }
  /// Keeps the window small that is offered to the peer.
  void LimitReceiveBuffer(int bytes) {
    EXPECT_EQ(setsockopt(fd_, SOL_SOCKET, SO_RCVBUF, &bytes, sizeof(bytes)), 0);
  }
  /// As Read, for at most 64 KiB.
  void ReadSome() {
    char buffer[64 * 1024];
    const ssize_t got = recv(fd_, buffer, sizeof(buffer), MSG_DONTWAIT);
    if (got > 0) received_.append(buffer, static_cast<std::size_t>(got));
  }
  const std::string& received() const { return received_; }
  void Close() {
    if (fd_ >= 0) close(fd_);
    fd_ = -1;
  }

  static sockaddr_in LoopbackAddress(std::uint16_t port) {
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    return address;
  }

 private:
  struct Adopted {
    int fd;
  };
  explicit RawSocket(Adopted adopted) : fd_(adopted.fd), connected_(true) {}

  int fd_;
  bool connected_ = false;
  std::string received_;
};

/// Listens on a port chosen by the system and never reads.
class RawListener {
 public:
  RawListener() : fd_(socket(AF_INET, SOCK_STREAM, 0)) {
    sockaddr_in address = RawSocket::LoopbackAddress(0);
    socklen_t length = sizeof(address);
    EXPECT_EQ(bind(fd_, reinterpret_cast<sockaddr*>(&address), length), 0);
    EXPECT_EQ(listen(fd_, 16), 0);
    getsockname(fd_, reinterpret_cast<sockaddr*>(&address), &length);
    address_ = "127.0.0.1:" + std::to_string(ntohs(address.sin_port));
  }
  ~RawListener() { Close(); }
  RawListener(const RawListener&) = delete;
  RawListener& operator=(const RawListener&) = delete;

  const std::string& address() const { return address_; }
  /// Accepts a pending connection.
  RawSocket Accept() { return RawSocket::Adopt(accept(fd_, nullptr, nullptr)); }
  /// Accepts a pending connection and closes it.
  void AcceptAndClose() { close(accept(fd_, nullptr, nullptr)); }
  void Close() {
    if (fd_ >= 0) close(fd_);
    fd_ = -1;
  }

 private:
  int fd_;
  std::string address_;
};

}  // namespace carawayhaven

#endif  // CARAWAYHAVEN_TEST_NET_LOOP_FIXTURE_H_
