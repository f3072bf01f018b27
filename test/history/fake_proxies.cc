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
// Members learn of a dead or paused process after that time.
constexpr Duration kDetectionTime = milliseconds(700);
constexpr Duration kFirstFault = seconds(1);
constexpr Duration kFaultWindow = seconds(4);
constexpr Duration kLongestFault = seconds(3);
constexpr Duration kSettleTime = seconds(7);
// A caller gives up that long after its deadline.
constexpr Duration kCallerPatience = milliseconds(400);

std::size_t IndexOfVm(const VmName& vm) {
  return static_cast<std::size_t>(vm.back() - '0');
}

RequestRouterOptions MakeFrontOptions(std::uint64_t incarnation,
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

FakeProxy::FakeProxy(FakeProxies& world, std::size_t index,
                     std::uint64_t incarnation)
    : world_(world),
      index_(index),
      name_("vm" + std::to_string(index)),
      link_(world.group, index, [this](auto event) { Run(std::move(event)); }),
      random_(world.random()) {
  const ServiceConfig& service = world.group.config();
  monitor_ =
      std::make_unique<GroupMonitor>(service, name_, link_, *this, world.store,
                                     *this, directory_, random_, *this);
  front_ = std::make_unique<RequestRouter>(
      world, directory_, *this, *this, random_,
      MakeFrontOptions(incarnation, directory_));
  PoolOf(service.endpoints[index].name);
  world_.clock.After(Duration(random_() % 10000), [this] { Run([] {}); });
}

std::vector<VmName> FakeProxy::OwnersOf(const EndpointConfig& endpoint,
                                        std::size_t count) const {
  std::vector<VmName> owners;
  const std::size_t first =
      world_.group.IndexOf(endpoint.name) + (rotated ? 1 : 0);
  for (std::size_t i = 0; i < 3 && owners.size() < count; ++i) {
    const std::size_t vm = (first + i) % 3;
    if (!down[vm]) owners.push_back("vm" + std::to_string(vm));
  }
  return owners;
}

bool FakeProxy::Send(const VmName& vm, const PeerMessage& message) {
  const std::size_t target = IndexOfVm(vm);
  const auto deliver = [this, target, message](Duration delay) {
    const TimePoint sent = world_.clock.now();
    world_.clock.After(delay, [this, target, message, sent] {
      FakeProxy& peer = world_.Vm(target);
      if (peer.dead()) {
        Run([this, target] {
          front_->OnPeerLost("vm" + std::to_string(target), world_.clock.now());
        });
        return;
      }
      PeerMessage received = message;
      // A deadline travels as time left.
      if (auto* forward = std::get_if<ForwardMessage>(&received)) {
        forward->request.deadline += world_.clock.now() - sent;
      }
      peer.Receive(name_, std::move(received));
    });
  };
  if (target == index_) {
    deliver(Duration(0));
    return true;
  }
  const Duration delay = world_.Latency(index_, target);
  const auto chance = [this](unsigned percent) {
    return percent > 0 && world_.random() % 100 < percent;
  };
  if (chance(world_.lost_percent)) return true;
  const bool late = chance(world_.late_percent);
  deliver(delay + (late ? milliseconds(world_.random() % 600) : Duration(0)));
  if (chance(world_.repeated_percent)) {
    deliver(delay + milliseconds(world_.random() % 100));
  }
  return true;
}

void FakeProxy::Receive(const VmName& from, PeerMessage message) {
  Run([this, from, message = std::move(message)] {
    const TimePoint now = world_.clock.now();
    if (const auto* forward = std::get_if<ForwardMessage>(&message)) {
      OnForward(from, *forward);
    } else if (const auto* reply = std::get_if<ForwardReplyMessage>(&message)) {
      front_->OnForwardReply(from, *reply, now);
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
          world_.clock.now());
}

EndpointPool& FakeProxy::PoolOf(const EndpointName& endpoint) {
  std::unique_ptr<EndpointPool>& pool = pools_[endpoint];
  if (pool == nullptr) {
    const EndpointEntry declared = world_.FindEndpoint(endpoint);
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
  front_->OnGroupChanged(update.service, now);
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
  if (dead_) return;
  if (paused_) {
    kept_.push_back(std::move(event));
    return;
  }
  event();
  const TimePoint now = world_.clock.now();
  monitor_->Tick(now);
  front_->Tick(now);
  for (auto& [endpoint, pool] : pools_) pool->Tick(now);
  if (!paused_ && !dead_) Arm();
}

void FakeProxy::Arm() {
  const TimePoint now = world_.clock.now();
  TimePoint next = std::min(monitor_->NextTick(), front_->NextTick());
  for (const auto& [endpoint, pool] : pools_) {
    next = std::min(next, pool->NextTick());
  }
  const Duration delay = std::max<Duration>(next - now, Duration(1));
  if (next == TimePoint::max()) return;
  world_.clock.After(delay, [this, mark = ++armed_] {
    if (mark == armed_ && !paused_) Run([] {});
  });
}

void FakeProxy::Resume() {
  paused_ = false;
  for (auto& event : std::exchange(kept_, {})) Run(std::move(event));
  Run([] {});
}

void FakeProxy::Die() {
  dead_ = true;
  kept_.clear();
  link_.CloseAll();
}

FakeSession::FakeSession(FakeProxies& world, std::size_t number)
    : world_(world), number_(number), front_(number % 3) {
  world_.clock.After(milliseconds(100 + number), [this] { Next(); });
}

std::uint64_t FakeSession::Random(std::uint64_t bound) {
  return world_.random() % bound;
}

void FakeSession::Next() {
  if (world_.stopping) return;
  world_.clock.After(milliseconds(1 + Random(30)), [this] {
    if (Random(5) == 0) front_ = Random(3);
    const std::uint64_t kind = Random(100);
    if (kind < 40) {
      const bool own_id = Random(3) != 0;
      Write(own_id ? "w" + std::to_string(number_) + "-" +
                         std::to_string(++counter_)
                   : "",
            0, "k" + std::to_string(Random(kKeys)));
    } else if (kind < 80) {
      Read();
    } else {
      Begin();
    }
  });
}

void FakeSession::Write(const std::string& id, std::uint32_t attempt,
                        const std::string& key) {
  Request request;
  request.access = AccessMode::kWrite;
  request.idempotent = id.empty();
  request.id = {id, attempt};
  const std::string value = (id.empty() ? "v" + std::to_string(number_) + "-" +
                                              std::to_string(++counter_)
                                        : id) +
                            "." + std::to_string(attempt);
  request.statement = "append";
  request.parameters = key + " " + value;
  Send(request, key, value,
       [this, id, attempt, key](const std::optional<Outcome>& outcome) {
         const bool known = outcome && outcome->verdict != Verdict::kMayHaveRun;
         if (id.empty() || (known && outcome->verdict == Verdict::kRan) ||
             attempt > 5) {
           Next();
         } else if (known) {
           if (Random(2) == 0) {
             Write(id, attempt + 1, key);
           } else {
             Next();
           }
         } else if (Random(4) == 0 && !world_.stopping) {
           front_ = Random(3);
           Write(id, attempt, key);
         } else {
           Resolve({id, attempt}, key, 0);
         }
       });
}

void FakeSession::Resolve(const RequestId& id, const std::string& key,
                          unsigned tries) {
  if (Random(2) == 0) front_ = Random(3);
  Request request;
  request.kind = RequestKind::kResolve;
  request.access = AccessMode::kWrite;
  request.id = id;
  Send(request, key, "",
       [this, id, key, tries](const std::optional<Outcome>& outcome) {
         const bool known = outcome && outcome->verdict != Verdict::kMayHaveRun;
         if (!known && tries < 20) {
           world_.clock.After(milliseconds(150), [this, id, key, tries] {
             Resolve(id, key, tries + 1);
           });
         } else if (known && outcome->verdict == Verdict::kNotRun &&
                    id.value.front() == 'w' && Random(2) == 0) {
           Write(id.value, id.attempt + 1, key);
         } else {
           Next();
         }
       });
}

void FakeSession::Read() {
  Request request;
  request.statement = "get";
  request.parameters = "k" + std::to_string(Random(kKeys));
  if (Random(3) != 0) request.max_age = milliseconds(50 + Random(2000));
  const std::string key = request.parameters;
  Send(request, key, "", [this](const std::optional<Outcome>&) { Next(); });
}

void FakeSession::Begin() {
  Request request;
  request.kind = RequestKind::kBegin;
  request.access = AccessMode::kWrite;
  Send(request, "", "", [this](const std::optional<Outcome>& outcome) {
    if (outcome && outcome->verdict == Verdict::kRan) {
      Step(outcome->payload, 1 + Random(4));
    } else {
      Next();
    }
  });
}

void FakeSession::Step(const TransactionId& transaction, std::uint64_t left) {
  Request request;
  request.access = Random(4) == 0 ? AccessMode::kRead : AccessMode::kWrite;
  request.transaction = transaction;
  const std::string key = "k" + std::to_string(Random(kKeys));
  std::string value;
  request.statement = "get";
  request.parameters = key;
  if (request.access == AccessMode::kWrite) {
    value = "t" + std::to_string(number_) + "-" + std::to_string(++counter_);
    request.statement = "append";
    request.parameters = key + " " + value;
  }
  Send(request, key, value,
       [this, transaction, left](const std::optional<Outcome>& outcome) {
         const bool ran = outcome && outcome->verdict == Verdict::kRan;
         world_.clock.After(
             milliseconds(Random(20)), [this, ran, transaction, left] {
               if (ran && left > 1) {
                 Step(transaction, left - 1);
               } else {
                 End(transaction, ran ? Random(5) != 0 : Random(3) == 0);
               }
             });
       });
}

void FakeSession::End(const TransactionId& transaction, bool commit) {
  Request request;
  request.kind = commit ? RequestKind::kCommit : RequestKind::kRollback;
  request.access = AccessMode::kWrite;
  request.transaction = transaction;
  if (commit) {
    request.id.value =
        "c" + std::to_string(number_) + "-" + std::to_string(++counter_);
  }
  Send(request, "", "",
       [this, id = request.id](const std::optional<Outcome>& outcome) {
         const bool known = outcome && outcome->verdict != Verdict::kMayHaveRun;
         if (!known && !id.value.empty()) {
           Resolve(id, "", 0);
         } else {
           Next();
         }
       });
}

void FakeSession::Send(Request request, std::string key, std::string value,
                       Then then) {
  const Duration timeout = milliseconds(300 + Random(900));
  request.service = "s";
  request.min_position = token_;
  const std::size_t number = world_.history.size();
  RecordedRequest recorded;
  recorded.session = number_;
  recorded.request = request;
  recorded.key = std::move(key);
  recorded.value = std::move(value);
  recorded.submitted = world_.clock.now();
  world_.history.push_back(std::move(recorded));
  const auto waiting = std::make_shared<Then>(std::move(then));
  const auto finish = [waiting](const std::optional<Outcome>& outcome) {
    if (*waiting == nullptr) return false;
    std::exchange(*waiting, nullptr)(outcome);
    return true;
  };
  const auto on_answer = [this, number, finish](const Outcome& outcome) {
    world_.clock.After(kCallerLatency, [this, number, finish, outcome] {
      RecordedRequest& entry = world_.history[number];
      ++entry.answers;
      entry.answer = outcome;
      entry.answered = world_.clock.now();
      const bool settles = outcome.verdict == Verdict::kRan &&
                           (entry.request.kind == RequestKind::kCommit ||
                            entry.request.kind == RequestKind::kResolve ||
                            (entry.request.kind == RequestKind::kStatement &&
                             entry.request.access == AccessMode::kWrite &&
                             entry.request.transaction.empty()));
      // The token is raised before the session goes on.
      const LogPosition before = token_;
      if (settles) token_ = std::max(token_, outcome.position);
      const bool taken = finish(outcome);
      // Callbacks may have extended the history.
      world_.history[number].taken = taken;
      if (!taken) token_ = before;
    });
  };
  FakeProxy& proxy = world_.Vm(front_);
  world_.clock.After(kCallerLatency, [this, &proxy, request, timeout,
                                      on_answer]() mutable {
    proxy.Run([this, &proxy, request, timeout, on_answer]() mutable {
      request.deadline = world_.clock.now() + timeout;
      proxy.front().Submit(std::move(request), on_answer, world_.clock.now());
    });
  });
  world_.clock.After(timeout + kCallerPatience,
                     [finish] { finish(std::nullopt); });
}

struct FakeProxies::Fault {
  const char* name;
  /// Starts the fault on a target; returns what ends it.
  std::function<void()> (*start)(FakeProxies&, std::size_t target);
};

const std::vector<FakeProxies::Fault>& FakeProxies::Faults() {
  using World = FakeProxies;
  using End = std::function<void()>;
  static const std::vector<Fault> faults = {
      {"kill primary",
       [](World& world, std::size_t) -> End {
         const std::size_t primary = world.group.CurrentPrimary();
         world.group.Crash(primary);
         return [&world, primary] { world.group.Restore(primary); };
       }},
      {"cut primary from its peers",
       [](World& world, std::size_t) -> End {
         const std::size_t primary = world.group.CurrentPrimary();
         world.group[primary].cut = true;
         return [&world, primary] { world.group.Restore(primary); };
       }},
      {"freeze primary",
       [](World& world, std::size_t) -> End {
         const std::size_t primary = world.group.CurrentPrimary();
         world.group.Freeze(primary);
         return [&world, primary] { world.group.Restore(primary); };
       }},
      {"freeze endpoint",
       [](World& world, std::size_t target) -> End {
         world.group.Freeze(target);
         return [&world, target] { world.group.Restore(target); };
       }},
      {"silent connections",
       [](World& world, std::size_t) -> End {
         world.group.Silence(world.group.CurrentPrimary());
         return [] {};
       }},
      {"store faulty",
       [](World& world, std::size_t target) -> End {
         constexpr StoreFault kKinds[] = {StoreFault::kDown, StoreFault::kSlow,
                                          StoreFault::kAnswerLost};
         world.store.fault = kKinds[target];
         return [&world] { world.store.fault = StoreFault::kNone; };
       }},
      {"pause proxy",
       [](World& world, std::size_t target) -> End {
         FakeProxy& proxy = world.Vm(target);
         proxy.Pause();
         world.clock.After(kDetectionTime,
                           [&world, target] { world.Believe(target, true); });
         return [&world, target, &proxy] {
           proxy.Resume();
           world.clock.After(milliseconds(300), [&world, target] {
             world.Believe(target, false);
           });
         };
       }},
      {"kill proxy",
       [](World& world, std::size_t target) -> End {
         world.Kill(target);
         return [&world, target] { world.Restart(target); };
       }},
      // Answers to the process before arrive at its successor.
      {"restart proxy over and over",
       [](World& world, std::size_t target) -> End {
         for (int i = 0; i < 20; ++i) {
           world.clock.After(milliseconds(25 * i), [&world, target] {
             world.Kill(target);
             world.Restart(target);
           });
         }
         return [] {};
       }},
      {"two owners",
       [](World& world, std::size_t target) -> End {
         FakeProxy& proxy = world.Vm(target);
         proxy.rotated = true;
         return [&proxy] { proxy.rotated = false; };
       }},
      {"peer messages lost",
       [](World& world, std::size_t) -> End {
         world.lost_percent = 5;
         return [&world] { world.lost_percent = 0; };
       }},
      {"peer messages late and out of order",
       [](World& world, std::size_t) -> End {
         world.late_percent = 15;
         return [&world] { world.late_percent = 0; };
       }},
      {"peer messages repeated",
       [](World& world, std::size_t) -> End {
         world.repeated_percent = 15;
         return [&world] { world.repeated_percent = 0; };
       }},
      {"replicas far behind",
       [](World& world, std::size_t target) -> End {
         for (std::size_t i = 0; i < 3; ++i) {
           world.group[i].lag = milliseconds(i == target ? 50 : 800);
         }
         return [&world] {
           for (std::size_t i = 0; i < 3; ++i) {
             world.group[i].lag = Duration(0);
           }
         };
       }},
      {"planned change of primary",
       [](World& world, std::size_t) -> End {
         for (std::size_t i = 0; i < 3; ++i) {
           FakeProxy& proxy = world.Vm(i);
           proxy.Run([&world, &proxy] {
             proxy.monitor().RequestPlannedChange(world.clock.now());
           });
         }
         return [] {};
       }},
      {"drain front",
       [](World& world, std::size_t target) -> End {
         FakeProxy& proxy = world.Vm(target);
         proxy.Run(
             [&world, &proxy] { proxy.front().Drain(world.clock.now()); });
         return [&world, target] {
           world.Kill(target);
           world.Restart(target);
         };
       }},
  };
  return faults;
}

FakeProxies::FakeProxies(std::uint64_t seed)
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

void FakeProxies::Run() {
  const std::size_t kinds = Faults().size();
  const auto draw = [this] {
    return kFirstFault + Duration(random() % kFaultWindow.count());
  };
  // Every kind comes first in turn, so that few seeds cover all of them.
  const Fault& first = Faults()[seed_ % kinds];
  const Duration at = draw();
  Start(first, at);
  switch (random() % 4) {
    case 0:
      break;
    case 1:
      Start(Faults()[random() % kinds], at + Duration(random() % 800'000));
      break;
    case 2:
      Start(first, draw());
      break;
    default:
      Start(Faults()[random() % kinds], draw());
      Start(Faults()[random() % kinds], draw());
  }
  clock.RunUntil(TimePoint(kFirstFault + kFaultWindow + kLongestFault));
  stopping = true;
  clock.RunUntil(clock.now() + kSettleTime);
}

void FakeProxies::Start(const Fault& fault, Duration at) {
  const std::size_t target = random() % 3;
  const Duration length(100'000 + random() % (kLongestFault.count() - 100'000));
  schedule.push_back(std::to_string(at.count() / 1000) + " ms: " + fault.name +
                     " (target " + std::to_string(target) + ") for " +
                     std::to_string(length.count() / 1000) + " ms");
  clock.After(at, [this, &fault, target, length] {
    clock.After(length, fault.start(*this, target));
  });
}

void FakeProxies::Kill(std::size_t index) {
  if (Vm(index).dead()) return;
  Vm(index).Die();
  for (std::size_t i = 0; i < 3; ++i) {
    if (i == index) continue;
    FakeProxy& peer = Vm(i);
    peer.Run([this, &peer, index] {
      peer.front().OnPeerLost("vm" + std::to_string(index), clock.now());
    });
  }
  clock.After(kDetectionTime, [this, index] {
    if (Vm(index).dead()) Believe(index, true);
  });
}

void FakeProxies::Restart(std::size_t index) {
  if (!vms_[index].empty() && !Vm(index).dead()) return;
  vms_[index].push_back(
      std::make_unique<FakeProxy>(*this, index, ++incarnation_ * 1'000'000));
  Believe(index, false);
}

void FakeProxies::Believe(std::size_t index, bool is_down) {
  for (std::size_t i = 0; i < 3; ++i) {
    if (i != index && !vms_[i].empty()) Vm(i).down[index] = is_down;
  }
}

const ServiceConfig* FakeProxies::FindService(std::string_view name) const {
  return name == "s" ? &group.config() : nullptr;
}

EndpointEntry FakeProxies::FindEndpoint(std::string_view name) const {
  for (const EndpointConfig& endpoint : group.config().endpoints) {
    if (endpoint.name == name) return {&endpoint, &group.config(), "t"};
  }
  return {};
}

}  // namespace carawayhaven
