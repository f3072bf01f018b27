#include "net/platform_client.h"

#include <optional>
#include <string>
#include <vector>

#include "loop_fixture.h"
#include "net/http_server.h"

namespace carawayhaven {
namespace {

constexpr std::uint16_t kPort = 7858;
constexpr char kAddress[] = "127.0.0.1:7858";

class PlatformClientWithStore : public LoopFixture, public HttpHandler {
 protected:
  void OnRequest(const HttpRequest&, HttpResponder respond) override {
    respond({200, "application/json", "", body_});
  }

  StoreReply Watch(const std::string& body) {
    body_ = body;
    std::optional<StoreReply> result;
    client_.Watch("vms/", 1,
                  [&result](const StoreReply& reply) { result = reply; });
    EXPECT_TRUE(RunUntil([&result] { return result.has_value(); }));
    return result.value_or(StoreReply{});
  }

  std::string body_;
  HttpServer server_{*loop_, "127.0.0.1", kPort, *this};
  PlatformClient client_{*loop_, kAddress};
};

// Guards against one object of another writer that hides all the others.
TEST_F(PlatformClientWithStore, OneObjectIsOddOthersAreDelivered) {
  const std::string deep =
      std::string(200'000, '[') + std::string(200'000, ']');
  for (const std::string& odd :
       {std::string("1"), std::string("null"), std::string("{}"), deep,
        std::string(R"({"path":"vms/x","value":"{}","version":1e999})"),
        std::string(R"({"path":"vms/x","value":"{}","version":-4})"),
        std::string(R"({"path":"vms/x","value":"{}"})"),
        std::string(R"({"path":7,"value":"{}","version":4})"),
        std::string("{\"path\":\"vms/x\",\"value\":\"\xff\",\"version\":4}"),
        R"({"path":"vms/x","value":)" + deep + R"(,"version":4})"}) {
    SCOPED_TRACE(odd.substr(0, 60));
    const StoreReply reply = Watch(
        R"({"revision":9,"objects":[{"path":"vms/a","value":"1","version":5},)" +
        odd + R"(,{"path":"vms/b","value":"2","version":6}]})");
    EXPECT_EQ(reply.status, StoreStatus::kOk);
    EXPECT_EQ(reply.revision, 9U);
    ASSERT_GE(reply.objects.size(), 2U);
    EXPECT_EQ(reply.objects.front().path, "vms/a");
    EXPECT_EQ(reply.objects.back().path, "vms/b");
    EXPECT_EQ(reply.objects.back().version, 6U);
  }
}

// Guards against a truncated list that is taken for a complete one.
TEST_F(PlatformClientWithStore, ListIsMalformedTheReplyIsUnknown) {
  for (const char* body :
       {"", "[]", "{}", R"({"revision":9})", R"({"revision":-9,"objects":[]})",
        R"({"revision":9,"objects":{}})", R"({"revision":9,"objects":[)"}) {
    EXPECT_EQ(Watch(body).status, StoreStatus::kUnknown) << body;
  }
}

}  // namespace
}  // namespace carawayhaven
