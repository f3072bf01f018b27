// Stand-in for the platform's object API; docs/platform.md lists its
// assumptions. Usage: platform_standin IP PORT
//
//   GET  /objects/PATH            the object, its version as ETag
//   PUT  /objects/PATH            conditional update by If-Match
//   GET  /objects/PREFIX?watch=R  objects changed after revision R (long poll)
//   POST /faults                  {"down": bool, "delay_ms": n,
//                                  "lose_answers": n, "vm_list_lag_ms": n}
//   GET  /counters                number of calls so far

#include <cstdlib>
#include <deque>
#include <iostream>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "carawayhaven/exceptions.h"
#include "net/event_loop.h"
#include "net/http_server.h"
#include "standins/object_table.h"
#include "wire/json_fields.h"

namespace carawayhaven::standins {
namespace {

using std::chrono::milliseconds;

constexpr Duration kWatchTimeout = std::chrono::seconds(30);
constexpr Duration kRateWindow = std::chrono::seconds(1);
// The platform is specified for several hundred writes and about 2,000 reads
// per second, over all clients. A watch counts as one read.
constexpr std::size_t kMaxWritesPerSecond = 500;
constexpr std::size_t kMaxReadsPerSecond = 2000;
constexpr char kObjectsPath[] = "/objects/";
constexpr char kVmPrefix[] = "vms/";

// Limits the number of calls within any period of kRateWindow.
class RateLimit {
 public:
  explicit RateLimit(std::size_t limit) : limit_(limit) {}

  bool TryAcquire(TimePoint now) {
    while (!calls_.empty() && calls_.front() + kRateWindow <= now) {
      calls_.pop_front();
    }
    if (calls_.size() >= limit_) return false;
    calls_.push_back(now);
    return true;
  }

 private:
  std::size_t limit_;
  std::deque<TimePoint> calls_;
};

class PlatformServer : public HttpHandler {
 public:
  explicit PlatformServer(EventLoop& loop) : loop_(loop) {}

  void OnRequest(const HttpRequest& request, HttpResponder respond) override {
    if (request.path == "/faults") {
      SetFaults(request.body, respond);
    } else if (request.path == "/counters") {
      ReportCounters(respond);
    } else if (down_) {
      ++refused_;
      respond({503, "application/json", "", R"({"error":"down"})"});
    } else if (delay_ > Duration::zero()) {
      loop_.RunAfter(delay_,
                     [this, request, respond] { Serve(request, respond); });
    } else {
      Serve(request, respond);
    }
  }

 private:
  struct Watch {
    std::string prefix;
    std::uint64_t after = 0;
    TimePoint expires_at;
    HttpResponder respond;
  };

  void Serve(const HttpRequest& request, const HttpResponder& respond) {
    if (!request.path.starts_with(kObjectsPath)) {
      respond({404, "application/json", "", R"({"error":"unknown path"})"});
      return;
    }
    const std::string path = request.path.substr(sizeof(kObjectsPath) - 1);
    const bool write = request.method == "PUT";
    RateLimit& limit = write ? writes_per_second_ : reads_per_second_;
    ++(write ? writes_ : reads_);
    if (!limit.TryAcquire(EventLoop::Now())) {
      ++refused_;
      respond({429, "application/json", "", R"({"error":"rate limit"})"});
    } else if (write) {
      Put(path, request, respond);
    } else if (request.query.starts_with("watch=")) {
      StartWatch(path, request.query.substr(6), respond);
    } else {
      Get(path, respond);
    }
  }

  void Get(const std::string& path, const HttpResponder& respond) {
    const ObjectEntry* object = objects_.Find(path);
    if (object == nullptr) {
      respond({404, "application/json", "", R"({"error":"no object"})"});
      return;
    }
    respond(
        {200, "text/plain", std::to_string(object->version), object->value});
  }

  void Put(const std::string& path, const HttpRequest& request,
           const HttpResponder& respond) {
    if (path.starts_with(kVmPrefix) && vm_list_lag_ > Duration::zero()) {
      const std::string value = request.body;
      loop_.RunAfter(vm_list_lag_, [this, path, value] {
        const ObjectEntry* current = objects_.Find(path);
        objects_.Put(path, value, current == nullptr ? 0 : current->version);
        CompleteReadyWatches();
      });
      respond({200, "application/json", "0", ""});
      return;
    }
    const auto version =
        objects_.Put(path, request.body,
                     std::strtoull(request.if_match.c_str(), nullptr, 10));
    CompleteReadyWatches();
    // The update has taken effect, but the client never receives the reply.
    if (lose_answers_ > 0) {
      --lose_answers_;
      unanswered_.push_back(respond);
      return;
    }
    if (version) {
      respond({200, "application/json", std::to_string(*version), ""});
      return;
    }
    const ObjectEntry* current = objects_.Find(path);
    respond({412, "application/json",
             std::to_string(current == nullptr ? 0 : current->version),
             R"({"error":"version"})"});
  }

  void StartWatch(const std::string& prefix, const std::string& after,
                  const HttpResponder& respond) {
    watches_.push_back({prefix, std::strtoull(after.c_str(), nullptr, 10),
                        EventLoop::Now() + kWatchTimeout, respond});
    CompleteReadyWatches();
    loop_.RunAfter(kWatchTimeout, [this] { CompleteReadyWatches(); });
  }

  // Answers the watches that have changes to report or have expired.
  void CompleteReadyWatches() {
    std::vector<Watch> waiting;
    for (Watch& watch : std::exchange(watches_, {})) {
      const auto changed = objects_.ChangedAfter(watch.prefix, watch.after);
      if (changed.empty() && EventLoop::Now() < watch.expires_at) {
        waiting.push_back(std::move(watch));
        continue;
      }
      nlohmann::json list = {{"revision", objects_.revision()},
                             {"objects", nlohmann::json::array()}};
      for (const ObjectEntry& object : changed) {
        list["objects"].push_back({{"path", object.path},
                                   {"value", object.value},
                                   {"version", object.version}});
      }
      watch.respond({200, "application/json", "", list.dump()});
    }
    watches_ = std::move(waiting);
  }

  void SetFaults(const std::string& body, const HttpResponder& respond) {
    try {
      const nlohmann::json faults = ParseJsonObject(body);
      down_ = OptionalBool(faults, "down", down_);
      delay_ = milliseconds(
          OptionalNumber(faults, "delay_ms",
                         static_cast<std::uint64_t>(delay_.count()) / 1000));
      lose_answers_ = OptionalNumber(faults, "lose_answers", lose_answers_);
      vm_list_lag_ = milliseconds(OptionalNumber(
          faults, "vm_list_lag_ms",
          static_cast<std::uint64_t>(vm_list_lag_.count()) / 1000));
    } catch (const DecodeError& error) {
      respond({400, "text/plain", "", error.what()});
      return;
    }
    if (down_) watches_.clear();
    respond({200, "application/json", "", "{}"});
  }

  void ReportCounters(const HttpResponder& respond) {
    const nlohmann::json counters = {{"reads", reads_},
                                     {"writes", writes_},
                                     {"refused", refused_},
                                     {"waiting_watches", watches_.size()}};
    respond({200, "application/json", "", counters.dump()});
  }

  EventLoop& loop_;
  ObjectTable objects_;
  std::vector<Watch> watches_;
  std::vector<HttpResponder> unanswered_;
  RateLimit writes_per_second_{kMaxWritesPerSecond};
  RateLimit reads_per_second_{kMaxReadsPerSecond};
  bool down_ = false;
  Duration delay_{0};
  Duration vm_list_lag_{0};
  std::uint64_t lose_answers_ = 0;
  std::uint64_t reads_ = 0;
  std::uint64_t writes_ = 0;
  std::uint64_t refused_ = 0;
};

}  // namespace
}  // namespace carawayhaven::standins

int main(int argc, char** argv) {
  if (argc != 3) {
    std::cerr << "usage: platform_standin IP PORT\n";
    return 2;
  }
  try {
    carawayhaven::EventLoop loop;
    carawayhaven::standins::PlatformServer server(loop);
    const carawayhaven::HttpServer http(
        loop, argv[1], static_cast<std::uint16_t>(std::atoi(argv[2])), server);
    loop.OnTerminationSignal([&loop] { loop.Stop(); });
    loop.Run();
  } catch (const std::exception& error) {
    std::cerr << "platform_standin: " << error.what() << "\n";
    return 1;
  }
  return 0;
}
