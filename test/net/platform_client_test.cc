#include "net/platform_client.h"

#include <deque>
#include <optional>
#include <string>
#include <utility>
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

// A store that reports an era and replies with prepared responses.
class PlatformClientWithRestoredStore : public LoopFixture, public HttpHandler {
 protected:
  // A watch waits if no response is prepared for it.
  void OnRequest(const HttpRequest& request, HttpResponder respond) override {
    requests_.push_back(request);
    if (responses_.empty()) {
      waiting_.push_back(std::move(respond));
      return;
    }
    respond(responses_.front());
    responses_.pop_front();
  }

  void Prepare(int status, const std::string& era, const std::string& etag,
               const std::string& body) {
    responses_.push_back({status,
                          "application/json",
                          etag,
                          body,
                          {{"x-store-generation:", era}}});
  }

  // Runs until the call has its reply.
  template <typename Call>
  StoreReply Await(Call call) {
    std::optional<StoreReply> result;
    call([&result](const StoreReply& reply) { result = reply; });
    EXPECT_TRUE(RunUntil([&result] { return result.has_value(); }));
    return result.value_or(StoreReply{});
  }
  StoreReply Get() {
    return Await(
        [this](const StoreCallback& done) { client_.Get("teams/t", done); });
  }
  StoreReply Put(ObjectVersion expected) {
    return Await([this, expected](const StoreCallback& done) {
      client_.Put("teams/t", "new", expected, done);
    });
  }
  StoreReply Watch(ObjectVersion after) {
    return Await([this, after](const StoreCallback& done) {
      client_.Watch("teams/", after, done);
    });
  }

  std::vector<HttpRequest> requests_;
  std::deque<HttpResponse> responses_;
  std::vector<HttpResponder> waiting_;
  HttpServer server_{*loop_, "127.0.0.1", kPort, *this};
  PlatformClient client_{*loop_, kAddress};
};

// Guards against a restored object that counts as older than the lost one.
TEST_F(PlatformClientWithRestoredStore, VersionsIncludeTheEra) {
  Prepare(200, "3", "7", "text");
  const StoreReply read = Get();
  EXPECT_EQ(read.status, StoreStatus::kOk);
  EXPECT_EQ(read.era, 3U);
  EXPECT_EQ(read.object.version, MakeVersion(3, 7));

  Prepare(200, "3", "8", "");
  EXPECT_EQ(Put(MakeVersion(3, 7)).object.version, MakeVersion(3, 8));
  EXPECT_EQ(requests_.back().if_match, "7");

  Prepare(200, "3", "",
          R"({"revision":9,"objects":[{"path":"teams/t","value":"1",)"
          R"("version":8}]})");
  const StoreReply changed = Watch(MakeVersion(3, 7));
  EXPECT_EQ(requests_.back().query, "watch=7");
  EXPECT_EQ(changed.revision, MakeVersion(3, 9));
  ASSERT_EQ(changed.objects.size(), 1U);
  EXPECT_EQ(changed.objects.front().version, MakeVersion(3, 8));
  EXPECT_FALSE(changed.complete);
}

// Guards against an update that overwrites another object with the same
// revision.
TEST_F(PlatformClientWithRestoredStore, PutAfterAnEarlierEraIsAConflict) {
  Prepare(200, "1", "7", "old");
  const ObjectVersion base = Get().object.version;
  Prepare(200, "2", "7", "other");
  Get();
  Prepare(200, "2", "7", "other");
  const StoreReply reply = Put(base);
  EXPECT_EQ(requests_.back().method, "GET");
  EXPECT_EQ(reply.status, StoreStatus::kConflict);
  EXPECT_EQ(reply.object.version, MakeVersion(2, 7));
  EXPECT_EQ(reply.object.value, "other");
}

// Guards against an update that is reported as done although the store was
// restored after it, or before it.
TEST_F(PlatformClientWithRestoredStore, ReplyIsOfAnotherEraItIsUnknown) {
  Prepare(200, "2", "7", "text");
  const ObjectVersion base = Get().object.version;
  Prepare(200, "3", "8", "");
  EXPECT_EQ(Put(base).status, StoreStatus::kUnknown);
  Prepare(200, "2", "9", "text");
  EXPECT_EQ(Get().status, StoreStatus::kUnknown);
  for (const char* era :
       {"", "x", "-1", "3x", "8192", "99999999999999999999"}) {
    Prepare(200, era, "9", "text");
    EXPECT_EQ(Get().status, StoreStatus::kUnknown) << era;
  }
}

// Guards against a success or a conflict that an answer does not prove: it has
// no version, or one that this update cannot have.
TEST_F(PlatformClientWithRestoredStore, VersionDoesNotFitTheUpdateIsUnknown) {
  for (const char* etag : {"", "x", "0", "6", "7", "99999999999999999999"}) {
    Prepare(200, "1", etag, "");
    EXPECT_EQ(Put(MakeVersion(1, 7)).status, StoreStatus::kUnknown) << etag;
  }
  for (const char* etag : {"", "x", "7"}) {
    Prepare(412, "1", etag, "");
    EXPECT_EQ(Put(MakeVersion(1, 7)).status, StoreStatus::kUnknown) << etag;
  }
  Prepare(200, "1", "8", "");
  EXPECT_EQ(Put(MakeVersion(1, 7)).status, StoreStatus::kOk);
  Prepare(412, "1", "8", "");
  EXPECT_EQ(Put(MakeVersion(1, 7)).status, StoreStatus::kConflict);
  Prepare(412, "1", "0", "");
  EXPECT_EQ(Put(MakeVersion(1, 7)).status, StoreStatus::kConflict);
  for (const char* etag : {"", "0"}) {
    Prepare(200, "1", etag, "text");
    EXPECT_EQ(Get().status, StoreStatus::kUnknown) << etag;
  }
}

// Guards against a watch that goes back to changes that it has delivered: the
// reply belongs to an earlier watch.
TEST_F(PlatformClientWithRestoredStore,
       WatchReplyIsOlderThanTheWatchIsUnknown) {
  Prepare(200, "1", "7", "text");
  Get();
  Prepare(200, "1", "", R"({"revision":6,"objects":[]})");
  EXPECT_EQ(Watch(MakeVersion(1, 7)).status, StoreStatus::kUnknown);
  Prepare(200, "1", "", R"({"revision":7,"objects":[]})");
  EXPECT_EQ(Watch(MakeVersion(1, 7)).status, StoreStatus::kOk);
}

// Guards against a watch that waits for revisions that were given out again.
TEST_F(PlatformClientWithRestoredStore, WatchOfAnEarlierEraIsTooOld) {
  Prepare(200, "1", "7", "text");
  const ObjectVersion base = Get().object.version;
  std::optional<StoreReply> pending;
  client_.Watch("teams/", base,
                [&pending](const StoreReply& reply) { pending = reply; });
  ASSERT_TRUE(RunUntil([this] { return !waiting_.empty(); }));
  Prepare(200, "2", "5", "text");
  Get();
  ASSERT_TRUE(RunUntil([&pending] { return pending.has_value(); }));
  EXPECT_EQ(pending->status, StoreStatus::kRevisionTooOld);

  const std::size_t sent = requests_.size();
  EXPECT_EQ(Watch(base).status, StoreStatus::kRevisionTooOld);
  EXPECT_EQ(requests_.size(), sent);
  Prepare(410, "2", "", "");
  EXPECT_EQ(Watch(MakeVersion(2, 9)).status, StoreStatus::kRevisionTooOld);
  Prepare(200, "2", "", R"({"revision":5,"objects":[]})");
  EXPECT_TRUE(Watch(0).complete);
}

}  // namespace
}  // namespace carawayhaven
