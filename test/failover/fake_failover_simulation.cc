#include <algorithm>
#include <unordered_set>
#include <utility>

#include "core/config/config_digest_source.h"
#include "failover/failover_simulation.h"

namespace carawayhaven {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr char kService[] = "registro";
constexpr Duration kMaxReadAge = milliseconds(1500);
constexpr Duration kReplicaLag = milliseconds(20);
// How often an endpoint checks whether its replicas have received a commit.
constexpr Duration kReplicationCheckInterval = milliseconds(5);
// A crashed endpoint disappears from the registry after three intervals.
constexpr Duration kRegistryExpiry = milliseconds(3 * 1200);
// An old primary that reaches its successor steps down after this time.
constexpr Duration kStepDownDelay = seconds(1);

class NullObserver : public RouterObserver, public FailoverObserver {
 public:
  void OnRouting(const RoutingDecision& /*decision*/) override {}
  void OnEndpointReachable(std::string_view /*endpoint*/, bool /*reachable*/,
                           ReplyCode /*code*/) override {}
  void OnFaultyAnswer(const FaultyAnswer& /*answer*/) override {}
  void OnLeaderChanged(const VmName& /*leader*/, bool /*self*/) override {}
  void OnPrimaryStateChanged(const ServiceName& /*service*/,
                             std::string_view /*state*/,
                             const EndpointName& /*endpoint*/, Term /*term*/,
                             std::string_view /*why*/,
                             Duration /*age*/) override {}
  void OnPromotionHeld(const PromotionHold& /*hold*/) override {}
  void OnStoreReachable(std::string_view /*prefix*/,
                        bool /*reachable*/) override {}
  void OnMalformedObject(std::string_view /*path*/,
                         std::string_view /*error*/) override {}
};

struct NoDigest : ConfigDigestSource {
  const ConfigDigest& digest() const override { return none; }
  ConfigDigest none;
};

}  // namespace

struct FailoverSimulation::Endpoint {
  EndpointRecord record;
  bool primary = false;
  Term term = 1;
  std::vector<std::string> log;
  std::unordered_set<std::string> entries;

  bool Holds(const std::string& id) const { return entries.contains(id); }
  void Append(const std::string& id) {
    log.push_back(id);
    entries.insert(id);
  }
  void CopyLogFrom(const Endpoint& other) {
    log = other.log;
    entries = other.entries;
  }
  TimePoint down_until;
  TimePoint isolated_until;
  /// Receives no commits before this time.
  TimePoint deaf_until;
  TimePoint status_refused_until;
  bool refusals_state_position = true;
  Duration status_delay{0};
  std::set<std::size_t> cut_vms;
  std::uint64_t process = 1;
  bool registered = true;

  LogPosition position() const { return {term, log.size()}; }
};

class FailoverSimulation::Link : public SessionLink {
 public:
  Link(FailoverSimulation& parent, std::size_t vm) : parent_(parent), vm_(vm) {}

  ConnectionId Open(std::string_view address, std::string_view /*service*/,
                    std::string_view /*organisation*/,
                    std::string_view /*endpoint*/,
                    SessionLinkEvents& events) override;
  bool Send(ConnectionId connection,
            const EndpointStatement& statement) override;
  bool HasUnrequestedBytes(ConnectionId /*connection*/) const override {
    return false;
  }
  void Close(ConnectionId connection) override { sessions_.erase(connection); }

 private:
  struct Session {
    std::size_t endpoint = 0;
    std::uint64_t process = 0;
    SessionLinkEvents* events = nullptr;
    bool open = false;
    /// Resets that follow a status query; answered together with it.
    unsigned resets = 0;
  };

  bool Reaches(const Endpoint& endpoint) const;
  void Deliver(ConnectionId connection, std::function<void(Session&)> event);
  StatementReply Run(Endpoint& endpoint, std::size_t index,
                     const EndpointStatement& statement);
  /// Sends the reply to the statement, a commit only when enough replicas hold
  /// it.
  void Reply(ConnectionId connection, std::size_t index, std::uint64_t process,
             const EndpointStatement& statement, const StatementReply& reply);

  FailoverSimulation& parent_;
  std::size_t vm_;
  ConnectionId next_ = 1;
  std::uint64_t signatures_ = 0;
  std::map<ConnectionId, Session> sessions_;
};

class FailoverSimulation::Store : public PlatformStore {
 public:
  Store(FailoverSimulation& parent, std::size_t vm)
      : parent_(parent), vm_(vm) {}

  void Get(std::string_view /*path*/, StoreCallback callback) override {
    callback(StoreReply{});
  }
  void Put(std::string_view path, std::string_view value,
           ObjectVersion expected, StoreCallback callback) override;
  void Watch(std::string_view prefix, ObjectVersion after,
             StoreCallback callback) override;
  /// Ends a call whose connection was closed.
  void Disconnect(const StoreCallback& callback) {
    Answer({}, callback, parent_.Delay());
  }

 private:
  void Answer(StoreReply reply, const StoreCallback& callback, Duration delay);
  bool Reaches() const;
  /// Executes a write. A write that was sent in an earlier era compares plain
  /// revisions, which may have been given out again.
  StoreReply Write(const std::string& path, const std::string& value,
                   ObjectVersion expected);

  FailoverSimulation& parent_;
  std::size_t vm_;
  /// Highest era that a reply has carried.
  std::uint64_t known_era_ = 0;
};

class FailoverSimulation::Promotions : public PromotionService {
 public:
  Promotions(FailoverSimulation& parent, std::size_t vm)
      : parent_(parent), vm_(vm) {}

  void Promote(const ServiceName& service, const EndpointName& endpoint,
               const VmName& leader, std::uint64_t token,
               Callback done) override;

 private:
  FailoverSimulation& parent_;
  std::size_t vm_;
};

class FailoverSimulation::Peers : public PeerLink {
 public:
  Peers(FailoverSimulation& parent, std::size_t vm)
      : parent_(parent), vm_(vm) {}

  bool Send(const VmName& to, const PeerMessage& message) override;
  void SetAddress(const VmName& /*vm*/, std::string_view /*a*/) override {}

 private:
  FailoverSimulation& parent_;
  std::size_t vm_;
};

struct FailoverSimulation::Vm {
  Vm(FailoverSimulation& parent, std::size_t index, std::uint64_t number,
     ObjectVersion version)
      : name("vm-" + std::to_string(index)),
        process(number),
        random(parent.random_()),
        link(parent, index),
        store(parent, index),
        promotions(parent, index),
        peers(parent, index),
        router(link, observer,
               [](const DataCentreName& /*dc*/) { return milliseconds(5); }),
        membership(MembershipOptions{name, DataCentre(index), "10.0.0.1:7000",
                                     version},
                   peers, digest, random),
        failover(
            FailoverManager::Dependencies{
                link, store, promotions, router, membership, peers, observer,
                random, [&parent] { return parent.simulation_.now(); }},
            name, VmEntry{DataCentre(index), "10.0.0.1:7000", "p", 0, false},
            version) {}

  static DataCentreName DataCentre(std::size_t index) {
    return "dc-" + std::to_string(index % 3);
  }

  VmName name;
  std::uint64_t process;
  std::mt19937_64 random;
  NullObserver observer;
  NoDigest digest;
  Link link;
  Store store;
  Promotions promotions;
  Peers peers;
  SessionRouter router;
  Membership membership;
  FailoverManager failover;
  bool running = true;
  TimePoint paused_until;
  TimePoint store_cut_until;
  TimePoint peers_cut_until;
  TimePoint wake_at = TimePoint::max();
};

// The caller of one statement. Checks the result that it receives.
class FailoverSimulation::Caller : public JobOwner {
 public:
  Caller(FailoverSimulation& parent, std::string id, bool write)
      : parent_(parent),
        id_(std::move(id)),
        write_(write),
        created_(parent.simulation_.now()) {}

  const SessionContext& context() const override { return context_; }
  void OnTransactionLost(TimePoint /*now*/) override {}
  void OnJobDone(const JobResult& result, TimePoint now) override {
    const bool ok = result.end == JobResult::End::kAnswered &&
                    result.reply.code == ReplyCode::kOk;
    if (result.end == JobResult::End::kNotRun) {
      ++parent_.refusals_;
      parent_.longest_refusal_ =
          std::max(parent_.longest_refusal_, now - created_);
    }
    if (!write_) {
      if (ok) ++parent_.reads_;
      return;
    }
    if (result.end == JobResult::End::kNotRun) {
      for (const auto& endpoint : parent_.endpoints_) {
        if (endpoint->Holds(id_)) {
          parent_.RecordViolation("write " + id_ + " was said not to have run");
        }
      }
    }
    if (!ok) return;
    const Endpoint& primary = *parent_.endpoints_[parent_.primary_index_];
    if (!primary.Holds(id_)) {
      parent_.RecordViolation("write " + id_ +
                              " was acknowledged by an old primary");
    }
    parent_.acknowledged_.push_back({id_, now});
  }

 private:
  FailoverSimulation& parent_;
  std::string id_;
  bool write_;
  TimePoint created_;
  SessionContext context_;
};

bool FailoverSimulation::Link::Reaches(const Endpoint& endpoint) const {
  const TimePoint now = parent_.simulation_.now();
  return endpoint.down_until <= now &&
         (endpoint.isolated_until <= now || !endpoint.cut_vms.contains(vm_));
}

void FailoverSimulation::Link::Deliver(ConnectionId connection,
                                       std::function<void(Session&)> event) {
  const std::uint64_t process = parent_.vms_[vm_]->process;
  parent_.simulation_.After(
      parent_.Delay(), [this, connection, process, event = std::move(event)] {
        parent_.RunOnVm(vm_, process, [this, connection, event] {
          const auto found = sessions_.find(connection);
          if (found == sessions_.end()) return;
          Session session = found->second;
          event(session);
          const auto again = sessions_.find(connection);
          if (again != sessions_.end()) again->second.open = session.open;
        });
      });
}

ConnectionId FailoverSimulation::Link::Open(std::string_view address,
                                            std::string_view /*service*/,
                                            std::string_view /*organisation*/,
                                            std::string_view /*endpoint*/,
                                            SessionLinkEvents& events) {
  const ConnectionId id = next_++;
  std::size_t index = 0;
  while (parent_.endpoints_[index]->record.address != address) ++index;
  sessions_[id] = {index, parent_.endpoints_[index]->process, &events, false,
                   0};
  Endpoint& endpoint = *parent_.endpoints_[index];
  if (endpoint.down_until > parent_.simulation_.now()) {
    Deliver(id, [this, id](Session& session) {
      sessions_.erase(id);
      session.events->OnSessionClosed(id, ReplyCode::kOther,
                                      parent_.simulation_.now());
    });
    return id;
  }
  if (!Reaches(endpoint)) return id;
  Deliver(id, [this, id, &endpoint](Session& session) {
    session.open = true;
    sessions_[id].open = true;
    StatementReply reply;
    reply.position = endpoint.position();
    session.events->OnSessionOpened(id, reply, parent_.simulation_.now());
  });
  return id;
}

bool FailoverSimulation::Link::Send(ConnectionId connection,
                                    const EndpointStatement& statement) {
  const auto found = sessions_.find(connection);
  if (found == sessions_.end() || !found->second.open) return false;
  if (statement.kind == EndpointStatementKind::kReset) {
    ++found->second.resets;
    return true;
  }
  const std::size_t index = found->second.endpoint;
  const std::uint64_t process = found->second.process;
  parent_.simulation_.After(
      parent_.Delay(), [this, connection, index, process, statement] {
        Endpoint& endpoint = *parent_.endpoints_[index];
        if (endpoint.process != process || !Reaches(endpoint)) return;
        const StatementReply reply = Run(endpoint, index, statement);
        const bool status = statement.kind == EndpointStatementKind::kStatus;
        if (!status || endpoint.status_delay == Duration{0}) {
          Reply(connection, index, process, statement, reply);
          return;
        }
        parent_.simulation_.After(
            endpoint.status_delay,
            [this, connection, index, process, statement, reply] {
              Reply(connection, index, process, statement, reply);
            });
      });
  return true;
}

void FailoverSimulation::Link::Reply(ConnectionId connection, std::size_t index,
                                     std::uint64_t process,
                                     const EndpointStatement& statement,
                                     const StatementReply& reply) {
  const Endpoint& endpoint = *parent_.endpoints_[index];
  if (endpoint.process != process) return;
  if (endpoint.entries.contains(statement.id) &&
      !parent_.IsReplicated(index, statement.id)) {
    parent_.simulation_.After(
        kReplicationCheckInterval,
        [this, connection, index, process, statement, reply] {
          Reply(connection, index, process, statement, reply);
        });
    return;
  }
  if (!Reaches(endpoint)) return;
  Deliver(connection, [this, connection, reply](Session& session) {
    session.events->OnReply(connection, reply, parent_.simulation_.now());
    const auto found = sessions_.find(connection);
    if (found == sessions_.end() || found->second.resets == 0) return;
    --found->second.resets;
    StatementReply reset;
    reset.position = reply.position;
    session.events->OnReply(connection, reset, parent_.simulation_.now());
  });
}

StatementReply FailoverSimulation::Link::Run(
    Endpoint& endpoint, std::size_t index, const EndpointStatement& statement) {
  StatementReply reply;
  if (statement.min_position && endpoint.position() < *statement.min_position) {
    reply.code = ReplyCode::kBehind;
  } else if (statement.kind == EndpointStatementKind::kStatus &&
             endpoint.status_refused_until > parent_.simulation_.now()) {
    reply.code = ReplyCode::kBusy;
    if (!endpoint.refusals_state_position) return reply;
  } else if (statement.kind == EndpointStatementKind::kStatus ||
             statement.kind == EndpointStatementKind::kStepDown) {
    if (statement.kind == EndpointStatementKind::kStepDown &&
        endpoint.primary && statement.term > endpoint.term) {
      endpoint.primary = false;
    }
    reply.replication =
        ReplicationStatus{endpoint.primary, endpoint.term, endpoint.position()};
  } else if (statement.text.starts_with("WRITE")) {
    if (!endpoint.primary) {
      reply.code = ReplyCode::kNotPrimary;
    } else {
      endpoint.Append(statement.id);
      parent_.Replicate(index, statement.id, endpoint.term);
    }
  } else {
    // "READ primary|aged SUBMITTED": the commits that the log must hold follow
    // from when the caller submitted the read.
    const bool aged = statement.text.starts_with("READ aged");
    const Duration submitted(std::stoll(
        statement.text.substr(statement.text.find_last_of(' ') + 1)));
    const TimePoint needed_until =
        TimePoint(submitted) - (aged ? kMaxReadAge : Duration{0});
    if (!endpoint.primary) ++parent_.replica_reads_;
    for (const Commit& commit : parent_.acknowledged_) {
      if (commit.acknowledged >= needed_until ||
          parent_.rolled_back_.contains(commit.id)) {
        continue;
      }
      if (!endpoint.Holds(commit.id)) {
        parent_.RecordViolation("read on a log without " + commit.id + " at " +
                                endpoint.record.name);
        break;
      }
    }
  }
  reply.position = endpoint.position();
  if (reply.code == ReplyCode::kOk && IsSigned(statement.kind)) {
    reply.signature = "proof-" + std::to_string(++signatures_);
  }
  return reply;
}

bool FailoverSimulation::Store::Reaches() const {
  const TimePoint now = parent_.simulation_.now();
  return parent_.store_down_until_ <= now &&
         parent_.vms_[vm_]->store_cut_until <= now;
}

void FailoverSimulation::Store::Answer(StoreReply reply,
                                       const StoreCallback& callback,
                                       Duration delay) {
  const std::uint64_t process = parent_.vms_[vm_]->process;
  parent_.simulation_.After(delay, [parent = &parent_, vm = vm_, process,
                                    reply = std::move(reply), callback] {
    parent->RunOnVm(vm, process, [parent, vm, reply, callback] {
      std::uint64_t& known_era = parent->vms_[vm]->store.known_era_;
      known_era = std::max(known_era, reply.era);
      callback(reply);
    });
  });
}

StoreReply FailoverSimulation::Store::Write(const std::string& path,
                                            const std::string& value,
                                            ObjectVersion expected) {
  StoredObject& object = parent_.objects_[path];
  StoreReply reply;
  reply.era = parent_.era_;
  const bool sent_before_restore =
      expected != 0 && EraOf(expected) < parent_.era_;
  if (RevisionOf(object.version) != RevisionOf(expected)) {
    reply.status = StoreStatus::kConflict;
    reply.object = object;
    if (object.version == 0) parent_.objects_.erase(path);
  } else {
    parent_.StoreObject(path, value);
    reply.status = StoreStatus::kOk;
    reply.object = parent_.objects_[path];
  }
  if (sent_before_restore) {
    reply.status = StoreStatus::kUnknown;
    reply.object = {};
  }
  return reply;
}

void FailoverSimulation::Store::Put(std::string_view path_view,
                                    std::string_view value,
                                    ObjectVersion expected,
                                    StoreCallback callback) {
  if (!Reaches()) {
    Answer({}, callback, seconds(1));
    return;
  }
  if (expected != 0 && EraOf(expected) < known_era_) {
    const auto present = parent_.objects_.find(std::string(path_view));
    StoreReply reply;
    reply.era = parent_.era_;
    reply.status = present == parent_.objects_.end() ? StoreStatus::kNotFound
                                                     : StoreStatus::kConflict;
    if (present != parent_.objects_.end()) reply.object = present->second;
    Answer(std::move(reply), callback, parent_.Delay());
    return;
  }
  // The answer may be lost, and then the write may take effect much later.
  const double draw = parent_.Chance();
  const bool answered = draw >= 0.05;
  const Duration late = draw < 0.02 ? Duration(seconds(2)) : Duration{0};
  if (!answered) Answer({}, callback, seconds(1));
  parent_.simulation_.After(
      parent_.Delay() + late,
      [this, path = std::string(path_view), value = std::string(value),
       expected, callback, answered] {
        const StoreReply reply = Write(path, value, expected);
        if (answered) Answer(reply, callback, parent_.Delay());
      });
}

void FailoverSimulation::StoreObject(const std::string& path,
                                     const std::string& value) {
  objects_[path] = {path, value, MakeVersion(era_, ++revision_), false};
  copies_.push_back({simulation_.now(), revision_, objects_});
  NotifyWatches(path);
}

// Answers the watches whose prefix matches the changed object.
void FailoverSimulation::NotifyWatches(const std::string& path) {
  const auto watches = std::exchange(watches_, {});
  for (const PendingWatch& watch : watches) {
    if (!path.starts_with(watch.prefix)) {
      watches_.push_back(watch);
      continue;
    }
    Vm& vm = *vms_[watch.vm];
    if (vm.process == watch.process) {
      vm.store.Watch(watch.prefix, watch.after, watch.callback);
    }
  }
}

void FailoverSimulation::Store::Watch(std::string_view prefix,
                                      ObjectVersion after,
                                      StoreCallback callback) {
  if (!Reaches()) {
    Answer({}, callback, seconds(1));
    return;
  }
  StoreReply reply;
  reply.era = parent_.era_;
  if (after != 0 && EraOf(after) < parent_.era_) {
    reply.status = StoreStatus::kRevisionTooOld;
    Answer(std::move(reply), callback, parent_.Delay());
    return;
  }
  reply.status = StoreStatus::kOk;
  reply.revision = MakeVersion(parent_.era_, parent_.revision_);
  reply.complete = after == 0;
  for (const auto& [path, object] : parent_.objects_) {
    if (path.starts_with(prefix) && object.version > after) {
      reply.objects.push_back(object);
    }
  }
  if (after == 0 || !reply.objects.empty()) {
    Answer(std::move(reply), callback, parent_.Delay());
    return;
  }
  const std::uint64_t process = parent_.vms_[vm_]->process;
  parent_.watches_.push_back(
      {vm_, process, std::string(prefix), after, callback});
  // A watch without changes ends with an empty reply, which counts as of the
  // time at which the watch was sent.
  parent_.simulation_.After(
      milliseconds(2500),
      [this, process, prefix = std::string(prefix), after, callback] {
        const auto found = std::find_if(
            parent_.watches_.begin(), parent_.watches_.end(),
            [&](const PendingWatch& watch) {
              return watch.vm == vm_ && watch.process == process &&
                     watch.after == after && watch.prefix == prefix;
            });
        if (found == parent_.watches_.end()) return;
        parent_.watches_.erase(found);
        StoreReply unchanged;
        if (Reaches()) {
          unchanged.status = StoreStatus::kOk;
          unchanged.era = parent_.era_;
          unchanged.revision = MakeVersion(parent_.era_, parent_.revision_);
        }
        Answer(unchanged, callback, parent_.Delay());
      });
}

void FailoverSimulation::Promotions::Promote(const ServiceName& /*service*/,
                                             const EndpointName& endpoint,
                                             const VmName& /*leader*/,
                                             std::uint64_t token,
                                             Callback done) {
  const std::uint64_t process = parent_.vms_[vm_]->process;
  const bool answered = parent_.Chance() >= 0.05;
  parent_.simulation_.After(parent_.Delay(), [this, endpoint, token, done,
                                              process, answered] {
    if (token <= parent_.last_token_) {
      parent_.RecordViolation("promotion with token " + std::to_string(token) +
                              " after " + std::to_string(parent_.last_token_));
    }
    parent_.last_token_ = std::max(parent_.last_token_, token);
    std::size_t index = 0;
    while (parent_.endpoints_[index]->record.name != endpoint) ++index;
    const bool runs =
        parent_.endpoints_[index]->down_until <= parent_.simulation_.now();
    if (runs && index != parent_.primary_index_) {
      parent_.simulation_.After(
          parent_.promotion_time_,
          [parent = &parent_, index] { parent->CompletePromotion(index); });
    }
    const PromotionResult result = !answered ? PromotionResult::kUnknown
                                   : runs    ? PromotionResult::kAccepted
                                             : PromotionResult::kRefused;
    parent_.simulation_.After(
        answered ? parent_.Delay() : Duration(seconds(1)),
        [parent = &parent_, vm = vm_, process, done, result] {
          parent->RunOnVm(vm, process, [done, result] { done(result); });
        });
  });
}

bool FailoverSimulation::Peers::Send(const VmName& to,
                                     const PeerMessage& message) {
  std::size_t target = 0;
  while (target < parent_.vms_.size() && parent_.vms_[target]->name != to) {
    ++target;
  }
  if (target == parent_.vms_.size()) return false;
  if (target == vm_) return true;
  // Some messages are delivered late, which must not extend a lease.
  const bool late = parent_.Chance() < 0.02;
  const Duration delay =
      parent_.Delay() + (late ? Duration(milliseconds(900)) : Duration{0});
  const VmName from = parent_.vms_[vm_]->name;
  parent_.simulation_.After(delay, [parent = &parent_, from, target, vm = vm_,
                                    message] {
    Vm& peer = *parent->vms_[target];
    const TimePoint now = parent->simulation_.now();
    if (peer.peers_cut_until > now || parent->vms_[vm]->peers_cut_until > now ||
        parent->cut_links_.contains(std::minmax(vm, target))) {
      return;
    }
    parent->RunOnVm(target, peer.process, [parent, &peer, from, message] {
      const TimePoint received = parent->simulation_.now();
      if (const auto* request = std::get_if<LeaseRequestMessage>(&message)) {
        peer.failover.OnLeaseRequest(from, *request, received);
      } else if (const auto* reply = std::get_if<LeaseReplyMessage>(&message)) {
        peer.failover.OnLeaseReply(from, *reply, received);
      } else {
        peer.membership.OnPeerMessage(from, message, received);
      }
    });
  });
  return true;
}

FailoverSimulation::FailoverSimulation(std::size_t vms, std::uint64_t seed)
    : random_(seed) {
  for (std::size_t i = 0; i < 3; ++i) {
    auto endpoint = std::make_unique<Endpoint>();
    endpoint->record.name = "db-" + std::to_string(i);
    endpoint->record.service = kService;
    endpoint->record.address = "10.1.0." + std::to_string(i + 1) + ":5000";
    endpoint->record.data_centre = "dc-" + std::to_string(i);
    endpoint->record.slots = 3;
    endpoint->record.started_ms = 1;
    endpoint->record.claims_primary = i == 0;
    endpoint->primary = i == 0;
    endpoints_.push_back(std::move(endpoint));
  }
  vms_.resize(vms);
  for (std::size_t i = 0; i < vms; ++i) StartVm(i);
  for (std::size_t i = 0; i < vms; ++i) ScheduleStatements(i);
}

void FailoverSimulation::OverwriteObject(const std::string& path,
                                         const std::string& value) {
  objects_[path] = {path, value, ++revision_, false};
  NotifyWatches(path);
}

FailoverSimulation::~FailoverSimulation() = default;

void FailoverSimulation::StartVm(std::size_t index) {
  const std::string path =
      std::string(kVmPrefix) + "vm-" + std::to_string(index);
  const ObjectVersion version = MakeVersion(era_, revision_ + 1);
  if (vms_[index] != nullptr) stopped_vms_.push_back(std::move(vms_[index]));
  vms_[index] = std::make_unique<Vm>(*this, index, ++next_id_, version);
  StoreObject(path, FormatRecord(VmEntry{Vm::DataCentre(index), "10.0.0.1:7000",
                                         "p", 0, false}));
  Vm& vm = *vms_[index];
  RouteTable routes;
  routes.version = 1;
  routes.services[kService].sync_replicas = sync_replicas_;
  vm.failover.SetRoutes(routes);
  vm.router.SetConnectionLimit(kService, 4, simulation_.now());
  for (const auto& endpoint : endpoints_) {
    if (!endpoint->registered) continue;
    vm.router.SetEndpoint(endpoint->record, simulation_.now());
  }
  RunTimers(index);
}

void FailoverSimulation::RunOnVm(std::size_t index, std::uint64_t process,
                                 const std::function<void()>& step) {
  Vm& vm = *vms_[index];
  if (vm.process != process || !vm.running) return;
  if (vm.paused_until > simulation_.now()) {
    simulation_.At(vm.paused_until, [this, index, process, step] {
      RunOnVm(index, process, step);
    });
    return;
  }
  step();
  RunTimers(index);
}

void FailoverSimulation::RunTimers(std::size_t index) {
  Vm& vm = *vms_[index];
  const TimePoint now = simulation_.now();
  vm.membership.Tick(now);
  vm.failover.Tick(now);
  vm.router.Tick(now);
  const TimePoint next =
      std::max(now + milliseconds(1),
               std::min({vm.membership.NextTick(), vm.failover.NextTick(),
                         vm.router.NextTick()}));
  if (next >= vm.wake_at && vm.wake_at > now) return;
  vm.wake_at = next;
  simulation_.At(next, [this, index, process = vm.process, next] {
    if (vms_[index]->process != process || vms_[index]->wake_at != next) return;
    RunOnVm(index, process, [] {});
  });
}

// Submits statements of callers at random intervals: writes, reads of current
// data, and reads that accept data up to a maximum age.
void FailoverSimulation::ScheduleStatements(std::size_t index) {
  simulation_.After(milliseconds(20 + random_() % 40), [this, index] {
    ScheduleStatements(index);
    Vm& vm = *vms_[index];
    const double choice = Chance();
    const std::string id = std::to_string(next_id_++);
    const TimePoint sent = simulation_.now();
    RunOnVm(index, vm.process, [this, &vm, choice, id, sent] {
      auto job = std::make_shared<StatementJob>();
      const bool write = choice < 0.3;
      const bool aged = choice > 0.6;
      job->owner = std::make_shared<Caller>(*this, id, write);
      job->statement.id = id;
      job->statement.kind =
          write ? StatementKind::kWrite : StatementKind::kRead;
      job->statement.text =
          write ? "WRITE " + id
                : std::string(aged ? "READ aged " : "READ primary ") +
                      std::to_string(sent.time_since_epoch().count());
      job->service = kService;
      job->needs_primary = !aged;
      job->max_age = kMaxReadAge;
      job->has_effect = write;
      job->received = simulation_.now();
      job->deadline = job->received + seconds(1);
      vm.router.Submit(job, simulation_.now());
    });
  });
}

void FailoverSimulation::Replicate(std::size_t from, const std::string& id,
                                   Term term) {
  for (std::size_t i = 0; i < endpoints_.size(); ++i) {
    if (i == from) continue;
    simulation_.After(kReplicaLag, [this, from, i, id, term] {
      const TimePoint now = simulation_.now();
      Endpoint& source = *endpoints_[from];
      Endpoint& replica = *endpoints_[i];
      if (source.isolated_until > now || replica.isolated_until > now ||
          source.down_until > now || replica.down_until > now ||
          replica.deaf_until > now || replica.primary || replica.term != term) {
        return;
      }
      // A replica also receives the entries that it missed before.
      replica.CopyLogFrom(source);
    });
  }
}

bool FailoverSimulation::IsReplicated(std::size_t from,
                                      const std::string& id) const {
  std::uint32_t holders = 0;
  for (std::size_t i = 0; i < endpoints_.size(); ++i) {
    const Endpoint& endpoint = *endpoints_[i];
    const bool receives = endpoint.down_until <= simulation_.now();
    if (i != from && receives && endpoint.Holds(id)) ++holders;
  }
  return holders >= sync_replicas_;
}

void FailoverSimulation::CompletePromotion(std::size_t index) {
  Endpoint& chosen = *endpoints_[index];
  if (chosen.down_until > simulation_.now() || index == primary_index_) return;
  ++promotions_;
  primary_index_ = index;
  chosen.term = ++primary_term_;
  chosen.primary = true;
  for (const Commit& commit : acknowledged_) {
    if (chosen.Holds(commit.id) || !rolled_back_.insert(commit.id).second) {
      continue;
    }
    if (sync_replicas_ > 0) {
      RecordViolation("acknowledged commit " + commit.id + " is not held by " +
                      chosen.record.name + ", which is promoted");
    }
  }
  for (std::size_t i = 0; i < endpoints_.size(); ++i) {
    if (i != index) FollowPrimary(i);
  }
}

// An endpoint follows the new primary as soon as it reaches it; an old primary
// first takes kStepDownDelay to step down.
void FailoverSimulation::FollowPrimary(std::size_t index) {
  const TimePoint now = simulation_.now();
  Endpoint& endpoint = *endpoints_[index];
  Endpoint& primary = *endpoints_[primary_index_];
  if (index == primary_index_ || endpoint.term == primary_term_) return;
  if (endpoint.isolated_until > now || primary.isolated_until > now ||
      endpoint.down_until > now || primary.down_until > now) {
    simulation_.After(milliseconds(50),
                      [this, index] { FollowPrimary(index); });
    return;
  }
  const Duration delay = endpoint.primary ? kStepDownDelay : Duration{0};
  simulation_.After(delay, [this, index] {
    Endpoint& follower = *endpoints_[index];
    if (index == primary_index_) return;
    follower.primary = false;
    follower.term = primary_term_;
    follower.CopyLogFrom(*endpoints_[primary_index_]);
  });
}

void FailoverSimulation::CrashVm(std::size_t vm, Duration down) {
  vms_[vm]->running = false;
  vms_[vm]->process = 0;
  simulation_.After(down, [this, vm] {
    if (!vms_[vm]->running) StartVm(vm);
  });
}

void FailoverSimulation::PauseVm(std::size_t vm, Duration duration) {
  vms_[vm]->paused_until = simulation_.now() + duration;
}
void FailoverSimulation::CutVmFromStore(std::size_t vm, Duration duration) {
  vms_[vm]->store_cut_until = simulation_.now() + duration;
}
void FailoverSimulation::CutVmFromPeers(std::size_t vm, Duration duration) {
  vms_[vm]->peers_cut_until = simulation_.now() + duration;
}
void FailoverSimulation::CutLink(std::size_t a, std::size_t b,
                                 Duration duration) {
  const std::pair<std::size_t, std::size_t> link = std::minmax(a, b);
  cut_links_.insert(link);
  simulation_.After(duration, [this, link] { cut_links_.erase(link); });
}
void FailoverSimulation::StopStore(Duration duration) {
  store_down_until_ = simulation_.now() + duration;
}

void FailoverSimulation::RestoreStore(Duration age, Duration outage) {
  const TimePoint now = simulation_.now();
  store_down_until_ = std::max(store_down_until_, now + outage);
  auto copy = std::find_if(
      copies_.rbegin(), copies_.rend(),
      [now, age](const StoreCopy& held) { return held.at <= now - age; });
  revision_ = copy == copies_.rend() ? 0 : copy->revision;
  objects_ = copy == copies_.rend() ? std::map<std::string, StoredObject>{}
                                    : copy->objects;
  ++era_;
  for (auto& [path, object] : objects_) {
    object.version = MakeVersion(era_, RevisionOf(object.version));
  }
  copies_.push_back({now, revision_, objects_});
  for (const PendingWatch& watch : std::exchange(watches_, {})) {
    Vm& vm = *vms_[watch.vm];
    if (vm.process == watch.process) vm.store.Disconnect(watch.callback);
  }
}

void FailoverSimulation::InjectRestore() {
  const Duration age = milliseconds(1000 + random_() % 14'000);
  const Duration outage = milliseconds(random_() % 3000);
  RestoreStore(age, outage);
}

void FailoverSimulation::CrashEndpoint(std::size_t index, Duration down) {
  Endpoint& endpoint = *endpoints_[index];
  endpoint.down_until = std::max(endpoint.down_until, simulation_.now() + down);
  ++endpoint.process;
}

void FailoverSimulation::CrashProcess(std::size_t index,
                                      std::optional<Duration> down,
                                      bool keeps_log) {
  Endpoint& endpoint = *endpoints_[index];
  if (endpoint.down_until > simulation_.now()) return;
  CrashEndpoint(index, down.value_or(std::chrono::hours(1)));
  const TimePoint returns = endpoint.down_until;
  simulation_.After(kRegistryExpiry, [this, index, returns] {
    const Endpoint& crashed = *endpoints_[index];
    if (crashed.down_until == returns && returns > simulation_.now()) {
      SetRegistered(index, false);
    }
  });
  if (down) {
    simulation_.After(
        *down, [this, index, keeps_log] { ReturnProcess(index, keeps_log); });
  }
}

// The endpoint that was promoted last keeps its log, also after it has stepped
// down.
void FailoverSimulation::ReturnProcess(std::size_t index, bool keeps_log) {
  Endpoint& endpoint = *endpoints_[index];
  ++endpoint.record.started_ms;
  if (!keeps_log && !endpoint.primary && index != primary_index_) {
    endpoint.log.clear();
    endpoint.entries.clear();
  }
  SetRegistered(index, true);
}

void FailoverSimulation::RenameEndpoint(std::size_t endpoint,
                                        const EndpointName& name) {
  endpoints_[endpoint]->record.name = name;
}

void FailoverSimulation::RepeatReplication() {
  simulation_.After(milliseconds(100), [this] { RepeatReplication(); });
  for (std::size_t i = 0; i < endpoints_.size(); ++i) {
    const TimePoint now = simulation_.now();
    Endpoint& replica = *endpoints_[i];
    const Endpoint& source = *endpoints_[primary_index_];
    const bool is_cut = source.down_until > now || replica.down_until > now ||
                        source.isolated_until > now ||
                        replica.isolated_until > now ||
                        replica.deaf_until > now;
    if (i != primary_index_ && !is_cut && !replica.primary &&
        replica.term == source.term) {
      replica.CopyLogFrom(source);
    }
  }
}

void FailoverSimulation::CrashAllVms(Duration down) {
  for (std::size_t vm = 0; vm < vms_.size(); ++vm) CrashVm(vm, down);
}

void FailoverSimulation::InjectRestart() {
  const std::size_t endpoint = random_() % endpoints_.size();
  const Duration down = milliseconds(500 + random_() % 9000);
  switch (random_() % 6) {
    case 0:
      CrashAllVms(milliseconds(200 + random_() % 3000));
      break;
    case 1:
      // One after the other, as in a rolling update.
      for (std::size_t vm = 0; vm < vms_.size(); ++vm) {
        simulation_.After(milliseconds(400 * vm), [this, vm] {
          if (vms_[vm]->running) CrashVm(vm, milliseconds(300));
        });
      }
      break;
    case 2:
      CrashProcess(primary_index_, down);
      break;
    default:
      CrashProcess(endpoint, down, Chance() < 0.5);
  }
}

void FailoverSimulation::IsolateEndpoint(std::size_t index,
                                         std::set<std::size_t> vms,
                                         Duration duration) {
  Endpoint& endpoint = *endpoints_[index];
  endpoint.isolated_until = simulation_.now() + duration;
  endpoint.cut_vms = std::move(vms);
}

void FailoverSimulation::SetSyncReplicas(std::uint32_t count) {
  sync_replicas_ = count;
  RouteTable routes;
  routes.version = 2;
  routes.services[kService].sync_replicas = count;
  for (const auto& vm : vms_) vm->failover.SetRoutes(routes);
}

void FailoverSimulation::StopReplication(std::size_t replica,
                                         Duration duration) {
  endpoints_[replica]->deaf_until = simulation_.now() + duration;
}

void FailoverSimulation::RefuseStatus(std::size_t index, bool states_position,
                                      Duration duration) {
  Endpoint& endpoint = *endpoints_[index];
  endpoint.status_refused_until = simulation_.now() + duration;
  endpoint.refusals_state_position = states_position;
}

void FailoverSimulation::DelayStatus(std::size_t endpoint, Duration delay) {
  endpoints_[endpoint]->status_delay = delay;
}

void FailoverSimulation::RestartWithoutLog(std::size_t index) {
  Endpoint& endpoint = *endpoints_[index];
  ++endpoint.process;
  endpoint.log.clear();
  endpoint.entries.clear();
  ++endpoint.record.started_ms;
  SetRegistered(index, true);
}

void FailoverSimulation::SetRegistered(std::size_t index, bool registered) {
  endpoints_[index]->registered = registered;
  const EndpointRecord& record = endpoints_[index]->record;
  for (const auto& vm : vms_) {
    if (registered) {
      vm->router.SetEndpoint(record, simulation_.now());
    } else {
      vm->router.RemoveEndpoint(record.name, simulation_.now());
    }
  }
}

void FailoverSimulation::MarkLeaving(std::size_t index) {
  EndpointRecord& record = endpoints_[index]->record;
  record.leaving = true;
  for (std::size_t vm = 0; vm < vms_.size(); ++vm) {
    vms_[vm]->router.SetEndpoint(record, simulation_.now());
  }
}

void FailoverSimulation::Deactivate(std::size_t vm) {
  vms_[vm]->failover.SetWatchesStoreForPeers(false);
  vms_[vm]->failover.SetActive(false);
}

void FailoverSimulation::InjectFault() {
  const std::size_t vm = random_() % vms_.size();
  const Duration time = milliseconds(200 + random_() % 4000);
  switch (random_() % 8) {
    case 0:
      CrashVm(vm, time);
      break;
    case 1:
      PauseVm(vm, time);
      break;
    case 2:
      CutVmFromStore(vm, time * 2);
      break;
    case 3:
      CutVmFromPeers(vm, time * 2);
      break;
    case 4:
      StopStore(time);
      break;
    case 5:
      CrashEndpoint(primary_index_, time);
      break;
    default: {
      std::set<std::size_t> cut;
      for (std::size_t i = 0; i < vms_.size(); ++i) {
        if (Chance() < 0.5) cut.insert(i);
      }
      IsolateEndpoint(primary_index_, cut, time);
    }
  }
}

void FailoverSimulation::InjectReplicaFault() {
  const std::size_t endpoint = random_() % endpoints_.size();
  const Duration time = milliseconds(500 + random_() % 6000);
  std::set<std::size_t> vms;
  switch (random_() % 6) {
    case 0:
      CrashEndpoint(endpoint, time);
      break;
    case 1:
      RefuseStatus(endpoint, Chance() < 0.5, time);
      break;
    case 2:
      DelayStatus(endpoint, milliseconds(random_() % 3000));
      simulation_.After(
          time, [this, endpoint] { DelayStatus(endpoint, Duration{0}); });
      break;
    case 3:
      for (std::size_t i = 0; i < vms_.size(); ++i) {
        if (Chance() < 0.7) vms.insert(i);
      }
      IsolateEndpoint(endpoint, vms, time);
      break;
    default:
      StopReplication(endpoint, time);
  }
}

void FailoverSimulation::EndAllFaults() {
  const TimePoint now = simulation_.now();
  store_down_until_ = now;
  for (const auto& endpoint : endpoints_) {
    endpoint->deaf_until = std::min(endpoint->deaf_until, now);
    endpoint->status_refused_until =
        std::min(endpoint->status_refused_until, now);
    endpoint->status_delay = Duration{0};
    endpoint->down_until = std::min(endpoint->down_until, now);
    endpoint->isolated_until = std::min(endpoint->isolated_until, now);
  }
  for (const auto& vm : vms_) {
    vm->paused_until = std::min(vm->paused_until, now);
    vm->store_cut_until = now;
    vm->peers_cut_until = now;
  }
}

std::size_t FailoverSimulation::Primary() const { return primary_index_; }

std::vector<std::size_t> FailoverSimulation::Leaders() const {
  std::vector<std::size_t> leaders;
  for (std::size_t i = 0; i < vms_.size(); ++i) {
    if (vms_[i]->running && vms_[i]->failover.is_leader(simulation_.now())) {
      leaders.push_back(i);
    }
  }
  return leaders;
}

std::vector<std::size_t> FailoverSimulation::Promoters() const {
  std::vector<std::size_t> promoters;
  for (std::size_t i = 0; i < vms_.size(); ++i) {
    if (vms_[i]->running && vms_[i]->failover.MayPromote(simulation_.now())) {
      promoters.push_back(i);
    }
  }
  return promoters;
}

PrimaryRecord FailoverSimulation::StoredPrimary() const {
  const auto found = objects_.find(std::string(kPrimaryPrefix) + kService);
  return found == objects_.end() ? PrimaryRecord{}
                                 : ParsePrimaryRecord(found->second.value);
}

std::optional<VmEntry> FailoverSimulation::StoredVm(std::size_t vm) const {
  const auto found =
      objects_.find(std::string(kVmPrefix) + "vm-" + std::to_string(vm));
  if (found == objects_.end()) return std::nullopt;
  return ParseVmEntry(found->second.value);
}

void FailoverSimulation::RecordViolation(const std::string& what) {
  violations_.push_back(
      std::to_string(
          std::chrono::duration<double>(simulation_.now().time_since_epoch() -
                                        std::chrono::hours(1))
              .count()) +
      " s: " + what);
}

Duration FailoverSimulation::Delay() {
  return milliseconds(1 + random_() % 15);
}

double FailoverSimulation::Chance() {
  return std::uniform_real_distribution<double>(0, 1)(random_);
}

}  // namespace carawayhaven
