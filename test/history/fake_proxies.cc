#include "history/fake_proxies.h"

#include <algorithm>
#include <utility>
#include <variant>

#include "core/config/team_config.h"
#include "core/peer_message.h"

namespace carawayhaven {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::size_t kSessions = 8;
constexpr std::uint64_t kKeys = 16;
constexpr Duration kCallerLatency = milliseconds(3);
constexpr Duration kStatementTime = milliseconds(2);
// Time until the other proxies treat a crashed or paused process as down.
constexpr Duration kDetectionTime = milliseconds(700);
constexpr Duration kFaultWindowStart = seconds(1);
constexpr Duration kFaultWindow = seconds(4);
constexpr Duration kMaxFaultDuration = seconds(3);
constexpr Duration kRecoveryTime = seconds(7);
// Time after the deadline at which a caller stops waiting for the answer.
constexpr Duration kCallerGracePeriod = milliseconds(400);

std::size_t IndexOfVm(const VmName& vm) {
  return static_cast<std::size_t>(vm.back() - '0');
}

RequestRouterOptions MakeRouterOptions(std::uint64_t incarnation,
                                       GroupDirectory& directory) {
  RequestRouterOptions options;
  options.incarnation = incarnation;
  options.position_check = [&directory](const ServiceConfig& service,
                                        LogPosition replica,
                                        LogPosition token) {
    return directory.Satisfies(service, replica, token);
  };
  return options;
}

}  // namespace

FakeProxy::FakeProxy(ProxySimulation& simulation, std::size_t index,
                     std::uint64_t incarnation)
    : simulation_(simulation),
      index_(index),
      name_("vm" + std::to_string(index)),
      link_(simulation.group, index,
            [this](auto event) { Run(std::move(event)); }),
      random_(simulation.random()) {
  const ServiceConfig& service = simulation.group.config();
  monitor_ = std::make_unique<GroupMonitor>(service, name_, link_, *this,
                                            simulation.store, *this, directory_,
                                            random_, *this);
  router_ = std::make_unique<RequestRouter>(
      simulation, directory_, *this, *this, random_,
      MakeRouterOptions(incarnation, directory_));
  PoolOf(service.endpoints[index].name);
  simulation_.clock.After(Duration(random_() % 10000), [this] { Run([] {}); });
}

std::vector<VmName> FakeProxy::OwnersOf(const EndpointConfig& endpoint,
                                        std::size_t count) const {
  std::vector<VmName> owners;
  const std::size_t first =
      simulation_.group.IndexOf(endpoint.name) + (owners_rotated ? 1 : 0);
  for (std::size_t i = 0; i < 3 && owners.size() < count; ++i) {
    const std::size_t vm = (first + i) % 3;
    if (!down_vms[vm]) owners.push_back("vm" + std::to_string(vm));
  }
  return owners;
}

bool FakeProxy::Send(const VmName& vm, const PeerMessage& message) {
  const std::size_t target = IndexOfVm(vm);
  const auto deliver = [this, target, message](Duration delay) {
    const TimePoint sent = simulation_.clock.now();
    simulation_.clock.After(delay, [this, target, message, sent] {
      FakeProxy& peer = simulation_.Vm(target);
      if (peer.crashed()) {
        Run([this, target] {
          router_->OnPeerLost("vm" + std::to_string(target),
                              simulation_.clock.now());
        });
        return;
      }
      PeerMessage received = message;
      // The wire format carries the remaining time, not the absolute deadline,
      // so transit time extends the deadline.
      if (auto* forward = std::get_if<ForwardMessage>(&received)) {
        forward->request.deadline += simulation_.clock.now() - sent;
      }
      peer.Receive(name_, std::move(received));
    });
  };
  if (target == index_) {
    deliver(Duration(0));
    return true;
  }
  const Duration delay = simulation_.Latency(index_, target);
  const auto chance = [this](unsigned percent) {
    return percent > 0 && simulation_.random() % 100 < percent;
  };
  if (chance(simulation_.lost_percent)) return true;
  const bool delayed = chance(simulation_.delayed_percent);
  deliver(delay +
          (delayed ? milliseconds(simulation_.random() % 600) : Duration(0)));
  if (chance(simulation_.duplicated_percent)) {
    deliver(delay + milliseconds(simulation_.random() % 100));
  }
  return true;
}

void FakeProxy::Receive(const VmName& from, PeerMessage message) {
  Run([this, from, message = std::move(message)] {
    const TimePoint now = simulation_.clock.now();
    if (const auto* forward = std::get_if<ForwardMessage>(&message)) {
      OnForward(from, *forward);
    } else if (const auto* reply = std::get_if<ForwardReplyMessage>(&message)) {
      router_->OnForwardReply(from, *reply, now);
    } else {
      monitor_->OnPeerMessage(from, message, now);
    }
  });
}

void FakeProxy::OnForward(const VmName& from, const ForwardMessage& message) {
  if (!filter_.Accept(from, message.correlation)) return;
  PoolOf(message.endpoint)
      .Submit(
          message.request, std::max(message.term, directory_.TermOf("s")),
          [this, from,
           correlation = message.correlation](const Outcome& outcome) {
            Send(from, ForwardReplyMessage{correlation, directory_.TermOf("s"),
                                           outcome});
          },
          simulation_.clock.now());
}

EndpointPool& FakeProxy::PoolOf(const EndpointName& endpoint) {
  std::unique_ptr<EndpointPool>& pool = pools_[endpoint];
  if (pool == nullptr) {
    const EndpointEntry declared = simulation_.FindEndpoint(endpoint);
    EndpointPoolOptions options;
    options.endpoint = endpoint;
    options.address = declared.endpoint->address;
    options.slots = declared.service->slots;
    options.connections = declared.service->connections;
    options.acknowledge = declared.service->acknowledge;
    pool = std::make_unique<EndpointPool>(options, link_, *this);
    pool->SetTerm(directory_.ViewOf(*declared.service).term);
  }
  return *pool;
}

void FakeProxy::OnGroupChanged(const GroupUpdateMessage& update,
                               TimePoint now) {
  for (auto& [endpoint, pool] : pools_) pool->SetTerm(update.term);
  router_->OnGroupChanged(update.service, now);
  for (std::size_t i = 0; i < 3; ++i) {
    if (i != index_) Send("vm" + std::to_string(i), update);
  }
}

void FakeProxy::HoldWrites(const ServiceName& /*service*/, TimePoint now) {
  for (auto& [endpoint, pool] : pools_) pool->Hold(now);
}

void FakeProxy::ReleaseWrites(const ServiceName& /*service*/, TimePoint now) {
  for (auto& [endpoint, pool] : pools_) pool->Release(now);
}

void FakeProxy::OnConnectionsSilent(const EndpointName& endpoint,
                                    TimePoint now) {
  const auto found = pools_.find(endpoint);
  if (found != pools_.end()) found->second->SuspectConnections(now);
}

bool FakeProxy::WritesInFlight(const ServiceName& /*service*/) {
  return std::any_of(pools_.begin(), pools_.end(), [](const auto& entry) {
    return entry.second->HasWritesInFlight();
  });
}

void FakeProxy::OnEndpointAnswer(const EndpointName& endpoint,
                                 const EndpointAnswer& answer, TimePoint now) {
  directory_.RecordObservation(endpoint, {answer.position, answer.age, now});
}

void FakeProxy::Run(std::function<void()> event) {
  if (crashed_) return;
  if (paused_) {
    deferred_events_.push_back(std::move(event));
    return;
  }
  event();
  const TimePoint now = simulation_.clock.now();
  monitor_->Tick(now);
  router_->Tick(now);
  for (auto& [endpoint, pool] : pools_) pool->Tick(now);
  if (!paused_ && !crashed_) ScheduleTick();
}

void FakeProxy::ScheduleTick() {
  const TimePoint now = simulation_.clock.now();
  TimePoint next = std::min(monitor_->NextTick(), router_->NextTick());
  for (const auto& [endpoint, pool] : pools_) {
    next = std::min(next, pool->NextTick());
  }
  const Duration delay = std::max<Duration>(next - now, Duration(1));
  if (next == TimePoint::max()) return;
  simulation_.clock.After(delay, [this, generation = ++tick_generation_] {
    if (generation == tick_generation_ && !paused_) Run([] {});
  });
}

void FakeProxy::Resume() {
  paused_ = false;
  for (auto& event : std::exchange(deferred_events_, {})) Run(std::move(event));
  Run([] {});
}

void FakeProxy::Crash() {
  crashed_ = true;
  deferred_events_.clear();
  link_.CloseAll();
}

FakeSession::FakeSession(ProxySimulation& simulation, std::size_t index)
    : simulation_(simulation), index_(index), vm_(index % 3) {
  simulation_.clock.After(milliseconds(100 + index), [this] { StartNext(); });
}

std::uint64_t FakeSession::Random(std::uint64_t bound) {
  return simulation_.random() % bound;
}

void FakeSession::StartNext() {
  if (simulation_.stopping) return;
  simulation_.clock.After(milliseconds(1 + Random(30)), [this] {
    if (Random(5) == 0) vm_ = Random(3);
    const std::uint64_t kind = Random(100);
    if (kind < 40) {
      const bool with_id = Random(3) != 0;
      Write(with_id ? "w" + std::to_string(index_) + "-" +
                          std::to_string(++counter_)
                    : "",
            0, "k" + std::to_string(Random(kKeys)));
    } else if (kind < 80) {
      Read();
    } else {
      BeginTransaction();
    }
  });
}

void FakeSession::Write(const std::string& id, std::uint32_t attempt,
                        const std::string& key) {
  Request request;
  request.access = AccessMode::kWrite;
  request.idempotent = id.empty();
  request.id = {id, attempt};
  const std::string value = (id.empty() ? "v" + std::to_string(index_) + "-" +
                                              std::to_string(++counter_)
                                        : id) +
                            "." + std::to_string(attempt);
  request.statement = "append";
  request.parameters = key + " " + value;
  Send(request, key, value,
       [this, id, attempt, key](const std::optional<Outcome>& outcome) {
         const bool outcome_known =
             outcome && outcome->verdict != Verdict::kMayHaveRun;
         if (id.empty() ||
             (outcome_known && outcome->verdict == Verdict::kRan) ||
             attempt > 5) {
           StartNext();
         } else if (outcome_known) {
           if (Random(2) == 0) {
             Write(id, attempt + 1, key);
           } else {
             StartNext();
           }
         } else if (Random(4) == 0 && !simulation_.stopping) {
           vm_ = Random(3);
           Write(id, attempt, key);
         } else {
           Resolve({id, attempt}, key, 0);
         }
       });
}

void FakeSession::Resolve(const RequestId& id, const std::string& key,
                          unsigned tries) {
  if (Random(2) == 0) vm_ = Random(3);
  Request request;
  request.kind = RequestKind::kResolve;
  request.access = AccessMode::kWrite;
  request.id = id;
  Send(request, key, "",
       [this, id, key, tries](const std::optional<Outcome>& outcome) {
         const bool outcome_known =
             outcome && outcome->verdict != Verdict::kMayHaveRun;
         if (!outcome_known && tries < 20) {
           simulation_.clock.After(milliseconds(150), [this, id, key, tries] {
             Resolve(id, key, tries + 1);
           });
         } else if (outcome_known && outcome->verdict == Verdict::kNotRun &&
                    id.value.front() == 'w' && Random(2) == 0) {
           Write(id.value, id.attempt + 1, key);
         } else {
           StartNext();
         }
       });
}

void FakeSession::Read() {
  Request request;
  request.statement = "get";
  request.parameters = "k" + std::to_string(Random(kKeys));
  if (Random(3) != 0) request.max_age = milliseconds(50 + Random(2000));
  const std::string key = request.parameters;
  Send(request, key, "",
       [this](const std::optional<Outcome>&) { StartNext(); });
}

void FakeSession::BeginTransaction() {
  Request request;
  request.kind = RequestKind::kBegin;
  request.access = AccessMode::kWrite;
  Send(request, "", "", [this](const std::optional<Outcome>& outcome) {
    if (outcome && outcome->verdict == Verdict::kRan) {
      RunStep(outcome->payload, 1 + Random(4));
    } else {
      StartNext();
    }
  });
}

void FakeSession::RunStep(const TransactionId& transaction,
                          std::uint64_t steps_left) {
  Request request;
  request.access = Random(4) == 0 ? AccessMode::kRead : AccessMode::kWrite;
  request.transaction = transaction;
  const std::string key = "k" + std::to_string(Random(kKeys));
  std::string value;
  request.statement = "get";
  request.parameters = key;
  if (request.access == AccessMode::kWrite) {
    value = "t" + std::to_string(index_) + "-" + std::to_string(++counter_);
    request.statement = "append";
    request.parameters = key + " " + value;
  }
  Send(request, key, value,
       [this, transaction, steps_left](const std::optional<Outcome>& outcome) {
         const bool ran = outcome && outcome->verdict == Verdict::kRan;
         simulation_.clock.After(
             milliseconds(Random(20)), [this, ran, transaction, steps_left] {
               if (ran && steps_left > 1) {
                 RunStep(transaction, steps_left - 1);
               } else {
                 EndTransaction(transaction,
                                ran ? Random(5) != 0 : Random(3) == 0);
               }
             });
       });
}

void FakeSession::EndTransaction(const TransactionId& transaction,
                                 bool commit) {
  Request request;
  request.kind = commit ? RequestKind::kCommit : RequestKind::kRollback;
  request.access = AccessMode::kWrite;
  request.transaction = transaction;
  if (commit) {
    request.id.value =
        "c" + std::to_string(index_) + "-" + std::to_string(++counter_);
  }
  Send(request, "", "",
       [this, id = request.id](const std::optional<Outcome>& outcome) {
         const bool outcome_known =
             outcome && outcome->verdict != Verdict::kMayHaveRun;
         if (!outcome_known && !id.value.empty()) {
           Resolve(id, "", 0);
         } else {
           StartNext();
         }
       });
}

void FakeSession::Send(Request request, std::string key, std::string value,
                       Callback callback) {
  const Duration timeout = milliseconds(300 + Random(900));
  request.service = "s";
  request.min_position = token_;
  const std::size_t request_index = simulation_.history.size();
  RecordedRequest recorded;
  recorded.session = index_;
  recorded.request = request;
  recorded.key = std::move(key);
  recorded.value = std::move(value);
  recorded.submitted_at = simulation_.clock.now();
  simulation_.history.push_back(std::move(recorded));
  const auto pending = std::make_shared<Callback>(std::move(callback));
  const auto finish = [pending](const std::optional<Outcome>& outcome) {
    if (*pending == nullptr) return false;
    std::exchange(*pending, nullptr)(outcome);
    return true;
  };
  const auto on_answer = [this, request_index, finish](const Outcome& outcome) {
    simulation_.clock.After(
        kCallerLatency, [this, request_index, finish, outcome] {
          RecordedRequest& entry = simulation_.history[request_index];
          ++entry.answer_count;
          entry.answer = outcome;
          entry.answered_at = simulation_.clock.now();
          const bool confirms_write =
              outcome.verdict == Verdict::kRan &&
              (entry.request.kind == RequestKind::kCommit ||
               entry.request.kind == RequestKind::kResolve ||
               (entry.request.kind == RequestKind::kStatement &&
                entry.request.access == AccessMode::kWrite &&
                entry.request.transaction.empty()));
          // The token must advance before the session sends its next request.
          const LogPosition previous_token = token_;
          if (confirms_write) token_ = std::max(token_, outcome.position);
          const bool delivered = finish(outcome);
          // `entry` may be invalid here: the callback may have grown the
          // history.
          simulation_.history[request_index].delivered = delivered;
          if (!delivered) token_ = previous_token;
        });
  };
  FakeProxy& proxy = simulation_.Vm(vm_);
  simulation_.clock.After(
      kCallerLatency, [this, &proxy, request, timeout, on_answer]() mutable {
        proxy.Run([this, &proxy, request, timeout, on_answer]() mutable {
          request.deadline = simulation_.clock.now() + timeout;
          proxy.router().Submit(std::move(request), on_answer,
                                simulation_.clock.now());
        });
      });
  simulation_.clock.After(timeout + kCallerGracePeriod,
                          [finish] { finish(std::nullopt); });
}

struct ProxySimulation::Fault {
  const char* name;
  /// Starts the fault on the target and returns a function that ends it.
  std::function<void()> (*start)(ProxySimulation&, std::size_t target);
};

const std::vector<ProxySimulation::Fault>& ProxySimulation::Faults() {
  using Simulation = ProxySimulation;
  using EndFault = std::function<void()>;
  static const std::vector<Fault> faults = {
      {"kill primary",
       [](Simulation& simulation, std::size_t) -> EndFault {
         const std::size_t primary = simulation.group.CurrentPrimary();
         simulation.group.Crash(primary);
         return [&simulation, primary] { simulation.group.Restore(primary); };
       }},
      {"cut primary from its peers",
       [](Simulation& simulation, std::size_t) -> EndFault {
         const std::size_t primary = simulation.group.CurrentPrimary();
         simulation.group[primary].cut = true;
         return [&simulation, primary] { simulation.group.Restore(primary); };
       }},
      {"freeze primary",
       [](Simulation& simulation, std::size_t) -> EndFault {
         const std::size_t primary = simulation.group.CurrentPrimary();
         simulation.group.Freeze(primary);
         return [&simulation, primary] { simulation.group.Restore(primary); };
       }},
      {"freeze endpoint",
       [](Simulation& simulation, std::size_t target) -> EndFault {
         simulation.group.Freeze(target);
         return [&simulation, target] { simulation.group.Restore(target); };
       }},
      {"silent connections",
       [](Simulation& simulation, std::size_t) -> EndFault {
         simulation.group.Silence(simulation.group.CurrentPrimary());
         return [] {};
       }},
      {"store faulty",
       [](Simulation& simulation, std::size_t target) -> EndFault {
         constexpr StoreFault kKinds[] = {StoreFault::kDown, StoreFault::kSlow,
                                          StoreFault::kAnswerLost};
         simulation.store.fault = kKinds[target];
         return [&simulation] { simulation.store.fault = StoreFault::kNone; };
       }},
      {"pause proxy",
       [](Simulation& simulation, std::size_t target) -> EndFault {
         FakeProxy& proxy = simulation.Vm(target);
         proxy.Pause();
         simulation.clock.After(kDetectionTime, [&simulation, target] {
           simulation.MarkDownAtPeers(target, true);
         });
         return [&simulation, target, &proxy] {
           proxy.Resume();
           simulation.clock.After(milliseconds(300), [&simulation, target] {
             simulation.MarkDownAtPeers(target, false);
           });
         };
       }},
      {"kill proxy",
       [](Simulation& simulation, std::size_t target) -> EndFault {
         simulation.Kill(target);
         return [&simulation, target] { simulation.Restart(target); };
       }},
      // Replies for a killed process arrive at the process that replaces it.
      {"restart proxy over and over",
       [](Simulation& simulation, std::size_t target) -> EndFault {
         for (int i = 0; i < 20; ++i) {
           simulation.clock.After(milliseconds(25 * i), [&simulation, target] {
             simulation.Kill(target);
             simulation.Restart(target);
           });
         }
         return [] {};
       }},
      {"two owners",
       [](Simulation& simulation, std::size_t target) -> EndFault {
         FakeProxy& proxy = simulation.Vm(target);
         proxy.owners_rotated = true;
         return [&proxy] { proxy.owners_rotated = false; };
       }},
      {"peer messages lost",
       [](Simulation& simulation, std::size_t) -> EndFault {
         simulation.lost_percent = 5;
         return [&simulation] { simulation.lost_percent = 0; };
       }},
      {"peer messages late and out of order",
       [](Simulation& simulation, std::size_t) -> EndFault {
         simulation.delayed_percent = 15;
         return [&simulation] { simulation.delayed_percent = 0; };
       }},
      {"peer messages repeated",
       [](Simulation& simulation, std::size_t) -> EndFault {
         simulation.duplicated_percent = 15;
         return [&simulation] { simulation.duplicated_percent = 0; };
       }},
      {"replicas far behind",
       [](Simulation& simulation, std::size_t target) -> EndFault {
         for (std::size_t i = 0; i < 3; ++i) {
           simulation.group[i].lag = milliseconds(i == target ? 50 : 800);
         }
         return [&simulation] {
           for (std::size_t i = 0; i < 3; ++i) {
             simulation.group[i].lag = Duration(0);
           }
         };
       }},
      {"planned change of primary",
       [](Simulation& simulation, std::size_t) -> EndFault {
         for (std::size_t i = 0; i < 3; ++i) {
           FakeProxy& proxy = simulation.Vm(i);
           proxy.Run([&simulation, &proxy] {
             proxy.monitor().RequestPlannedChange(simulation.clock.now());
           });
         }
         return [] {};
       }},
      {"drain front",
       [](Simulation& simulation, std::size_t target) -> EndFault {
         FakeProxy& proxy = simulation.Vm(target);
         proxy.Run([&simulation, &proxy] {
           proxy.router().Drain(simulation.clock.now());
         });
         return [&simulation, target] {
           simulation.Kill(target);
           simulation.Restart(target);
         };
       }},
  };
  return faults;
}

ProxySimulation::ProxySimulation(std::uint64_t seed)
    : random(seed),
      group(clock, FakeLatency{}),
      store(clock, random),
      seed_(seed) {
  group.statement_time = kStatementTime;
  for (std::size_t i = 0; i < 3; ++i) Restart(i);
  for (std::size_t i = 0; i < kSessions; ++i) {
    sessions_.push_back(std::make_unique<FakeSession>(*this, i));
  }
}

void ProxySimulation::Run() {
  const std::size_t kinds = Faults().size();
  const auto draw_start = [this] {
    return kFaultWindowStart + Duration(random() % kFaultWindow.count());
  };
  // The first fault is chosen by the seed in turn, so that a small range of
  // seeds covers every kind.
  const Fault& first = Faults()[seed_ % kinds];
  const Duration at = draw_start();
  ScheduleFault(first, at);
  switch (random() % 4) {
    case 0:
      break;
    case 1:
      ScheduleFault(Faults()[random() % kinds],
                    at + Duration(random() % 800'000));
      break;
    case 2:
      ScheduleFault(first, draw_start());
      break;
    default:
      ScheduleFault(Faults()[random() % kinds], draw_start());
      ScheduleFault(Faults()[random() % kinds], draw_start());
  }
  clock.RunUntil(
      TimePoint(kFaultWindowStart + kFaultWindow + kMaxFaultDuration));
  stopping = true;
  clock.RunUntil(clock.now() + kRecoveryTime);
}

void ProxySimulation::ScheduleFault(const Fault& fault, Duration at) {
  const std::size_t target = random() % 3;
  const Duration duration(100'000 +
                          random() % (kMaxFaultDuration.count() - 100'000));
  schedule.push_back(std::to_string(at.count() / 1000) + " ms: " + fault.name +
                     " (target " + std::to_string(target) + ") for " +
                     std::to_string(duration.count() / 1000) + " ms");
  clock.After(at, [this, &fault, target, duration] {
    clock.After(duration, fault.start(*this, target));
  });
}

void ProxySimulation::Kill(std::size_t index) {
  if (Vm(index).crashed()) return;
  Vm(index).Crash();
  for (std::size_t i = 0; i < 3; ++i) {
    if (i == index) continue;
    FakeProxy& peer = Vm(i);
    peer.Run([this, &peer, index] {
      peer.router().OnPeerLost("vm" + std::to_string(index), clock.now());
    });
  }
  clock.After(kDetectionTime, [this, index] {
    if (Vm(index).crashed()) MarkDownAtPeers(index, true);
  });
}

void ProxySimulation::Restart(std::size_t index) {
  if (!vms_[index].empty() && !Vm(index).crashed()) return;
  vms_[index].push_back(
      std::make_unique<FakeProxy>(*this, index, ++incarnation_ * 1'000'000));
  MarkDownAtPeers(index, false);
}

void ProxySimulation::MarkDownAtPeers(std::size_t index, bool is_down) {
  for (std::size_t i = 0; i < 3; ++i) {
    if (i != index && !vms_[i].empty()) Vm(i).down_vms[index] = is_down;
  }
}

const ServiceConfig* ProxySimulation::FindService(std::string_view name) const {
  return name == "s" ? &group.config() : nullptr;
}

EndpointEntry ProxySimulation::FindEndpoint(std::string_view name) const {
  for (const EndpointConfig& endpoint : group.config().endpoints) {
    if (endpoint.name == name) return {&endpoint, &group.config(), "t"};
  }
  return {};
}

}  // namespace carawayhaven
