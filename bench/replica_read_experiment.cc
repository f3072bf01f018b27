// Measures the share of reads with a maximum age that replicas serve, in
// virtual time. Compares the request router with the optimum, which is computed
// from the true state of the group, and with two simple policies: round robin
// over the replicas, and the primary only.
//
// Usage: replica_read_experiment [--check BOUNDS.toml]
//
// With --check the exit code is 1 when a bound of [replica_reads] is broken.

#include <toml++/toml.h>

#include <array>
#include <cstdio>
#include <cstring>
#include <memory>
#include <optional>
#include <random>

#include "carawayhaven/session_token.h"
#include "core/group/group_directory.h"
#include "core/route/deadline_split.h"
#include "core/route/request_router.h"
#include "replica_read_world.h"
#include "route/fake_route.h"
#include "virtual_events.h"

namespace carawayhaven::replica_read {
namespace {

using std::chrono::microseconds;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::size_t kProxies = 6;
constexpr std::size_t kSessions = 120;
constexpr Duration kRunTime = seconds(60);
constexpr Duration kThinkTime = milliseconds(200);
constexpr Duration kServiceTime = milliseconds(2);
constexpr Duration kOneWayInDataCentre = microseconds(250);
constexpr Duration kReadDeadline = seconds(2);
constexpr Duration kWriteDeadline = seconds(20);
constexpr std::array<Duration, 4> kMaxAges = {milliseconds(100), seconds(1),
                                              seconds(10), seconds(60)};

/// One deployment, replica lag and `acknowledge` setting.
struct Case {
  const char* deployment;
  /// One-way latency between data centres; each is in a region of its own.
  Duration one_way_between_data_centres;
  Duration lag;
  AcknowledgeMode acknowledge;
};

struct Result {
  /// Reads with a maximum age, as the request router sends them.
  ReadTally routed;
  ReadTally round_robin;
  ReadTally primary_only;
  /// Reads that some replica could serve within the time that a read may wait.
  std::size_t optimum = 0;
  /// Reads that failed or missed the session's own write.
  std::size_t stale_own_reads = 0;
  /// Latency above that of a direct request to the endpoint that served the
  /// read.
  ReadTally added_latency;
  std::uint64_t writes = 0;

  double OptimumShare() const {
    return static_cast<double>(optimum) / static_cast<double>(routed.count());
  }
  double RatioToOptimum() const {
    return optimum == 0 ? 1 : routed.ReplicaShare() / OptimumShare();
  }
};

std::size_t IndexOf(const EndpointName& endpoint) {
  return static_cast<std::size_t>(endpoint.front() - 'a');
}

class Simulation {
 public:
  explicit Simulation(const Case& setup) : setup_(setup), group_(setup.lag) {
    services_.service().acknowledge = setup.acknowledge;
    for (std::size_t i = 0; i < kProxies; ++i) {
      nodes_.push_back(std::make_unique<Node>(*this, i));
    }
  }

  Result Run() {
    for (std::size_t i = 0; i < kSessions; ++i) {
      sessions_.push_back({i, i % kProxies, {}});
    }
    for (Session& session : sessions_) ScheduleNextRequest(session);
    while (events_.RunOne()) {
    }
    return result_;
  }

 private:
  struct Session {
    std::size_t number;
    std::size_t node;
    SessionToken token;
    std::uint64_t last_write = 0;
  };

  /// A proxy with its request router. The simulation plays the pool owners.
  struct Node : PeerLink {
    Node(Simulation& simulation, std::size_t index)
        : simulation(simulation),
          data_centre(index % 3),
          owners("v" + std::to_string(index)),
          random(index + 1),
          router(simulation.services_, groups, owners, *this, random,
                 Options()) {}

    RequestRouterOptions Options() const {
      RequestRouterOptions options;
      const std::string own =
          std::string("dc-") + static_cast<char>('a' + data_centre);
      options.distance = [own](const DataCentreName& other) {
        return other == own ? 0U : 1U;
      };
      return options;
    }
    bool Send(const VmName& vm, const PeerMessage& message) override {
      simulation.Deliver(*this, vm, std::get<ForwardMessage>(message));
      return true;
    }
    void SetAddress(const VmName&, std::string_view) override {}

    Simulation& simulation;
    std::size_t data_centre;
    FakeOwners owners;
    GroupDirectory groups;
    std::mt19937_64 random;
    RequestRouter router;
    TimePoint tick_at = TimePoint::max();
  };

  Duration OneWay(const Node& node, std::size_t endpoint) const {
    return node.data_centre == endpoint ? kOneWayInDataCentre
                                        : setup_.one_way_between_data_centres;
  }

  Duration DirectLatency(const Node& node, std::size_t endpoint) const {
    return 2 * OneWay(node, endpoint) + kServiceTime;
  }

  void Deliver(Node& node, const VmName& vm, const ForwardMessage& message) {
    const Duration one_way = OneWay(node, IndexOf(message.endpoint));
    events_.At(events_.now() + one_way, [this, &node, vm, message, one_way] {
      ForwardReplyMessage reply{message.correlation, 1, {}};
      const TimePoint replied = Handle(message, reply.outcome) + one_way;
      events_.At(replied, [this, &node, vm, reply] {
        node.router.OnForwardReply(vm, reply, events_.now());
        Schedule(node);
      });
    });
  }

  /// Runs the request at its endpoint (0 is the primary), sets the outcome and
  /// returns the time at which the pool owner sends the reply.
  TimePoint Handle(const ForwardMessage& message, Outcome& outcome) {
    const TimePoint now = events_.now();
    const std::size_t endpoint = IndexOf(message.endpoint);
    outcome.served_by = message.endpoint;
    outcome.from_replica = endpoint != 0;
    const Request& request = message.request;
    if (outcome.from_replica) {
      outcome.position = {1, group_.ReplicaIndex(endpoint, now)};
      if (!group_.Serves(endpoint, now, request.min_position,
                         *request.max_age)) {
        outcome.reason = Reason::kBehind;
        return now;
      }
      outcome.verdict = Verdict::kRan;
      return now + kServiceTime;
    }
    outcome.verdict = Verdict::kRan;
    if (request.access == AccessMode::kRead) {
      outcome.position = {1, group_.PrimaryIndex(now)};
      return now + kServiceTime;
    }
    outcome.position = {1, group_.Commit(now)};
    if (setup_.acknowledge == AcknowledgeMode::kPrimary) {
      return now + kServiceTime;
    }
    return group_.ReplicatedAt(now) + 2 * setup_.one_way_between_data_centres +
           kServiceTime;
  }

  void Schedule(Node& node) {
    const TimePoint next = node.router.NextTick();
    if (next >= node.tick_at) return;
    node.tick_at = next;
    events_.At(next, [this, &node, next] {
      if (node.tick_at != next) return;
      node.tick_at = TimePoint::max();
      node.router.Tick(events_.now());
      Schedule(node);
    });
  }

  void ScheduleNextRequest(Session& session) {
    std::exponential_distribution<double> think_time(
        1.0 / static_cast<double>(kThinkTime.count()));
    const TimePoint next =
        events_.now() +
        Duration(static_cast<Duration::rep>(think_time(random_)));
    if (next > TimePoint(kRunTime)) return;
    events_.At(next, [this, &session] { SubmitRequest(session); });
  }

  void SubmitRequest(Session& session) {
    if (random_() % 10 == 0) session.node = random_() % kProxies;
    Node& node = *nodes_[session.node];
    Request request;
    request.service = "s";
    request.min_position = session.token.PositionOf("s");
    if (random_() % 5 == 0) {
      request.access = AccessMode::kWrite;
      request.idempotent = true;
      request.deadline = events_.now() + kWriteDeadline;
      ++result_.writes;
      node.router.Submit(
          request,
          [this, &session](const Outcome& outcome) {
            if (outcome.verdict == Verdict::kRan) {
              session.token.Advance("s", outcome.position);
              session.last_write = outcome.position.index;
            }
            ScheduleNextRequest(session);
          },
          events_.now());
    } else {
      SubmitRead(session, node, request);
    }
    Schedule(node);
  }

  void SubmitRead(Session& session, Node& node, Request request) {
    const TimePoint start = events_.now();
    request.deadline = start + kReadDeadline;
    const bool has_max_age = random_() % 10 != 0;
    if (has_max_age) {
      request.max_age = kMaxAges[random_() % kMaxAges.size()];
      // The baselines are computed 200 ms later, when every commit that a
      // replica can hold while the read waits has been recorded.
      events_.At(start + milliseconds(200), [this, &node, request, start] {
        TallyBaselines(node, request, start);
      });
    }
    node.router.Submit(
        request,
        [this, &session, &node, has_max_age, start](const Outcome& outcome) {
          const Duration latency = events_.now() - start;
          if (outcome.verdict != Verdict::kRan ||
              outcome.position.index < session.last_write) {
            ++result_.stale_own_reads;
          }
          if (has_max_age) {
            result_.routed.Add(outcome.from_replica, latency);
            result_.added_latency.Add(
                false,
                latency - DirectLatency(node, IndexOf(outcome.served_by)));
          }
          ScheduleNextRequest(session);
        },
        start);
  }

  /// Adds the optimum and the results of the simple policies for one read.
  void TallyBaselines(Node& node, const Request& request, TimePoint start) {
    const Duration wait = MaxReplicaWait(kReadDeadline);
    bool servable = false;
    for (std::size_t replica = 1; replica <= 2; ++replica) {
      const TimePoint first = start + OneWay(node, replica);
      for (Duration waited{0}; waited <= wait && !servable;
           waited += milliseconds(1)) {
        servable = group_.Serves(replica, first + waited, request.min_position,
                                 *request.max_age);
      }
    }
    if (servable) ++result_.optimum;
    const std::size_t next = 1 + round_robin_++ % 2;
    const bool served = group_.Serves(next, start + OneWay(node, next),
                                      request.min_position, *request.max_age);
    result_.round_robin.Add(
        served, served ? DirectLatency(node, next)
                       : 2 * OneWay(node, next) + DirectLatency(node, 0));
    result_.primary_only.Add(false, DirectLatency(node, 0));
  }

  Case setup_;
  VirtualEvents events_;
  Group group_;
  FakeServices services_;
  std::vector<std::unique_ptr<Node>> nodes_;
  std::vector<Session> sessions_;
  std::mt19937_64 random_{42};
  std::size_t round_robin_ = 0;
  Result result_;
};

std::vector<Case> Cases() {
  std::vector<Case> cases;
  for (const AcknowledgeMode mode :
       {AcknowledgeMode::kReplica, AcknowledgeMode::kPrimary}) {
    for (const Duration lag :
         {Duration(milliseconds(50)), Duration(milliseconds(500)),
          Duration(seconds(5))}) {
      cases.push_back({"registry", milliseconds(10), lag, mode});
      cases.push_back({"kitchen", milliseconds(20), lag, mode});
    }
  }
  return cases;
}

int Main(std::optional<std::string> bounds) {
  double min_ratio = 1;
  std::size_t stale = 0;
  std::string rows;
  std::printf(
      "%-9s %-8s %7s %6s | %6s %7s %7s %6s | %7s %7s | %6s %6s %6s | %5s\n",
      "deploym.", "ack", "lag ms", "reads", "share", "optimum", "of opt.",
      "r.rob.", "added", "add p99", "mean", "r.rob.", "prim.", "stale");
  for (const Case& setup : Cases()) {
    const Result result = Simulation(setup).Run();
    const char* mode =
        setup.acknowledge == AcknowledgeMode::kReplica ? "replica" : "primary";
    const double ratio = result.RatioToOptimum();
    min_ratio = std::min(min_ratio, ratio);
    stale += result.stale_own_reads;
    const auto lag_ms = static_cast<int>(setup.lag.count() / 1000);
    std::printf(
        "%-9s %-8s %7d %6zu | %6.3f %7.3f %7.3f %6.3f | %7.2f %7.1f | %6.1f "
        "%6.1f %6.1f | %5zu\n",
        setup.deployment, mode, lag_ms, result.routed.count(),
        result.routed.ReplicaShare(), result.OptimumShare(), ratio,
        result.round_robin.ReplicaShare(), result.added_latency.MeanMs(),
        result.added_latency.P99Ms(), result.routed.MeanMs(),
        result.round_robin.MeanMs(), result.primary_only.MeanMs(),
        result.stale_own_reads);
    std::array<char, 320> row{};
    std::snprintf(
        row.data(), row.size(),
        "%s{\"deployment\":\"%s\",\"acknowledge\":\"%s\",\"lag_ms\":%d,"
        "\"share\":%.4f,\"optimum\":%.4f,\"of_optimum\":%.4f,"
        "\"round_robin\":%.4f,\"added_mean_ms\":%.3f,\"stale\":%zu}",
        rows.empty() ? "" : ",", setup.deployment, mode, lag_ms,
        result.routed.ReplicaShare(), result.OptimumShare(), ratio,
        result.round_robin.ReplicaShare(), result.added_latency.MeanMs(),
        result.stale_own_reads);
    rows += row.data();
  }
  std::printf(
      "{\"experiment\":\"replica_reads\",\"least_of_optimum\":%.4f,"
      "\"stale_own_reads\":%zu,\"cases\":[%s]}\n",
      min_ratio, stale, rows.c_str());
  if (!bounds) return 0;
  const toml::table document = toml::parse_file(*bounds);
  const auto section = document["replica_reads"];
  const double min_ratio_bound =
      section["least_of_optimum"].value<double>().value();
  const auto max_stale_bound =
      section["most_stale_own_reads"].value<std::int64_t>().value();
  if (min_ratio < min_ratio_bound || std::cmp_greater(stale, max_stale_bound)) {
    std::printf("bound broken: of optimum %.4f (least %.4f), stale %zu\n",
                min_ratio, min_ratio_bound, stale);
    return 1;
  }
  return 0;
}

}  // namespace
}  // namespace carawayhaven::replica_read

int main(int argc, char** argv) {
  std::optional<std::string> bounds;
  if (argc == 3 && std::strcmp(argv[1], "--check") == 0) bounds = argv[2];
  return carawayhaven::replica_read::Main(bounds);
}
