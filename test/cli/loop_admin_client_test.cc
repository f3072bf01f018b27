#include "cli/loop_admin_client.h"

#include <gtest/gtest.h>
#include <unistd.h>

#include <thread>

#include "net/event_loop.h"
#include "net/http_server.h"

namespace carawayhaven {
namespace {

// Echoes the received request and stops its event loop after a DELETE.
class EchoHandler : public HttpHandler {
 public:
  explicit EchoHandler(EventLoop& loop) : loop_(loop) {}

  void OnRequest(const HttpRequest& request, HttpResponder responder) override {
    responder({200, "text/plain", request.if_match,
               request.method + ' ' + request.path + ' ' +
                   request.bearer_token + ' ' + request.body});
    if (request.method == "DELETE") {
      loop_.RunAfter(std::chrono::milliseconds(50), [this] { loop_.Stop(); });
    }
  }

 private:
  EventLoop& loop_;
};

class LoopAdminClientWithServer : public testing::Test {
 protected:
  // Derived from the process id, because tests of several checkouts may run on
  // one machine at the same time.
  const std::uint16_t port_ =
      static_cast<std::uint16_t>(20'000 + getpid() % 10'000);
  const std::string address_ = "127.0.0.1:" + std::to_string(port_);
  EventLoop loop_;
  EchoHandler handler_{loop_};
  HttpServer server_{loop_, "127.0.0.1", port_, handler_};
  LoopAdminClient client_;
};

// Guards against headers or body of a submit being lost or truncated, and
// against a client that works for a single call only.
TEST_F(LoopAdminClientWithServer, ConsecutiveRequestsArriveComplete) {
  std::thread server([this] { loop_.Run(); });
  HttpRequest request;
  request.method = "PUT";
  request.path = "/teams/kitchen";
  request.if_match = "7";
  request.bearer_token = "token";
  request.body = std::string(100'000, 'x');
  const HttpResponse put_response = client_.Call(address_, request);
  request.method = "DELETE";
  request.body.clear();
  const HttpResponse delete_response = client_.Call(address_, request);
  server.join();
  EXPECT_EQ(put_response.status, 200);
  EXPECT_EQ(put_response.etag, "7");
  EXPECT_EQ(put_response.body,
            "PUT /teams/kitchen token " + std::string(100'000, 'x'));
  EXPECT_EQ(delete_response.status, 200);
}

TEST(LoopAdminClientWithoutServer, CallReturnsStatusZero) {
  HttpRequest request;
  request.method = "GET";
  request.path = "/healthz";
  EXPECT_EQ(LoopAdminClient().Call("127.0.0.1:1", request).status, 0);
}

}  // namespace
}  // namespace carawayhaven
