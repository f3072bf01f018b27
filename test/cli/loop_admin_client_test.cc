#include "cli/loop_admin_client.h"

#include <gtest/gtest.h>
#include <unistd.h>

#include <thread>

#include "net/event_loop.h"
#include "net/http_server.h"

namespace carawayhaven {
namespace {

// Answers with what it received and stops its loop on DELETE.
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
  // Tests of several checkouts may run at the same time on one machine.
  const std::uint16_t port_ =
      static_cast<std::uint16_t>(20'000 + getpid() % 10'000);
  const std::string address_ = "127.0.0.1:" + std::to_string(port_);
  EventLoop loop_;
  EchoHandler handler_{loop_};
  HttpServer server_{loop_, "127.0.0.1", port_, handler_};
  LoopAdminClient client_;
};

// Guards against headers or a body of a submit that get lost on the way, and
// against a client that can be used only once.
TEST_F(LoopAdminClientWithServer, RequestsArriveWholeOneAfterTheOther) {
  std::thread server([this] { loop_.Run(); });
  HttpRequest request;
  request.method = "PUT";
  request.path = "/teams/kitchen";
  request.if_match = "7";
  request.bearer_token = "token";
  request.body = std::string(100'000, 'x');
  const HttpResponse put = client_.Call(address_, request);
  request.method = "DELETE";
  request.body.clear();
  const HttpResponse last = client_.Call(address_, request);
  server.join();
  EXPECT_EQ(put.status, 200);
  EXPECT_EQ(put.etag, "7");
  EXPECT_EQ(put.body, "PUT /teams/kitchen token " + std::string(100'000, 'x'));
  EXPECT_EQ(last.status, 200);
}

TEST(LoopAdminClientWithoutServer, CallReturnsStatusZero) {
  HttpRequest request;
  request.method = "GET";
  request.path = "/healthz";
  EXPECT_EQ(LoopAdminClient().Call("127.0.0.1:1", request).status, 0);
}

}  // namespace
}  // namespace carawayhaven
