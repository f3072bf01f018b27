#include "group/fake_endpoint_group.h"

#include <algorithm>

namespace carawayhaven {
namespace {

constexpr Duration kConnectTime = std::chrono::milliseconds(10);
constexpr Duration kPingInterval = std::chrono::milliseconds(20);
constexpr Duration kShipInterval = std::chrono::milliseconds(5);

}  // namespace

void VirtualTime::After(Duration delay, std::function<void()> event) {
  events_.push({now_ + delay, sequence_++, std::move(event)});
}

void VirtualTime::RunUntil(TimePoint end) {
  while (!events_.empty() && events_.top().at <= end) {
    const Event event = events_.top();
    events_.pop();
    now_ = event.at;
    event.run();
  }
  now_ = end;
}

Duration FakeLatency::Between(std::size_t a, std::size_t b) const {
  if (a == b) return Duration(200);
  return a == 2 || b == 2 ? far : near;
}

FakeEndpointGroup::FakeEndpointGroup(VirtualTime& time, FakeLatency latency)
    : time_(time), latency_(latency), endpoints_(3) {
  config_.name = "s";
  for (std::size_t i = 0; i < 3; ++i) {
    const std::string number = std::to_string(i);
    config_.endpoints.push_back({"e" + number, number, "dc" + number});
    endpoints_[i].name = "e" + number;
    endpoints_[i].primary = "e0";
  }
  endpoints_[0].role = EndpointRole::kPrimary;
  time_.After(kShipInterval, [this] { Replicate(); });
}

std::size_t FakeEndpointGroup::IndexOf(const EndpointName& name) const {
  return static_cast<std::size_t>(name.back() - '0');
}

std::size_t FakeEndpointGroup::CurrentPrimary() const {
  std::size_t best = 0;
  Term term = 0;
  for (std::size_t i = 0; i < 3; ++i) {
    if (endpoints_[i].role == EndpointRole::kPrimary &&
        endpoints_[i].term > term) {
      best = i;
      term = endpoints_[i].term;
    }
  }
  return best;
}

void FakeEndpointGroup::Crash(std::size_t index) {
  endpoints_[index].up = false;
  endpoints_[index].transactions.clear();
  for (FakeLink* link : links_) link->CloseAllTo(index);
}

void FakeEndpointGroup::Freeze(std::size_t index) {
  endpoints_[index].frozen = true;
}

void FakeEndpointGroup::Restore(std::size_t index) {
  endpoints_[index].up = true;
  endpoints_[index].frozen = false;
  endpoints_[index].cut = false;
  for (auto& command : std::exchange(endpoints_[index].backlog, {})) command();
}

void FakeEndpointGroup::Silence(std::size_t index) {
  endpoints_[index].silent_below = next_connection_;
}

EndpointAnswer FakeEndpointGroup::AnswerOf(
    const FakeEndpoint& endpoint, const EndpointCommand& command) const {
  EndpointAnswer answer;
  answer.correlation = command.correlation;
  answer.term = endpoint.term;
  answer.role = endpoint.role;
  answer.primary = endpoint.primary;
  if (endpoint.role == EndpointRole::kReplica) {
    answer.age = time_.now() - endpoint.synced_at;
  }
  if (!endpoint.log.empty()) {
    answer.position = {endpoint.log.back().term, endpoint.log.size()};
  }
  return answer;
}

void FakeEndpointGroup::Receive(std::size_t index, ConnectionId connection,
                                const EndpointCommand& command,
                                const Reply& reply) {
  if (command.operation != EndpointOperation::kExecute ||
      statement_time == Duration(0)) {
    Arrive(index, connection, command, reply);
    return;
  }
  time_.After(statement_time, [this, index, connection, command, reply] {
    Arrive(index, connection, command, reply);
  });
}

void FakeEndpointGroup::Disconnect(std::size_t index, ConnectionId connection) {
  FakeEndpoint& endpoint = endpoints_[index];
  if (connection < endpoint.silent_below) return;
  if (endpoint.frozen) {
    endpoint.backlog.push_back(
        [this, index, connection] { Disconnect(index, connection); });
    return;
  }
  endpoint.transactions.erase(connection);
}

void FakeEndpointGroup::RunRead(const FakeEndpoint& endpoint,
                                ConnectionId connection,
                                const EndpointCommand& command,
                                EndpointAnswer& answer) {
  const bool is_primary = endpoint.role == EndpointRole::kPrimary;
  const auto transaction = endpoint.transactions.find(connection);
  const bool in_transaction = transaction != endpoint.transactions.end();
  if (!command.max_age && !is_primary) {
    answer.status = EndpointStatus::kNotPrimary;
    return;
  }
  // The same rule as PositionSatisfies(), with term starts taken from the
  // endpoint's own log.
  const LogPosition token = command.min_position;
  std::uint64_t needed = token.index;
  if (answer.position.term > token.term) {
    for (std::size_t i = 0; i < endpoint.log.size(); ++i) {
      if (endpoint.log[i].term <= token.term) continue;
      needed = std::min<std::uint64_t>(needed, i + 1);
      break;
    }
  }
  if (answer.position.term < token.term || endpoint.log.size() < needed ||
      (command.max_age && answer.age > *command.max_age)) {
    answer.status = EndpointStatus::kBehind;
    return;
  }
  const std::string& key = command.parameters;
  answer.payload = key;
  const auto add = [&](const auto& writes) {
    for (const auto& [written, value] : writes) {
      if (written == key) answer.payload += " " + value;
    }
  };
  for (const FakeEndpoint::Entry& entry : endpoint.log) add(entry.writes);
  if (in_transaction) add(transaction->second.writes);
}

void FakeEndpointGroup::RunWrite(FakeEndpoint& endpoint,
                                 ConnectionId connection,
                                 const EndpointCommand& command,
                                 EndpointAnswer& answer) {
  const auto transaction = endpoint.transactions.find(connection);
  const bool in_transaction = transaction != endpoint.transactions.end();
  const bool is_execute = command.operation == EndpointOperation::kExecute;
  const std::size_t space = command.parameters.find(' ');
  if (is_execute && in_transaction) {
    if (transaction->second.term != endpoint.term) {
      answer.status = EndpointStatus::kError;
      return;
    }
    transaction->second.writes.emplace_back(
        command.parameters.substr(0, space),
        command.parameters.substr(space + 1));
    answer.payload = "in transaction";
    return;
  }
  FakeEndpoint::Entry entry{endpoint.term, 0, time_.now(), command.id.value,
                            std::nullopt,  {}};
  const bool resolves = command.operation == EndpointOperation::kResolve;
  bool ran = false;
  std::optional<std::uint32_t> cancelled;
  for (const FakeEndpoint::Entry& old : endpoint.log) {
    if (old.request != entry.request || old.request.empty()) continue;
    ran = ran || !old.cancelled;
    if (old.cancelled) cancelled = std::max(cancelled, old.cancelled);
  }
  answer.payload = "done " + entry.request;
  if (resolves) {
    answer.ran = ran;
    if (ran || (cancelled && *cancelled >= command.id.attempt)) return;
    entry.cancelled = command.id.attempt;
  } else if (ran) {
    answer.status = EndpointStatus::kDuplicate;
  } else if (cancelled && command.id.attempt <= *cancelled) {
    answer.status = EndpointStatus::kCancelled;
  } else if (is_execute) {
    if (entry.request.empty()) {
      // The transaction of this step has ended with its connection.
      answer.status = EndpointStatus::kError;
    } else {
      entry.writes.emplace_back(command.parameters.substr(0, space),
                                command.parameters.substr(space + 1));
    }
  } else if (!in_transaction || transaction->second.term != endpoint.term) {
    answer.status = EndpointStatus::kError;
  } else {
    entry.writes = transaction->second.writes;
  }
  if (in_transaction && !resolves) endpoint.transactions.erase(transaction);
  if (answer.status != EndpointStatus::kOk) return;
  endpoint.log.push_back(std::move(entry));
  answer.position = {endpoint.term, endpoint.log.size()};
}

void FakeEndpointGroup::RunData(FakeEndpoint& endpoint, ConnectionId connection,
                                const EndpointCommand& command,
                                EndpointAnswer& answer) {
  const bool is_read = command.operation == EndpointOperation::kExecute &&
                       command.access == AccessMode::kRead;
  if (command.operation == EndpointOperation::kRollback) {
    endpoint.transactions.erase(connection);
  } else if (is_read && command.statement == "get") {
    RunRead(endpoint, connection, command, answer);
  } else if (endpoint.role != EndpointRole::kPrimary ||
             command.term != endpoint.term) {
    answer.status = EndpointStatus::kNotPrimary;
  } else if (command.operation == EndpointOperation::kBegin) {
    endpoint.transactions.try_emplace(
        connection, FakeEndpoint::Transaction{endpoint.term, {}});
  } else if (command.statement.empty() &&
             command.operation == EndpointOperation::kExecute) {
    endpoint.log.push_back({endpoint.term,
                            std::stoull(command.id.value),
                            time_.now(),
                            {},
                            std::nullopt,
                            {}});
    answer.position = {endpoint.term, endpoint.log.size()};
  } else {
    RunWrite(endpoint, connection, command, answer);
  }
}

void FakeEndpointGroup::Arrive(std::size_t index, ConnectionId connection,
                               const EndpointCommand& command,
                               const Reply& reply) {
  FakeEndpoint& endpoint = endpoints_[index];
  if (!endpoint.up) return;
  if (endpoint.frozen) {
    endpoint.backlog.push_back([this, index, connection, command, reply] {
      Arrive(index, connection, command, reply);
    });
    return;
  }
  EndpointStatus status = EndpointStatus::kOk;
  const bool granted =
      command.term == endpoint.term && command.candidate == endpoint.granted_to;
  const bool is_primary = endpoint.role == EndpointRole::kPrimary;
  if (command.term < endpoint.term) {
    status = EndpointStatus::kStaleTerm;
  } else if (command.operation == EndpointOperation::kFence) {
    if (command.term > endpoint.term) {
      endpoint.term = command.term;
      endpoint.granted_to = command.candidate;
      endpoint.primary.clear();
      endpoint.role = EndpointRole::kReplica;
    } else if (!granted) {
      status = EndpointStatus::kRefused;
    }
  } else if (command.operation == EndpointOperation::kPromote) {
    if (granted && !is_primary && endpoint.primary.empty()) {
      endpoint.role = EndpointRole::kPrimary;
      endpoint.primary = endpoint.name;
      endpoint.log.push_back(
          {endpoint.term, 0, time_.now(), {}, std::nullopt, {}});
    } else if (!granted) {
      status = EndpointStatus::kRefused;
    }
  } else if (command.operation == EndpointOperation::kFollow) {
    if (command.term > endpoint.term || !is_primary) {
      endpoint.term = command.term;
      endpoint.primary = command.primary;
      endpoint.role = EndpointRole::kReplica;
    } else {
      status = EndpointStatus::kRefused;
    }
  } else if (command.operation == EndpointOperation::kConfirm) {
    if (is_primary && command.term == endpoint.term) {
      Confirm(index, command, reply, std::make_shared<bool>(false));
      return;
    }
    status = EndpointStatus::kNotPrimary;
  } else if (command.operation != EndpointOperation::kStatus) {
    EndpointAnswer answer = AnswerOf(endpoint, command);
    RunData(endpoint, connection, command, answer);
    reply(answer);
    return;
  }
  if (endpoint.drop_answer == command.operation) {
    endpoint.drop_answer.reset();
    return;
  }
  EndpointAnswer answer = AnswerOf(endpoint, command);
  answer.status = status;
  reply(answer);
}

bool FakeEndpointGroup::Linked(std::size_t a, std::size_t b) const {
  const auto reachable = [this](std::size_t i) {
    return endpoints_[i].up && !endpoints_[i].frozen && !endpoints_[i].cut;
  };
  return reachable(a) && reachable(b);
}

// Asks the replicas to confirm the position, and repeats that until one does or
// the endpoint is no longer the primary of the term.
void FakeEndpointGroup::Confirm(std::size_t index,
                                const EndpointCommand& command,
                                const Reply& reply,
                                const std::shared_ptr<bool>& done) {
  const FakeEndpoint& primary = endpoints_[index];
  const bool valid = primary.role == EndpointRole::kPrimary &&
                     primary.term == command.term && primary.up;
  if (*done || !valid) return;
  for (std::size_t i = 0; i < 3; ++i) {
    if (i == index || !Linked(index, i)) continue;
    const Duration delay = latency_.Between(index, i);
    time_.After(delay, [this, i, index, command, reply, done, delay] {
      const FakeEndpoint& replica = endpoints_[i];
      const LogPosition wanted = command.min_position;
      const bool follows = replica.term == command.term &&
                           replica.primary == endpoints_[index].name;
      const bool holds = wanted.index == 0 ||
                         (replica.log.size() >= wanted.index &&
                          replica.synced_term == command.term &&
                          replica.log[wanted.index - 1].term == wanted.term);
      if (!Linked(index, i) || !follows || !holds) return;
      time_.After(delay, [this, i, index, command, reply, done] {
        const FakeEndpoint& primary = endpoints_[index];
        if (*done || !Linked(index, i) || primary.term != command.term) return;
        *done = true;
        if (command.min_position.index != 0) {
          confirmations.push_back({command.term, primary.name});
        }
        EndpointAnswer answer = AnswerOf(primary, command);
        answer.position = command.min_position;
        reply(answer);
      });
    });
  }
  time_.After(kPingInterval, [this, index, command, reply, done] {
    Confirm(index, command, reply, done);
  });
}

void FakeEndpointGroup::Replicate() {
  time_.After(kShipInterval, [this] { Replicate(); });
  for (std::size_t from = 0; from < 3; ++from) {
    if (endpoints_[from].role != EndpointRole::kPrimary) continue;
    for (std::size_t to = 0; to < 3; ++to) {
      if (to == from || !Linked(from, to)) continue;
      const Term term = endpoints_[from].term;
      const TimePoint shipped = time_.now() - endpoints_[to].lag;
      time_.After(latency_.Between(from, to), [this, from, to, term, shipped] {
        const FakeEndpoint& primary = endpoints_[from];
        FakeEndpoint& replica = endpoints_[to];
        if (!Linked(from, to) || primary.term != term ||
            primary.role != EndpointRole::kPrimary || replica.term != term ||
            replica.primary != primary.name) {
          return;
        }
        if (replica.synced_term != term) {
          std::size_t same = 0;
          while (same < std::min(replica.log.size(), primary.log.size()) &&
                 replica.log[same].term == primary.log[same].term) {
            ++same;
          }
          replica.log.resize(same);
          replica.synced_term = term;
        }
        while (replica.log.size() < primary.log.size() &&
               primary.log[replica.log.size()].at <= shipped) {
          replica.log.push_back(primary.log[replica.log.size()]);
        }
        replica.synced_at = std::max(replica.synced_at, shipped);
      });
    }
  }
}

FakeLink::FakeLink(FakeEndpointGroup& group, std::size_t data_centre, Gate gate)
    : group_(group), data_centre_(data_centre), gate_(std::move(gate)) {
  group_.links_.push_back(this);
}

Duration FakeLink::DelayTo(std::size_t endpoint) const {
  return group_.latency_.Between(data_centre_, endpoint);
}

void FakeLink::Deliver(
    ConnectionId id, Duration delay,
    const std::function<void(EndpointEvents&, Connection&)>& event) {
  group_.time_.After(delay, [this, id, event] {
    gate_([this, id, event] {
      const auto found = connections_.find(id);
      if (found == connections_.end()) return;
      if (id < group_[found->second.endpoint].silent_below) return;
      event(*found->second.events, found->second);
    });
  });
}

ConnectionId FakeLink::Open(std::string_view address, EndpointEvents& events) {
  const ConnectionId id = group_.next_connection_++;
  const auto endpoint = static_cast<std::size_t>(address.back() - '0');
  connections_[id] = {endpoint, &events, false};
  const FakeEndpoint& target = group_[endpoint];
  if (target.up && target.frozen) return id;
  const bool up = target.up;
  Deliver(id, 2 * DelayTo(endpoint) + kConnectTime,
          [this, id, up](EndpointEvents& receiver, Connection& connection) {
            connection.open = up;
            if (up) {
              receiver.OnConnectionOpened(id, group_.time_.now());
            } else {
              connections_.erase(id);
              receiver.OnConnectionClosed(id, group_.time_.now());
            }
          });
  return id;
}

bool FakeLink::Send(ConnectionId id, const EndpointCommand& command) {
  const auto found = connections_.find(id);
  if (found == connections_.end() || !found->second.open) return false;
  const std::size_t endpoint = found->second.endpoint;
  group_.time_.After(DelayTo(endpoint), [this, id, endpoint, command] {
    if (id < group_[endpoint].silent_below) return;
    group_.Receive(
        endpoint, id, command,
        [this, id, endpoint](const EndpointAnswer& answer) {
          Deliver(id, DelayTo(endpoint),
                  [this, id, answer](EndpointEvents& receiver, Connection&) {
                    receiver.OnAnswer(id, answer, group_.time_.now());
                  });
        });
  });
  return true;
}

void FakeLink::Close(ConnectionId id) {
  const auto found = connections_.find(id);
  if (found == connections_.end()) return;
  const std::size_t endpoint = found->second.endpoint;
  connections_.erase(found);
  group_.time_.After(DelayTo(endpoint),
                     [this, endpoint, id] { group_.Disconnect(endpoint, id); });
}

void FakeLink::CloseAll() {
  while (!connections_.empty()) Close(connections_.begin()->first);
}

void FakeLink::CloseAllTo(std::size_t endpoint) {
  for (const auto& [id, connection] : connections_) {
    if (connection.endpoint != endpoint) continue;
    Deliver(id, DelayTo(endpoint),
            [this, id = id](EndpointEvents& receiver, Connection&) {
              connections_.erase(id);
              receiver.OnConnectionClosed(id, group_.time_.now());
            });
  }
}

void FakeStore::End(const StoreReply& reply, const StoreCallback& callback) {
  const Duration delay =
      fault == StoreFault::kSlow
          ? std::chrono::milliseconds(1500 + random_() % 1500)
          : std::chrono::milliseconds(3);
  time_.After(delay, [reply, callback] { callback(reply); });
}

void FakeStore::Get(std::string_view path, StoreCallback callback) {
  StoreReply reply;
  if (fault != StoreFault::kDown) {
    const auto found = objects.find(std::string(path));
    reply.status =
        found == objects.end() ? StoreStatus::kNotFound : StoreStatus::kOk;
    if (found != objects.end()) reply.object = found->second;
  }
  End(reply, callback);
}

void FakeStore::Put(std::string_view path, std::string_view value,
                    ObjectVersion expected, StoreCallback callback) {
  StoreReply reply;
  if (fault != StoreFault::kDown) {
    StoredObject& object = objects[std::string(path)];
    reply.status = StoreStatus::kConflict;
    if (object.version == expected) {
      object = {std::string(path), std::string(value), expected + 1};
      reply.status = fault == StoreFault::kAnswerLost ? StoreStatus::kUnknown
                                                      : StoreStatus::kOk;
    }
    reply.object = object;
  }
  End(reply, callback);
}

FakeVm::FakeVm(VirtualTime& time, FakeEndpointGroup& group, FakeStore& store,
               FakeLatency latency, std::size_t index, std::uint64_t seed)
    : link(group, index % 3, [this](auto event) { Run(std::move(event)); }),
      random(seed),
      time_(time),
      group_(group),
      latency_(latency),
      index_(index),
      name_("vm" + std::to_string(index)) {
  monitor =
      std::make_unique<GroupMonitor>(group_.config(), name_, link, *this, store,
                                     *this, directory, random, *this);
}

std::vector<VmName> FakeVm::OwnersOf(const EndpointConfig& endpoint,
                                     std::size_t /*count*/) const {
  if (owner) return {owner(endpoint)};
  return {"vm" + endpoint.address};
}

bool FakeVm::Send(const VmName& vm, const PeerMessage& message) {
  FakeVm* peer = peers[static_cast<std::size_t>(vm.back() - '0')];
  time_.After(latency_.Between(index_ % 3, peer->index_ % 3),
              [this, peer, message] {
                peer->Run([this, peer, message] {
                  peer->monitor->OnPeerMessage(name_, message, time_.now());
                });
              });
  return true;
}

void FakeVm::Run(std::function<void()> event) {
  if (paused_) {
    deferred_.push_back(std::move(event));
    return;
  }
  event();
  for (const auto& observer : observers) observer(*this);
  if (!paused_) ScheduleTick();
}

void FakeVm::ScheduleTick() {
  const TimePoint at = std::max(monitor->NextTick(), time_.now());
  time_.After(std::chrono::duration_cast<Duration>(at - time_.now()),
              [this, mark = ++next_wakeup_] {
                if (mark != next_wakeup_ || paused_) return;
                Run([this] { monitor->Tick(time_.now()); });
              });
}

void FakeVm::Pause() { paused_ = true; }

void FakeVm::Resume() {
  paused_ = false;
  for (auto& event : std::exchange(deferred_, {})) Run(std::move(event));
  ScheduleTick();
}

void FakeVm::OnGroupChanged(const GroupUpdateMessage& update,
                            TimePoint /*now*/) {
  for (FakeVm* peer : peers) {
    if (peer != this) Send(peer->name_, update);
  }
}

FakeWriter::FakeWriter(VirtualTime& time, FakeEndpointGroup& group, FakeVm& vm,
                       Duration interval, AcknowledgeMode mode)
    : time_(time), group_(group), vm_(vm), interval_(interval), mode_(mode) {
  Step();
}

void FakeWriter::Step() {
  time_.After(interval_, [this] { Step(); });
  const GroupView& view = vm_.directory.ViewOf(group_.config());
  // Replaces a connection without an answer after the time limit of a probe.
  const bool silent = connection_ != 0 && time_.now() - last_answer_ >
                                              std::chrono::milliseconds(250);
  if (view.term != term_ || silent) Reset();
  term_ = view.term;
  primary_ = view.primary;
  if (connection_ == 0) {
    connection_ = vm_.link.Open(std::string(1, primary_.back()), *this);
    last_answer_ = time_.now();
  }
  if (!open_ || vm_.peers[group_.IndexOf(primary_)]->holding) return;
  EndpointCommand command;
  command.operation = EndpointOperation::kExecute;
  command.correlation = next_;
  command.term = term_;
  command.id.value = std::to_string(next_);
  executing_[next_] = {next_, time_.now(), {}};
  ++next_;
  vm_.link.Send(connection_, command);
}

void FakeWriter::Confirm() {
  if (confirm_ != 0 || executed_.empty()) return;
  EndpointCommand command;
  command.operation = EndpointOperation::kConfirm;
  command.correlation = confirm_ = next_++;
  command.term = term_;
  confirming_ = std::exchange(executed_, {});
  command.min_position = confirming_.back().position;
  vm_.link.Send(connection_, command);
}

void FakeWriter::Reset() {
  vm_.link.Close(connection_);
  connection_ = 0;
  open_ = false;
  confirm_ = 0;
  executing_.clear();
  executed_.clear();
  confirming_.clear();
}

void FakeWriter::OnConnectionOpened(ConnectionId /*connection*/,
                                    TimePoint now) {
  open_ = true;
  last_answer_ = now;
}

void FakeWriter::OnConnectionClosed(ConnectionId /*connection*/,
                                    TimePoint /*now*/) {
  Reset();
}

void FakeWriter::OnAnswer(ConnectionId /*connection*/,
                          const EndpointAnswer& answer, TimePoint now) {
  last_answer_ = now;
  const bool ok = answer.status == EndpointStatus::kOk;
  if (answer.correlation == confirm_) {
    confirm_ = 0;
    for (const Sent& sent : std::exchange(confirming_, {})) {
      if (!ok) continue;
      acknowledged.push_back({sent.id, term_, primary_, now, now - sent.at});
    }
  } else {
    auto sent = executing_.extract(answer.correlation);
    if (sent.empty() || !ok) return;
    sent.mapped().position = answer.position;
    if (mode_ == AcknowledgeMode::kPrimary) {
      acknowledged.push_back(
          {sent.mapped().id, term_, primary_, now, now - sent.mapped().at});
      return;
    }
    executed_.push_back(sent.mapped());
  }
  Confirm();
}

FakeDeployment::FakeDeployment(FakeLatency latency, std::uint64_t seed,
                               AcknowledgeMode mode, Duration write_interval)
    : random(seed), group(clock, latency), store(clock, random) {
  group.config().acknowledge = mode;
  for (std::size_t i = 0; i < 4; ++i) {
    vms.push_back(
        std::make_unique<FakeVm>(clock, group, store, latency, i, random()));
  }
  for (auto& vm : vms) {
    for (auto& peer : vms) vm->peers.push_back(peer.get());
    clock.After(std::chrono::milliseconds(random() % 250),
                [&vm] { vm->Start(); });
  }
  writer =
      std::make_unique<FakeWriter>(clock, group, *vms[3], write_interval, mode);
}

bool FakeDeployment::LogHolds(std::size_t endpoint, std::uint64_t id) {
  const auto& log = group[endpoint].log;
  return std::any_of(log.begin(), log.end(),
                     [id](const auto& entry) { return entry.id == id; });
}

Duration FakeDeployment::LongestGap(TimePoint from) const {
  TimePoint last = from;
  Duration longest{0};
  for (const auto& write : writer->acknowledged) {
    if (write.at <= from) continue;
    longest = std::max(longest, write.at - last);
    last = write.at;
  }
  return std::max(longest, clock.now() - last);
}

}  // namespace carawayhaven
