#include "platform/object_store.h"

#include <gtest/gtest.h>

#include <deque>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include "carawayhaven/exceptions.h"
#include "core/config/object_watcher.h"
#include "fuzz_loop.h"
#include "net/http_server.h"
#include "net/loop_fixture.h"
#include "platform/documents.h"
#include "platform/promotion_client.h"

namespace carawayhaven::platform {
namespace {

constexpr std::uint16_t kPort = 7850;
constexpr char kAddress[] = "127.0.0.1:7850";

std::string Spec(const std::string& port) {
  return R"({"Service":"huvo","Address":"10.1.0.9:)" + port +
         R"(","Zone":"mendoza","Slots":3,"State":"ready","born":1})";
}

std::string Object(const std::string& name, const std::string& revision,
                   const std::string& spec) {
  return R"({"meta":{"Name":")" + name + R"(","Revision":)" + revision +
         R"(},"spec":)" + spec + "}";
}

std::string List(const std::vector<std::string>& items, int revision,
                 const std::string& more = "false") {
  std::string joined;
  for (const std::string& item : items) {
    if (!joined.empty()) joined += ',';
    joined += item;
  }
  return R"({"items":[)" + joined + R"(],"More":)" + more +
         R"(,"StoreRevision":)" + std::to_string(revision) + "}";
}

std::string Event(const std::string& object, bool deleted, int revision) {
  return R"({"events":[{"Object":)" + object + R"(,"Deleted":)" +
         (deleted ? "true" : "false") + R"(}],"StoreRevision":)" +
         std::to_string(revision) + "}";
}

// Texts in place of a spec that name no endpoint.
std::vector<std::string> OddSpecs() {
  const std::size_t depth = 200'000;
  return {std::string(depth, '[') + std::string(depth, ']'),
          R"({"Service":"huvo","Slots":1e999})",
          R"({"Service":"huvo","Slots":-1e400,"State":"ready"})",
          "\"\xff\xfe\"",
          "1e999",
          "null",
          "[]",
          "{}"};
}

// A stand-in of the store, and a watcher of the endpoints that reads from it.
class EndpointsInTheStore : public LoopFixture,
                            public HttpHandler,
                            public ObjectWatcherEvents {
 protected:
  // Sends the next response. Without one, the request waits for it.
  void OnRequest(const HttpRequest& request, HttpResponder respond) override {
    if (!request.query.starts_with("Watch=")) {
      list_queries_.push_back(request.query);
    }
    responder_ = std::move(respond);
    RespondIfReady();
  }

  void Reply(const std::string& body, int status = 200) {
    responses_.push_back({status, "application/json", "", body});
    RespondIfReady();
  }

  // Ends the watch, if there is one, so that the next request lists.
  void EndWatch() {
    if (synced_ > 0) Reply("", 410);
    list_queries_.clear();
  }

  void OnObject(const StoredObject& object, TimePoint) override {
    try {
      const EndpointRecord record = documents_.DecodeEndpoint(object);
      endpoints_[object.path] = record.address;
    } catch (const DecodeError&) {
      endpoints_.erase(object.path);
      malformed_.push_back(object.path);
    }
  }
  void OnObjectRemoved(std::string_view path, TimePoint) override {
    endpoints_.erase(std::string(path));
  }
  void OnObjectsSynced(TimePoint, TimePoint) override { ++synced_; }
  void OnStoreReachabilityChanged(bool reachable, TimePoint) override {
    if (!reachable) ++failures_;
  }

  // Replies with the body and runs until the watcher has processed it.
  void ReplyAndSync(const std::string& body) {
    const int before = synced_;
    Reply(body);
    ASSERT_TRUE(RunUntil([&] {
      watcher_.Tick(EventLoop::Now());
      return synced_ > before || failures_ > 0;
    }));
    EXPECT_EQ(failures_, 0);
  }

  std::vector<std::string> EndpointNames() const {
    std::vector<std::string> names;
    for (const auto& [path, address] : endpoints_) names.push_back(path);
    return names;
  }

  std::vector<std::string> list_queries_;
  std::map<std::string, std::string> endpoints_;
  std::vector<std::string> malformed_;
  int synced_ = 0;
  int failures_ = 0;
  Documents documents_;
  HttpServer server_{*loop_, "127.0.0.1", kPort, *this};
  ObjectStore store_{*loop_, kAddress};
  std::mt19937_64 random_{1};
  ObjectWatcher watcher_{store_, "servers/", &EventLoop::Now, random_, *this};

 private:
  void RespondIfReady() {
    if (responder_ == nullptr || responses_.empty()) return;
    const HttpResponse response = responses_.front();
    responses_.pop_front();
    std::exchange(responder_, nullptr)(response);
  }

  std::deque<HttpResponse> responses_;
  HttpResponder responder_;
};

using Names = std::vector<std::string>;

// Guards against an entry of another writer that ends the process, or hides the
// entries beside it, when the entries are listed.
TEST_F(EndpointsInTheStore, ListHasAnOddEntryOthersAreUsed) {
  int revision = 10;
  for (const std::string& odd : OddSpecs()) {
    SCOPED_TRACE(odd.substr(0, 60));
    malformed_.clear();
    EndWatch();
    const std::string text = std::to_string(revision);
    ReplyAndSync(
        List({Object("i-1", text, Spec("1001")), Object("odd", text, odd),
              Object("i-2", text, Spec(text + "2"))},
             revision));
    EXPECT_EQ(EndpointNames(), (Names{"servers/i-1", "servers/i-2"}));
    EXPECT_EQ(endpoints_["servers/i-2"], "10.1.0.9:" + text + "2");
    EXPECT_EQ(malformed_, Names{"servers/odd"});
    revision += 10;
  }
}

// Guards against an entry of another writer that ends the process, or stops the
// watch, when the entry changes.
TEST_F(EndpointsInTheStore, EventIsOddLaterEventsAreFollowed) {
  ReplyAndSync(List({Object("i-1", "1", Spec("1001"))}, 1));
  int revision = 10;
  for (const std::string& odd : OddSpecs()) {
    SCOPED_TRACE(odd.substr(0, 60));
    malformed_.clear();
    const auto text = [&revision] { return std::to_string(revision); };
    ReplyAndSync(Event(Object("odd", text(), odd), false, revision));
    EXPECT_EQ(malformed_, Names{"servers/odd"});
    EXPECT_EQ(EndpointNames(), Names{"servers/i-1"});
    ++revision;
    ReplyAndSync(Event(Object("odd", text(), Spec("1003")), false, revision));
    EXPECT_EQ(EndpointNames(), (Names{"servers/i-1", "servers/odd"}));
    ++revision;
    ReplyAndSync(Event(Object("odd", text(), odd), true, revision));
    EXPECT_EQ(EndpointNames(), Names{"servers/i-1"});
    EXPECT_EQ(malformed_, Names{"servers/odd"});
    ++revision;
  }
}

// Guards against an item without name or revision that hides the others.
TEST_F(EndpointsInTheStore, ItemHasNoUsableMetaOthersAreUsed) {
  const std::string deep =
      std::string(200'000, '[') + std::string(200'000, ']');
  const Names items{"1",
                    "null",
                    "\"text\"",
                    "[]",
                    "{}",
                    deep,
                    R"({"spec":{}})",
                    R"({"meta":null,"spec":{}})",
                    R"({"meta":)" + deep + "}",
                    R"({"meta":{"Name":7,"Revision":5}})",
                    R"({"meta":{"Name":"","Revision":5}})",
                    R"({"meta":{"Name":"x"}})",
                    Object("negative", "-5", Spec("1")),
                    Object("fraction", "5.5", Spec("1")),
                    Object("large", "1e999", Spec("1")),
                    Object("larger", "18446744073709551616", Spec("1")),
                    Object("text", "\"5\"", Spec("1"))};
  for (const std::string& item : items) {
    SCOPED_TRACE(item.substr(0, 60));
    EndWatch();
    ReplyAndSync(List({item, Object("i-1", "5", Spec("1001")), item}, 5));
    EXPECT_EQ(EndpointNames(), Names{"servers/i-1"});
    ReplyAndSync(R"({"events":[{"Object":)" + item + R"(},7,{},{"Object":)" +
                 Object("i-2", "6", Spec("1002")) +
                 R"(,"Deleted":false}],"StoreRevision":6})");
    EXPECT_EQ(EndpointNames(), (Names{"servers/i-1", "servers/i-2"}));
    ReplyAndSync(Event(Object("i-2", "1e999", "{}"), true, 7));
    EXPECT_EQ(EndpointNames(), Names{"servers/i-1"});
  }
}

// Guards against a request line that another writer's name breaks, and against
// a list that ends at an entry that cannot be read.
TEST_F(EndpointsInTheStore, PageEndsWithAnOddEntryNextPageIsRead) {
  const struct {
    std::string last;
    std::string query;
  } cases[] = {
      {Object("odd", "5", "1e999"), "after=odd"},
      {Object("odd", "-5", "{}"), "after=odd"},
      {Object("a b\\\"%?#", "5", "{}"), "after=a b\"%?#"},
      // The server of the stand-in ends a query at a control character.
      {Object("a\\r\\nb", "5", "{}"), "after=a"},
      {Object("t\xc3\xa9xt", "5", "{}"), "after=t\xc3\xa9xt"},
      {Object("\xff", "5", "{}"), "after=i-1"},
      {Object(std::string(100'000, 'n'), "5", "{}"), "after=i-1"},
      {"null", "after=i-1"}};
  for (const auto& entry : cases) {
    SCOPED_TRACE(entry.last.substr(0, 60));
    EndWatch();
    Reply(List({Object("i-1", "5", Spec("1001")), entry.last}, 5, "true"));
    ReplyAndSync(List({Object("i-9", "5", Spec("1009"))}, 5));
    EXPECT_EQ(list_queries_, (Names{"", entry.query}));
    EXPECT_TRUE(watcher_.listed());
    EXPECT_TRUE(endpoints_.contains("servers/i-9"));
  }
}

// Guards against a list that is requested again and again, and against taking
// an incomplete list for a complete one, which removes the other entries.
TEST_F(EndpointsInTheStore, MoreFollowsWithoutAUsableNameEntriesAreKept) {
  ReplyAndSync(List({Object("i-1", "1", Spec("1001"))}, 1));
  int revision = 2;
  for (const Names& items :
       {Names{}, Names{"null"}, Names{Object("", "5", "{}")}}) {
    EndWatch();
    ReplyAndSync(List(items, revision++, "true"));
    EXPECT_EQ(EndpointNames(), Names{"servers/i-1"});
    EXPECT_EQ(list_queries_, Names{""});
  }
  // The page after "i-2" ends with "i-2" again.
  EndWatch();
  Reply(List({Object("i-2", "5", Spec("1002"))}, 5, "true"));
  ReplyAndSync(List({Object("i-2", "5", Spec("1002"))}, 5, "true"));
  EXPECT_EQ(EndpointNames(), (Names{"servers/i-1", "servers/i-2"}));
  EXPECT_EQ(list_queries_, (Names{"", "after=i-2"}));
}

// Guards against two items of one name that stop the watch.
TEST_F(EndpointsInTheStore, NameIsListedTwiceTheNewerOneIsUsed) {
  ReplyAndSync(
      List({Object("i-1", "4", Spec("1004")), Object("i-1", "5", Spec("1005")),
            Object("i-1", "3", Spec("1003"))},
           5));
  EXPECT_EQ(endpoints_["servers/i-1"], "10.1.0.9:1005");
}

// Guards against mutated entries that end the process or hide other entries.
// Brackets and quotes are not mutated, as they delimit the entries.
TEST_F(EndpointsInTheStore, EntryIsMutatedOthersAreUsed) {
  const auto keep = [](char c) {
    return std::string_view("[]{}\"\\").find(c) == std::string_view::npos;
  };
  const std::vector<std::string> seeds{
      Object("odd", "5", Spec("1001")),
      Object("odd", "5", R"({"Slots":1e999,"x":[[[-1,null]]]})")};
  const auto structure = [&](std::string text) {
    std::erase_if(text, keep);
    return text;
  };
  const std::vector<std::string> structures{structure(seeds[0]),
                                            structure(seeds[1])};
  std::mt19937_64 random(23);
  int checked = 0;
  while (checked < 400) {
    const std::string mutated = MakeFuzzInput(seeds, random);
    const std::string left = structure(mutated);
    if (left != structures[0] && left != structures[1]) continue;
    if (mutated.front() != '{' || mutated.back() != '}') continue;
    SCOPED_TRACE(mutated);
    ++checked;
    EndWatch();
    const int revision = 10 * checked;
    const std::string text = std::to_string(revision);
    ReplyAndSync(List({Object("i-1", text, Spec("1001")), mutated,
                       Object("i-2", text, Spec("1002"))},
                      revision));
    EXPECT_TRUE(endpoints_.contains("servers/i-1"));
    EXPECT_TRUE(endpoints_.contains("servers/i-2"));
    if (testing::Test::HasFailure()) return;
  }
}

class CallsToTheStore : public LoopFixture, public HttpHandler {
 protected:
  void OnRequest(const HttpRequest&, HttpResponder respond) override {
    respond({status_, "application/json", "", body_});
  }

  template <typename Call>
  StoreStatus Await(int status, const std::string& body, Call call) {
    status_ = status;
    body_ = body;
    std::optional<StoreReply> result;
    call([&result](const StoreReply& reply) { result = reply; });
    EXPECT_TRUE(RunUntil([&result] { return result.has_value(); }));
    return result.value_or(StoreReply{}).status;
  }
  StoreStatus Get(const std::string& body) {
    return Await(200, body, [this](const StoreCallback& done) {
      store_.Get("servers/i-1", done);
    });
  }
  StoreStatus Put(ObjectVersion expected, int status, const std::string& body) {
    return Await(status, body, [this, expected](const StoreCallback& done) {
      store_.Put("servers/i-1", "{}", expected, done);
    });
  }
  StoreStatus Watch(ObjectVersion after, int revision) {
    return Await(200, Event(Object("i-1", "3", "{}"), false, revision),
                 [this, after](const StoreCallback& done) {
                   store_.Watch("servers/", after, done);
                 });
  }

  int status_ = 200;
  std::string body_;
  HttpServer server_{*loop_, "127.0.0.1", kPort, *this};
  ObjectStore store_{*loop_, kAddress};
};

// Guards against a caller that gets the object of another request.
TEST_F(CallsToTheStore, AnswerHasAnotherObjectItIsUnknown) {
  const std::string own = Object("i-1", "8", "{}");
  const std::string other = Object("i-2", "8", "{}");
  EXPECT_EQ(Get(own), StoreStatus::kOk);
  EXPECT_EQ(Get(other), StoreStatus::kUnknown);
  EXPECT_EQ(Put(7, 200, own), StoreStatus::kOk);
  EXPECT_EQ(Put(7, 200, other), StoreStatus::kUnknown);
  EXPECT_EQ(Put(7, 409, own), StoreStatus::kConflict);
  EXPECT_EQ(Put(7, 409, other), StoreStatus::kUnknown);
  EXPECT_EQ(Put(0, 201, other), StoreStatus::kUnknown);
}

// Guards against a success or a conflict of an update that got the answer of an
// earlier one.
TEST_F(CallsToTheStore, RevisionDoesNotFitTheUpdateIsUnknown) {
  const std::string same = Object("i-1", "7", "{}");
  // An update that changes nothing.
  EXPECT_EQ(Put(7, 200, same), StoreStatus::kOk);
  EXPECT_EQ(Put(7, 200, Object("i-1", "6", "{}")), StoreStatus::kUnknown);
  EXPECT_EQ(Put(7, 409, same), StoreStatus::kUnknown);
  EXPECT_EQ(Put(0, 201, same), StoreStatus::kOk);
  EXPECT_EQ(Put(0, 409, same), StoreStatus::kConflict);
}

// Guards against a watch that goes back to changes that it has delivered.
TEST_F(CallsToTheStore, WatchReplyIsOlderThanTheWatchIsUnknown) {
  EXPECT_EQ(Watch(7, 6), StoreStatus::kUnknown);
  EXPECT_EQ(Watch(7, 7), StoreStatus::kOk);
}

// Guards against an order to promote that may have taken effect and counts as
// refused.
TEST_F(CallsToTheStore, PromotionHasAnUnclearAnswerItIsUnknown) {
  PromotionClient promotions(*loop_, kAddress);
  const auto promote = [&](int status) {
    status_ = status;
    std::optional<PromotionResult> result;
    promotions.Promote("huvo", "i-1", "vm", 7,
                       [&result](PromotionResult got) { result = got; });
    EXPECT_TRUE(RunUntil([&result] { return result.has_value(); }));
    return result;
  };
  for (const int status : {200, 202}) {
    EXPECT_EQ(promote(status), PromotionResult::kAccepted) << status;
  }
  for (const int status : {400, 403, 404, 409, 412}) {
    EXPECT_EQ(promote(status), PromotionResult::kRefused) << status;
  }
  for (const int status : {429, 503}) {
    EXPECT_EQ(promote(status), PromotionResult::kUnavailable) << status;
  }
  for (const int status : {204, 302, 304, 500, 502, 504}) {
    EXPECT_EQ(promote(status), PromotionResult::kUnknown) << status;
  }
  loop_.reset();
}

}  // namespace
}  // namespace carawayhaven::platform
