#include <deque>
#include <optional>
#include <string>
#include <vector>

#include "net/http_server.h"
#include "net/loop_fixture.h"
#include "platform/object_store.h"

namespace carawayhaven::platform {
namespace {

constexpr std::uint16_t kPort = 7860;
constexpr char kAddress[] = "127.0.0.1:7860";

HttpResponse Answer(int status, const std::string& body,
                    const std::string& era) {
  HttpResponse response{status, "application/json", "", body};
  if (!era.empty()) response.headers.emplace_back("Store-Era:", era);
  return response;
}

std::string Object(const std::string& name, const std::string& revision) {
  return R"({"meta":{"Name":")" + name + R"(","Revision":)" + revision +
         R"(},"spec":{"a":1}})";
}

std::string Page(const std::string& items, int revision, bool more) {
  return R"({"items":[)" + items + R"(],"StoreRevision":)" +
         std::to_string(revision) + R"(,"More":)" + (more ? "true" : "false") +
         '}';
}

std::string Events(const std::string& events, int revision) {
  return R"({"events":[)" + events + R"(],"StoreRevision":)" +
         std::to_string(revision) + '}';
}

// A store that answers calls with prepared responses, or later if there are
// none.
class ClientOfARestoredStore : public LoopFixture, public HttpHandler {
 protected:
  void OnRequest(const HttpRequest& request, HttpResponder respond) override {
    requests_.push_back(request);
    if (answers_.empty()) {
      waiting_.push_back(std::move(respond));
      return;
    }
    respond(answers_.front());
    answers_.pop_front();
  }

  StoreCallback Into(std::vector<StoreReply>& replies) {
    return [&replies](const StoreReply& reply) { replies.push_back(reply); };
  }

  StoreReply Await(std::vector<StoreReply>& replies) {
    EXPECT_TRUE(RunUntil([&replies] { return !replies.empty(); }));
    return replies.empty() ? StoreReply{} : replies.front();
  }

  StoreReply Get(const HttpResponse& answer) {
    answers_.push_back(answer);
    std::vector<StoreReply> replies;
    store_.Get("k/a", Into(replies));
    return Await(replies);
  }

  StoreReply Put(ObjectVersion expected, const HttpResponse& answer) {
    answers_.push_back(answer);
    std::vector<StoreReply> replies;
    store_.Put("k/a", R"({"a":1})", expected, Into(replies));
    return Await(replies);
  }

  StoreReply Watch(ObjectVersion after,
                   const std::vector<HttpResponse>& answers) {
    answers_.insert(answers_.end(), answers.begin(), answers.end());
    std::vector<StoreReply> replies;
    store_.Watch("k/", after, Into(replies));
    return Await(replies);
  }

  // Makes the client see an era by a call of its own.
  void EnterEra(const std::string& era) {
    EXPECT_EQ(Get(Answer(404, "", era)).status, StoreStatus::kNotFound);
    requests_.clear();
  }

  std::deque<HttpResponse> answers_;
  std::vector<HttpRequest> requests_;
  std::vector<HttpResponder> waiting_;
  HttpServer server_{*loop_, "127.0.0.1", kPort, *this};
  ObjectStore store_{*loop_, kAddress};
};

// Guards against an object of a restored store that seems older than the state
// that the restore replaced.
TEST_F(ClientOfARestoredStore, VersionsRiseWithTheEra) {
  StoreReply reply = Get(Answer(200, Object("a", "17"), ""));
  EXPECT_EQ(reply.object.version, MakeVersion(0, 17));
  EXPECT_EQ(reply.era, 0U);
  reply = Get(Answer(200, Object("a", "9"), "3"));
  EXPECT_EQ(reply.status, StoreStatus::kOk);
  EXPECT_EQ(reply.object.version, MakeVersion(3, 9));
  EXPECT_EQ(reply.era, 3U);
  reply = Watch(0, {Answer(200, Page(Object("a", "9"), 12, false), "3")});
  EXPECT_EQ(reply.revision, MakeVersion(3, 12));
  ASSERT_EQ(reply.objects.size(), 1U);
  EXPECT_EQ(reply.objects.front().version, MakeVersion(3, 9));
  reply =
      Watch(reply.revision,
            {Answer(200, Events(R"({"Object":)" + Object("a", "13") + "}", 13),
                    "3")});
  EXPECT_EQ(reply.revision, MakeVersion(3, 13));
  ASSERT_EQ(reply.objects.size(), 1U);
  EXPECT_EQ(reply.objects.front().version, MakeVersion(3, 13));
  const std::string& query = requests_.back().query;
  EXPECT_EQ(query.substr(0, query.find("WaitMs") - 1), "Watch=12");
  reply = Put(MakeVersion(3, 13), Answer(200, Object("a", "14"), "3"));
  EXPECT_EQ(reply.status, StoreStatus::kOk);
  EXPECT_EQ(reply.object.version, MakeVersion(3, 14));
  EXPECT_NE(requests_.back().body.find(R"("Revision":13)"), std::string::npos);
}

// Guards against an update that overwrites another state of the object, which
// got the expected revision after the restore.
TEST_F(ClientOfARestoredStore, UpdateOfAnEarlierEraWritesNothing) {
  EnterEra("2");
  StoreReply reply =
      Put(MakeVersion(1, 30), Answer(200, Object("a", "30"), "2"));
  EXPECT_EQ(reply.status, StoreStatus::kConflict);
  EXPECT_EQ(reply.object.version, MakeVersion(2, 30));
  reply = Put(MakeVersion(1, 30), Answer(404, "", "2"));
  EXPECT_EQ(reply.status, StoreStatus::kNotFound);
  for (const HttpRequest& request : requests_) {
    EXPECT_EQ(request.method, "GET");
  }
}

// Guards against an update that is taken for confirmed although it met another
// state of the object.
TEST_F(ClientOfARestoredStore, UpdateAcrossARestoreIsNotConfirmed) {
  EnterEra("1");
  StoreReply reply =
      Put(MakeVersion(1, 30), Answer(409, Object("a", "24"), "2"));
  EXPECT_EQ(reply.status, StoreStatus::kConflict);
  EXPECT_EQ(reply.object.version, MakeVersion(2, 24));
  reply = Put(MakeVersion(2, 24), Answer(200, Object("a", "25"), "3"));
  EXPECT_EQ(reply.status, StoreStatus::kUnknown);
  EXPECT_EQ(reply.era, 3U);
  reply = Put(0, Answer(201, Object("a", "26"), "4"));
  EXPECT_EQ(reply.status, StoreStatus::kOk);
  EXPECT_EQ(reply.object.version, MakeVersion(4, 26));
}

// Guards against a reply that was under way during the restore and reports an
// object that the restore replaced.
TEST_F(ClientOfARestoredStore, ReplyOfAnEarlierEraIsUnknown) {
  std::vector<StoreReply> replies;
  store_.Get("k/a", Into(replies));
  ASSERT_TRUE(RunUntil([this] { return !waiting_.empty(); }));
  EnterEra("2");
  waiting_.front()(Answer(200, Object("a", "40"), "1"));
  const StoreReply reply = Await(replies);
  EXPECT_EQ(reply.status, StoreStatus::kUnknown);
  EXPECT_TRUE(reply.object.path.empty());
  EXPECT_EQ(Get(Answer(503, "", "1")).status, StoreStatus::kOverloaded);
}

// Guards against a watch that continues from a revision that was given out
// again, and so misses the changes up to it.
TEST_F(ClientOfARestoredStore, WatchOfAnEarlierEraListsAgain) {
  EnterEra("2");
  std::vector<StoreReply> replies;
  store_.Watch("k/", MakeVersion(1, 40), Into(replies));
  EXPECT_TRUE(replies.empty());
  EXPECT_EQ(Await(replies).status, StoreStatus::kRevisionTooOld);
  EXPECT_TRUE(requests_.empty());
  const StoreReply reply =
      Watch(MakeVersion(2, 40),
            {Answer(200, Events(R"({"Object":)" + Object("a", "41") + "}", 41),
                    "3")});
  EXPECT_EQ(reply.status, StoreStatus::kRevisionTooOld);
  EXPECT_EQ(reply.era, 3U);
}

// Guards against changes that are seen late because a watch waits on a
// connection on which the restored store sends nothing.
TEST_F(ClientOfARestoredStore, PendingWatchEndsWhenAnotherCallSeesTheEra) {
  EnterEra("1");
  std::vector<StoreReply> replies;
  store_.Watch("k/", MakeVersion(1, 40), Into(replies));
  ASSERT_TRUE(RunUntil([this] { return !waiting_.empty(); }));
  const TimePoint restored = EventLoop::Now();
  EnterEra("2");
  EXPECT_EQ(Await(replies).status, StoreStatus::kRevisionTooOld);
  EXPECT_LT(EventLoop::Now() - restored, std::chrono::seconds(1));
  waiting_.front()(Answer(200, Events("", 50), "2"));
  RunTicks(4);
  EXPECT_EQ(replies.size(), 1U);
}

// Guards against a list whose pages are from before and after a restore: an
// object between them would be missing or outdated.
TEST_F(ClientOfARestoredStore, ListAcrossARestoreStartsAgain) {
  const StoreReply reply =
      Watch(0, {Answer(200, Page(Object("a", "40"), 50, true), "1"),
                Answer(200, Page(Object("b", "30"), 31, false), "2"),
                Answer(200, Page(Object("a", "20"), 31, true), "2"),
                Answer(200, Page(Object("b", "30"), 33, false), "2")});
  EXPECT_EQ(reply.status, StoreStatus::kOk);
  EXPECT_TRUE(reply.complete);
  EXPECT_EQ(reply.revision, MakeVersion(2, 31));
  ASSERT_EQ(reply.objects.size(), 2U);
  EXPECT_EQ(reply.objects[0].version, MakeVersion(2, 20));
  EXPECT_EQ(reply.objects[1].version, MakeVersion(2, 30));
  ASSERT_EQ(requests_.size(), 4U);
  EXPECT_EQ(requests_[1].query, "after=a");
  EXPECT_EQ(requests_[2].query, "");
}

// Guards against an era or a revision that spills into the other and makes
// every later version seem old.
TEST_F(ClientOfARestoredStore, ValuesOutOfRangeAreUnknown) {
  for (const char* era :
       {"8192", "99999999999999999999", "-1", "1.5", "x", "1 2"}) {
    SCOPED_TRACE(era);
    EXPECT_EQ(Get(Answer(200, Object("a", "17"), era)).status,
              StoreStatus::kUnknown);
  }
  for (const char* revision :
       {"1099511627776", "18446744073709551616", "-1", "1e300"}) {
    SCOPED_TRACE(revision);
    EXPECT_EQ(Get(Answer(200, Object("a", revision), "1")).status,
              StoreStatus::kUnknown);
    // Such an item of a list affects no other one.
    const StoreReply list = Watch(
        0,
        {Answer(200,
                Page(Object("a", revision) + "," + Object("b", "4"), 5, false),
                "1")});
    EXPECT_EQ(list.status, StoreStatus::kOk);
    ASSERT_EQ(list.objects.size(), 1U);
    EXPECT_EQ(list.objects[0].path, "k/b");
    EXPECT_EQ(Watch(0, {Answer(200,
                               std::string(R"({"items":[],"StoreRevision":)") +
                                   revision + "}",
                               "1")})
                  .status,
              StoreStatus::kUnknown);
  }
  const StoreReply reply =
      Get(Answer(200, Object("a", "1099511627775"), "8191"));
  EXPECT_EQ(reply.status, StoreStatus::kOk);
  EXPECT_EQ(reply.object.version, MakeVersion(8191, 1099511627775));
}

}  // namespace
}  // namespace carawayhaven::platform
