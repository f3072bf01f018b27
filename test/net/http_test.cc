#include <array>
#include <cerrno>
#include <vector>

#include "loop_fixture.h"
#include "net/http_client.h"
#include "net/http_server.h"

namespace carawayhaven {
namespace {

constexpr std::uint16_t kPort = 7800;
constexpr char kAddress[] = "127.0.0.1:7800";
constexpr Duration kTimeout = std::chrono::seconds(15);

class HttpServerAndClient : public LoopFixture, public HttpHandler {
 protected:
  void OnRequest(const HttpRequest& request, HttpResponder respond) override {
    requests_.push_back(request);
    if (request.path == "/late") {
      late_responders_.push_back(std::move(respond));
    } else {
      respond({200, "text/plain", request.if_match, request.body, headers_});
    }
  }

  HttpResponse Call(HttpRequest request, Duration timeout = kTimeout) {
    HttpResponse result;
    int answers = 0;
    client_.Send(kAddress, std::move(request), timeout,
                 [&](const HttpResponse& response) {
                   result = response;
                   ++answers;
                 });
    EXPECT_TRUE(RunUntil([&answers] { return answers > 0; }));
    RunTicks(2);
    EXPECT_EQ(answers, 1);
    return result;
  }

  std::vector<std::pair<std::string, std::string>> headers_;
  std::vector<HttpRequest> requests_;
  std::vector<HttpResponder> late_responders_;
  HttpServer server_{*loop_, "127.0.0.1", kPort, *this};
  HttpClient client_{*loop_};
};

// Guards against a header or a part of a body that is lost in transmission.
TEST_F(HttpServerAndClient, HeadersAndBodiesArriveComplete) {
  const struct {
    const char* method;
    std::size_t body_bytes;
    const char* if_match;
    const char* token;
  } cases[] = {{"GET", 0, "", ""},        {"DELETE", 0, "", "secret"},
               {"PUT", 0, "0", ""},       {"PUT", 1, "17", "secret"},
               {"POST", 0, "", ""},       {"POST", 1, "", ""},
               {"PUT", 300'000, "4", ""}, {"PUT", 1024 * 1024, "", ""}};
  for (const auto& entry : cases) {
    const std::string body(entry.body_bytes, 'b');
    const HttpResponse response = Call(
        {entry.method, "/x/y", "watch=1", entry.if_match, entry.token, body});
    SCOPED_TRACE(entry.method + std::to_string(entry.body_bytes));
    EXPECT_EQ(response.status, 200);
    EXPECT_EQ(response.etag, entry.if_match);
    EXPECT_EQ(response.body, body);
    ASSERT_FALSE(requests_.empty());
    EXPECT_EQ(requests_.back().method, entry.method);
    EXPECT_EQ(requests_.back().path, "/x/y");
    EXPECT_EQ(requests_.back().query, "watch=1");
    EXPECT_EQ(requests_.back().if_match, entry.if_match);
    EXPECT_EQ(requests_.back().bearer_token, entry.token);
    EXPECT_EQ(requests_.back().body, body);
  }
  EXPECT_EQ(requests_.size(), std::size(cases));
}

// Guards against a response header that is lost or confused with another one.
TEST_F(HttpServerAndClient, ResponseHeadersThatTheRequestNamesAreRead) {
  headers_ = {{"store-age:", "4"}, {"store-era:", "17"}, {"x-empty:", ""}};
  HttpRequest request{"GET", "/x", "", "", "", ""};
  request.response_headers = {"store-era:", "store-er:", "absent:"};
  const HttpResponse response = Call(request);
  ASSERT_EQ(response.headers.size(), 1U);
  EXPECT_EQ(response.headers.front().first, "store-era:");
  EXPECT_EQ(response.headers.front().second, "17");
  EXPECT_TRUE(Call({"GET", "/x", "", "", "", ""}).headers.empty());
}

// Guards against a handler that is called with a truncated body, and against a
// server that serves no further requests.
TEST_F(HttpServerAndClient, BodyOverTheLimitIsRefusedAndTheServerContinues) {
  const std::string body(HttpServer::kMaxBodyBytes + 1, 'b');
  EXPECT_EQ(Call({"PUT", "/x", "", "", "", body}).status, 413);
  EXPECT_TRUE(requests_.empty());
  EXPECT_EQ(Call({"GET", "/x", "", "", "", ""}).status, 200);
  EXPECT_EQ(requests_.size(), 1U);
}

// Guards against a responder that uses the freed socket of a client that has
// disconnected.
TEST_F(HttpServerAndClient, LateResponseToADisconnectedClientIsIgnored) {
  const Duration short_timeout = std::chrono::milliseconds(50);
  EXPECT_EQ(Call({"GET", "/late", "", "", "", ""}, short_timeout).status, 0);
  RunTicks(4);
  for (const HttpResponder& respond : late_responders_) {
    respond({200, "text/plain", "", "late"});
  }
  EXPECT_EQ(Call({"GET", "/x", "", "", "", ""}).status, 200);
}

// Guards against a request that the client has given up and that the network
// delivers later, behind a newer one: closing the connection in the usual way
// leaves the rest of the request to be sent.
TEST_F(HttpServerAndClient, RequestTimesOutTheConnectionIsReset) {
  const int listener = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  socklen_t length = sizeof(address);
  auto* const any = reinterpret_cast<sockaddr*>(&address);
  ASSERT_EQ(bind(listener, any, length), 0);
  ASSERT_EQ(listen(listener, 1), 0);
  ASSERT_EQ(getsockname(listener, any, &length), 0);
  bool ended = false;
  client_.Send("127.0.0.1:" + std::to_string(ntohs(address.sin_port)),
               {"POST", "/x", "", "", "", "order"},
               std::chrono::milliseconds(50),
               [&ended](const HttpResponse& /*response*/) { ended = true; });
  ASSERT_TRUE(RunUntil([&ended] { return ended; }));
  RunTicks(2);
  const int connection = accept(listener, nullptr, nullptr);
  std::array<char, 4096> buffer{};
  const timeval limit{5, 0};
  setsockopt(connection, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof(limit));
  ssize_t received = 0;
  do {
    received = recv(connection, buffer.data(), buffer.size(), 0);
  } while (received > 0);
  EXPECT_EQ(received, -1);
  EXPECT_TRUE(errno == ECONNRESET || errno == EPIPE) << errno;
  close(connection);
  close(listener);
}

TEST_F(HttpServerAndClient, LateResponseArrivesWhenTheClientWaits) {
  std::string body;
  client_.Send(kAddress, {"GET", "/late", "", "", "", ""}, kTimeout,
               [&body](const HttpResponse& response) { body = response.body; });
  ASSERT_TRUE(RunUntil([this] { return !late_responders_.empty(); }));
  late_responders_.front()({200, "text/plain", "", "late"});
  EXPECT_TRUE(RunUntil([&body] { return body == "late"; }));
}

struct RawRequests {
  const char* name;
  const char* text;
  std::size_t responses;
};

class HttpServerWithRawClient
    : public HttpServerAndClient,
      public testing::WithParamInterface<RawRequests> {};

// Guards against a whole request without a response, depending on its method,
// its body or what follows it on the connection.
TEST_P(HttpServerWithRawClient, EachRequestGetsAResponse) {
  RawSocket socket(kPort);
  socket.Write(GetParam().text);
  const auto responses = [&socket] {
    std::size_t count = 0;
    const std::string& received = socket.received();
    for (std::size_t at = received.find("HTTP/1."); at != std::string::npos;
         at = received.find("HTTP/1.", at + 1)) {
      ++count;
    }
    return count;
  };
  int ticks = 400;
  RunUntil([&] {
    return !socket.Read() || responses() >= GetParam().responses ||
           --ticks == 0;
  });
  EXPECT_EQ(responses(), GetParam().responses) << socket.received();
}

INSTANTIATE_TEST_SUITE_P(
    Requests, HttpServerWithRawClient,
    testing::Values(
        RawRequests{"Get", "GET /x HTTP/1.1\r\nHost: x\r\n\r\n", 1},
        RawRequests{"Http10", "GET /x HTTP/1.0\r\n\r\n", 1},
        RawRequests{"Close",
                    "GET /x HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n",
                    1},
        RawRequests{"Pipelined",
                    "GET /x HTTP/1.1\r\nHost: x\r\n\r\n"
                    "GET /y HTTP/1.1\r\nHost: x\r\n\r\n"
                    "GET /z HTTP/1.1\r\nHost: x\r\n\r\n",
                    3},
        RawRequests{"PipelinedAfterABody",
                    "PUT /x HTTP/1.1\r\nHost: x\r\nContent-Length: 3\r\n\r\n"
                    "abcGET /y HTTP/1.1\r\nHost: x\r\n\r\n",
                    2},
        RawRequests{"GetWithABody",
                    "GET /x HTTP/1.1\r\nHost: x\r\nContent-Length: 3\r\n\r\n"
                    "abc",
                    1},
        RawRequests{"DeleteWithABody",
                    "DELETE /x HTTP/1.1\r\nHost: x\r\n"
                    "Content-Length: 3\r\n\r\nabc",
                    1},
        RawRequests{"PatchWithABody",
                    "PATCH /x HTTP/1.1\r\nHost: x\r\nContent-Length: 3\r\n\r\n"
                    "abc",
                    1},
        RawRequests{"Head", "HEAD /x HTTP/1.1\r\nHost: x\r\n\r\n", 1},
        RawRequests{"Options", "OPTIONS /x HTTP/1.1\r\nHost: x\r\n\r\n", 1},
        RawRequests{"Chunked",
                    "PUT /x HTTP/1.1\r\nHost: x\r\n"
                    "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n",
                    1},
        RawRequests{"NotUtf8", "GET /%ff HTTP/1.1\r\nHost: x\r\n\r\n", 1},
        RawRequests{"LengthOfZero",
                    "PUT /x HTTP/1.1\r\nHost: x\r\nContent-Length: 00\r\n\r\n",
                    1},
        RawRequests{"BadLength",
                    "PUT /x HTTP/1.1\r\nHost: x\r\nContent-Length: y\r\n\r\n",
                    1}),
    [](const auto& info) { return std::string(info.param.name); });

}  // namespace
}  // namespace carawayhaven
