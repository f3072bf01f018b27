// Measures the processor time, bytes and allocations of one message of each
// kind on the data path, and the periodic work of the control plane by the size
// of the fleet. Runs in real time, not in virtual time.
#include <benchmark/benchmark.h>

#include <array>
#include <cstdlib>
#include <memory>
#include <new>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include "core/config/config_store.h"
#include "core/endpoint_answer.h"
#include "core/endpoint_command.h"
#include "core/endpoint_link.h"
#include "core/group/group_directory.h"
#include "core/group/group_monitor.h"
#include "core/membership/membership.h"
#include "core/peer_link.h"
#include "core/platform_store.h"
#include "wire/caller_codec.h"
#include "wire/endpoint_codec.h"
#include "wire/peer_codec.h"

namespace {

std::size_t allocations = 0;

}  // namespace

// Not inlined: GCC warns of mismatched allocation functions when it inlines
// only one of operator new and operator delete.
[[gnu::noinline]] void* operator new(std::size_t size) {
  ++allocations;
  void* memory = std::malloc(size);
  if (memory == nullptr) throw std::bad_alloc();
  return memory;
}

[[gnu::noinline]] void operator delete(void* memory) noexcept {
  std::free(memory);
}
[[gnu::noinline]] void operator delete(void* memory,
                                       std::size_t /*size*/) noexcept {
  std::free(memory);
}

namespace carawayhaven {
namespace {

constexpr TimePoint kNow(std::chrono::seconds(100));
constexpr char kCallerText[] =
    R"({"type":"request","id":17,"service":"registro-1","statement":"append",)"
    R"("parameters":["pack-17","m3-99"],"access":"write",)"
    R"("request_id":"m3-99","timeout_ms":2000,"token":"registro-1:3.123456"})";

// Reports the number of allocations of one iteration.
class AllocationCounter {
 public:
  explicit AllocationCounter(benchmark::State& state)
      : state_(state), before_(allocations) {}
  ~AllocationCounter() {
    state_.counters["allocations"] =
        static_cast<double>(allocations - before_) /
        static_cast<double>(state_.iterations());
  }
  AllocationCounter(const AllocationCounter&) = delete;
  AllocationCounter& operator=(const AllocationCounter&) = delete;

 private:
  benchmark::State& state_;
  std::size_t before_;
};

ForwardMessage MakeForward() {
  ForwardMessage forward;
  forward.correlation = 12345;
  forward.endpoint = "registro-1-mdz";
  forward.term = 3;
  forward.request = DecodeCallerRequest(kCallerText, {}, kNow).request;
  forward.request.traceparent =
      "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01";
  return forward;
}

ForwardReplyMessage MakeReply() {
  ForwardReplyMessage reply{12345, 3, {}};
  reply.outcome.verdict = Verdict::kRan;
  reply.outcome.payload = R"(["m1-1","m3-99"])";
  reply.outcome.position = {3, 123457};
  reply.outcome.served_by = "registro-1-mdz";
  return reply;
}

HeartbeatMessage MakeHeartbeat(std::int64_t changes) {
  HeartbeatMessage message;
  message.sender = {"vm-0417",        "a-1", "10.20.30.41:7600",
                    1764838000000000, 4711,  VmState::kAlive};
  for (std::int64_t i = 0; i < changes; ++i) {
    message.changes.push_back(message.sender);
  }
  return message;
}

void MeasurePeerMessage(benchmark::State& state, const PeerMessage& message) {
  const AllocationCounter count(state);
  std::size_t bytes = 0;
  for (auto _ : state) {
    const std::vector<std::uint8_t> encoded = EncodePeerMessage(message, kNow);
    bytes = encoded.size();
    benchmark::DoNotOptimize(DecodePeerMessage(encoded, kNow));
  }
  state.counters["bytes"] = static_cast<double>(bytes);
}

void ForwardEncodeAndDecode(benchmark::State& state) {
  MeasurePeerMessage(state, MakeForward());
}
BENCHMARK(ForwardEncodeAndDecode);

void ForwardReplyEncodeAndDecode(benchmark::State& state) {
  MeasurePeerMessage(state, MakeReply());
}
BENCHMARK(ForwardReplyEncodeAndDecode);

void HeartbeatEncodeAndDecode(benchmark::State& state) {
  MeasurePeerMessage(state, MakeHeartbeat(state.range(0)));
}
BENCHMARK(HeartbeatEncodeAndDecode)->Arg(0)->Arg(1)->Arg(8);

void CallerRequestDecode(benchmark::State& state) {
  const AllocationCounter count(state);
  for (auto _ : state) {
    benchmark::DoNotOptimize(DecodeCallerRequest(kCallerText, {}, kNow));
  }
  state.counters["bytes"] = sizeof(kCallerText) - 1;
}
BENCHMARK(CallerRequestDecode);

void CallerAnswerEncode(benchmark::State& state) {
  const AllocationCounter count(state);
  const Outcome outcome = MakeReply().outcome;
  const SessionToken token = SessionToken::Parse("registro-1:3.123457");
  std::size_t bytes = 0;
  for (auto _ : state) {
    bytes = EncodeCallerAnswer(17, outcome, token, "").size();
  }
  state.counters["bytes"] = static_cast<double>(bytes);
}
BENCHMARK(CallerAnswerEncode);

void EndpointCommandEncode(benchmark::State& state) {
  const AllocationCounter count(state);
  EndpointCommand command;
  command.operation = EndpointOperation::kExecute;
  command.correlation = 99;
  command.term = 3;
  command.statement = "append";
  command.parameters = R"(["pack-17","m3-99"])";
  command.access = AccessMode::kWrite;
  command.id = {"m3-99", 0};
  std::size_t bytes = 0;
  for (auto _ : state) bytes = EncodeEndpointCommand(command).size();
  state.counters["bytes"] = static_cast<double>(bytes);
}
BENCHMARK(EndpointCommandEncode);

void EndpointAnswerDecode(benchmark::State& state) {
  const AllocationCounter count(state);
  EndpointAnswer answer;
  answer.correlation = 99;
  answer.term = 3;
  answer.position = {3, 123457};
  answer.primary = "registro-1-mdz";
  answer.payload = R"(["m1-1","m3-99"])";
  const std::string text = EncodeEndpointAnswer(answer);
  for (auto _ : state) benchmark::DoNotOptimize(DecodeEndpointAnswer(text));
  state.counters["bytes"] = static_cast<double>(text.size());
}
BENCHMARK(EndpointAnswerDecode);

// Opens connections and answers commands at the next call of Deliver.
class AnsweringLink : public EndpointLink {
 public:
  ConnectionId Open(std::string_view /*address*/,
                    EndpointEvents& events) override {
    opening_.push_back({++last_, &events});
    return last_;
  }
  bool Send(ConnectionId connection, const EndpointCommand& command) override {
    ++sent;
    for (const auto& [id, events] : open_) {
      if (id == connection) unanswered_.push_back({id, events, command});
    }
    return true;
  }
  void Close(ConnectionId connection) override {
    std::erase_if(open_, [connection](const auto& entry) {
      return entry.first == connection;
    });
  }
  void Deliver(TimePoint now) {
    for (const auto& entry : std::exchange(opening_, {})) {
      open_.push_back(entry);
      entry.second->OnConnectionOpened(entry.first, now);
    }
    for (const PendingCommand& pending : std::exchange(unanswered_, {})) {
      EndpointAnswer answer;
      answer.correlation = pending.command.correlation;
      answer.term = 1;
      answer.primary = "db-a";
      pending.events->OnAnswer(pending.id, answer, now);
    }
  }

  std::size_t sent = 0;

 private:
  struct PendingCommand {
    ConnectionId id;
    EndpointEvents* events;
    EndpointCommand command;
  };
  ConnectionId last_ = 0;
  std::vector<std::pair<ConnectionId, EndpointEvents*>> opening_;
  std::vector<std::pair<ConnectionId, EndpointEvents*>> open_;
  std::vector<PendingCommand> unanswered_;
};

class DiscardingPeers : public PeerLink {
 public:
  bool Send(const VmName& /*vm*/, const PeerMessage& /*message*/) override {
    return true;
  }
  void SetAddress(const VmName& /*vm*/, std::string_view /*a*/) override {}
};

class UnusedStore : public PlatformStore {
 public:
  void Get(std::string_view /*path*/, StoreCallback /*callback*/) override {}
  void Put(std::string_view /*path*/, std::string_view /*value*/,
           ObjectVersion /*expected*/, StoreCallback /*callback*/) override {}
  void Watch(std::string_view /*prefix*/, ObjectVersion /*after*/,
             StoreCallback /*callback*/) override {}
};

// The only owner of endpoint db-a; another VM owns all other endpoints.
class SoleOwner : public OwnerResolver {
 public:
  std::vector<VmName> OwnersOf(const EndpointConfig& endpoint,
                               std::size_t /*count*/) const override {
    return {endpoint.name == "db-a" ? name_ : VmName("other")};
  }
  const VmName& self() const override { return name_; }

 private:
  VmName name_ = "vm-0";
};

class IgnoringHandler : public GroupMonitorHandler {
  void OnGroupChanged(const GroupUpdateMessage& /*update*/,
                      TimePoint /*now*/) override {}
  void HoldWrites(const ServiceName& /*s*/, TimePoint /*now*/) override {}
  void ReleaseWrites(const ServiceName& /*s*/, TimePoint /*now*/) override {}
  bool WritesInFlight(const ServiceName& /*service*/) override { return false; }
};

// One second of a VM that owns one endpoint in each of N groups: a tick of all
// monitors every 10 ms, as in an event loop that has work, and the answers to
// their probes.
void GroupMonitorsForOneSecond(benchmark::State& state) {
  ServiceConfig service;
  service.name = "db";
  service.endpoints = {{"db-a", "10.0.0.1:1", "a-1", false},
                       {"db-b", "10.0.0.2:1", "a-2", false},
                       {"db-c", "10.0.0.3:1", "a-3", false}};
  AnsweringLink link;
  DiscardingPeers peers;
  UnusedStore store;
  const SoleOwner owners;
  GroupDirectory groups;
  std::mt19937_64 random(1);
  IgnoringHandler handler;
  std::vector<std::unique_ptr<GroupMonitor>> monitors;
  for (std::int64_t i = 0; i < state.range(0); ++i) {
    monitors.push_back(
        std::make_unique<GroupMonitor>(service, owners.self(), link, peers,
                                       store, owners, groups, random, handler));
  }
  TimePoint now = kNow;
  const AllocationCounter count(state);
  for (auto _ : state) {
    for (int i = 0; i < 100; ++i) {
      now += std::chrono::milliseconds(10);
      for (const auto& monitor : monitors) monitor->Tick(now);
      link.Deliver(now);
    }
  }
  state.counters["commands"] =
      static_cast<double>(link.sent) / static_cast<double>(state.iterations());
}
BENCHMARK(GroupMonitorsForOneSecond)
    ->Arg(1)
    ->Arg(4)
    ->Arg(16)
    ->Unit(benchmark::kMicrosecond);

// Recomputes the owners of all endpoints after a change of membership.
// Arguments: number of VMs, spread over 6 data centres, and of databases, which
// have three endpoints each.
void OwnersAfterMembershipChange(benchmark::State& state) {
  DiscardingPeers peers;
  std::mt19937_64 random(1);
  ConfigStore configs;
  Membership membership({"vm-0", "a-1", "10.0.0.1:1", 1}, peers, configs,
                        random);
  const std::array<const char*, 6> data_centres = {"a-1", "a-2", "a-3",
                                                   "b-1", "b-2", "b-3"};
  std::vector<ListedVm> vms;
  for (std::int64_t i = 1; i < state.range(0); ++i) {
    vms.push_back(
        {"vm-" + std::to_string(i),
         data_centres[static_cast<std::size_t>(i) % data_centres.size()],
         "10.0.0.2:1", false});
  }
  membership.OnVmList(vms, kNow);
  std::vector<EndpointConfig> endpoints;
  for (std::int64_t i = 0; i < 3 * state.range(1); ++i) {
    endpoints.push_back({"db-" + std::to_string(i), "10.0.0.3:1",
                         data_centres[static_cast<std::size_t>(i) % 6], false});
  }
  std::uint64_t incarnation = 1;
  for (auto _ : state) {
    ++incarnation;
    const VmState next =
        incarnation % 2 == 0 ? VmState::kLeaving : VmState::kAlive;
    HeartbeatMessage heartbeat;
    heartbeat.sender = {"vm-1", "a-2", "10.0.0.2:1", incarnation, 5, next};
    heartbeat.reply = true;
    membership.OnPeerMessage("vm-1", heartbeat, kNow);
    for (const EndpointConfig& endpoint : endpoints) {
      benchmark::DoNotOptimize(membership.OwnersOf(endpoint, 1));
    }
  }
}
BENCHMARK(OwnersAfterMembershipChange)
    ->Args({100, 1200})
    ->Args({300, 1200})
    ->Args({830, 1200})
    ->Args({830, 300})
    ->Args({830, 3600})
    ->Unit(benchmark::kMillisecond);

}  // namespace
}  // namespace carawayhaven
