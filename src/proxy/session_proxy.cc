#include "proxy/session_proxy.h"

#include <algorithm>
#include <utility>
#include <variant>
#include <vector>

#include "carawayhaven/exceptions.h"
#include "core/config/config_digest_source.h"
#include "core/membership/session_placement.h"
#include "net/address.h"
#include "net/event_loop.h"
#include "proxy/logging.h"
#include "proxy/settings_error.h"

namespace carawayhaven {
namespace {

using std::chrono::milliseconds;

// One way between regions, there and back; only a start until it is measured.
constexpr Duration kRemoteDistance = milliseconds(25);
constexpr Duration kLocalDistance = milliseconds(1);
constexpr Duration kRegisterRetry = milliseconds(200);
// Sessions are looked at this often for idle transactions.
constexpr Duration kSweepInterval = milliseconds(250);
// The load balancer asks each second and needs two refusals.
constexpr Duration kBalancerTime = milliseconds(2600);
// Parts of the grace time after which open transactions are ended and the
// process stops.
constexpr double kTransactionPart = 0.8;
constexpr double kStopPart = 0.9;
constexpr Duration kDrainInterval = milliseconds(50);
constexpr std::size_t kFlushLogBytes = 4096;
constexpr char kRoutesTeam[] = "routes";
constexpr std::string_view kFromStore = "store";
// Two of the own data centre and one of another, for a data centre that is cut
// off from the duty holder.
constexpr std::size_t kLocalRelayTargets = 2;
constexpr std::size_t kRemoteRelayTargets = 1;
// Without a right to any primary for this long a VM is cut off from the others
// and from the store; a change of the duty holder takes less.
constexpr Duration kCutOffAfter = std::chrono::seconds(2);
// A VM that no longer runs sessions goes on to follow the store for a while,
// since a false suspicion of a peer moves sessions for a moment.
constexpr Duration kPlacementLinger = std::chrono::seconds(5);

std::string JoinNames(const std::vector<std::string>& names) {
  std::string text;
  for (const std::string& name : names) {
    if (!text.empty()) text += ' ';
    text += name;
  }
  return text;
}

}  // namespace

// Follows the objects of others below a prefix of the store.
class SessionProxy::StoreFollower : public ObjectMirrorEvents {
 public:
  StoreFollower(SessionProxy& proxy, std::string_view prefix)
      : proxy_(proxy),
        prefix_(prefix),
        mirror_(proxy.parts_.store, prefix_, &EventLoop::Now, proxy.random_,
                *this) {}

  ObjectMirror& mirror() { return mirror_; }

  void OnObjectRemoved(std::string_view /*path*/, TimePoint /*now*/) override {}
  void OnMirrorConfirmed(TimePoint /*sent*/, TimePoint /*now*/) override {}
  void OnMirrorReachable(bool reachable, TimePoint /*now*/) override {
    proxy_.log_.OnStoreReachable(prefix_, reachable);
  }

 protected:
  SessionProxy& proxy_;
  std::string prefix_;

 private:
  ObjectMirror mirror_;
};

// Follows the operator's configuration.
class SessionProxy::RoutesFollower : public StoreFollower {
 public:
  explicit RoutesFollower(SessionProxy& proxy)
      : StoreFollower(proxy, proxy.parts_.documents.routes_prefix()) {}

  void OnObject(const StoredObject& object, TimePoint now) override {
    if (object.path != proxy_.parts_.documents.routes_path()) return;
    proxy_.ApplyRoutes(object.value, kFromStore, now);
  }
};

// Follows the entries of the endpoints.
class SessionProxy::EndpointsFollower : public StoreFollower {
 public:
  explicit EndpointsFollower(SessionProxy& proxy)
      : StoreFollower(proxy, proxy.parts_.documents.endpoints_prefix()) {}

  void OnObject(const StoredObject& object, TimePoint now) override {
    try {
      const EndpointRecord record =
          proxy_.parts_.documents.DecodeEndpoint(object);
      const auto known = proxy_.router_.endpoints().find(record.name);
      if (known == proxy_.router_.endpoints().end() ||
          known->second.record != record) {
        Log(LogLevel::kInfo, "endpoint_record",
            {{"endpoint", record.name},
             {"service", record.service},
             {"data_centre", record.data_centre},
             {"leaving", record.leaving},
             {"primary", record.claims_primary},
             {"version", object.version}});
      }
      proxy_.router_.SetEndpoint(record, now);
    } catch (const DecodeError& error) {
      proxy_.log_.OnMalformedObject(object.path, error.what());
    }
  }
  void OnObjectRemoved(std::string_view path, TimePoint now) override {
    const EndpointName name(path.substr(prefix_.size()));
    Log(LogLevel::kInfo, "endpoint_record_removed", {{"endpoint", name}});
    proxy_.router_.RemoveEndpoint(name, now);
  }
};

// Answers the load balancer.
class SessionProxy::Readiness : public HttpHandler {
 public:
  explicit Readiness(const SessionProxy& proxy) : proxy_(proxy) {}

  void OnRequest(const HttpRequest& /*request*/,
                 HttpResponder responder) override {
    HttpResponse response;
    response.status = proxy_.IsReady() ? 200 : 503;
    response.body = "{}";
    responder(response);
  }

 private:
  const SessionProxy& proxy_;
};

// Serves the metrics.
class SessionProxy::Status : public HttpHandler {
 public:
  explicit Status(SessionProxy& proxy) : proxy_(proxy) {}

  void OnRequest(const HttpRequest& /*request*/,
                 HttpResponder responder) override {
    Metrics& metrics = proxy_.metrics_;
    const RouterStats stats = proxy_.router_.stats();
    const auto gauge = [&](const char* name, const char* help, double value) {
      metrics.GetGauge(name, help).Set(value);
    };
    gauge("carawayhaven_sessions", "Sessions of callers",
          static_cast<double>(proxy_.parts_.callers.session_count()));
    gauge("carawayhaven_waiting_statements", "Statements without a connection",
          static_cast<double>(proxy_.router_.waiting()));
    gauge("carawayhaven_endpoint_connections", "Connections to endpoints",
          static_cast<double>(proxy_.router_.connections()));
    gauge("carawayhaven_endpoint_connections_opened",
          "Connections to endpoints opened since the start",
          static_cast<double>(stats.connections_opened));
    gauge("carawayhaven_replica_statements",
          "Statements sent to replicas since the start",
          static_cast<double>(stats.sent_to_replica));
    gauge("carawayhaven_config_version", "Version of the routes in force",
          static_cast<double>(proxy_.routes_.version));
    gauge("carawayhaven_log_dropped_lines", "Log lines that did not fit",
          static_cast<double>(proxy_.parts_.log_output.dropped_lines()));
    HttpResponse response;
    response.content_type = "text/plain; version=0.0.4";
    response.body = metrics.FormatPrometheus();
    responder(response);
  }

 private:
  SessionProxy& proxy_;
};

struct SessionProxy::Cluster {
  Cluster(SessionProxy& proxy, ObjectVersion version)
      : peers(proxy.parts_.loop,
              HelloMessage{proxy.settings_.vm, proxy.settings_.data_centre,
                           proxy.settings_.peer_address, version},
              proxy),
        membership(
            MembershipOptions{proxy.settings_.vm, proxy.settings_.data_centre,
                              proxy.settings_.peer_address, version},
            peers, digest, proxy.random_),
        failover(FailoverManager::Parts{proxy.parts_.link, proxy.parts_.store,
                                        proxy.parts_.promotions, proxy.router_,
                                        membership, peers, proxy.log_,
                                        proxy.random_, &EventLoop::Now},
                 proxy.settings_.vm, proxy.entry_, version),
        placement(membership.table()) {}

  // The routes have one version; heartbeats carry it as their digest, so that
  // a VM with older ones notices.
  struct RoutesDigest : ConfigDigestSource {
    const ConfigDigest& digest() const override { return value; }
    ConfigDigest value;
  };

  RoutesDigest digest;
  PeerTransport peers;
  Membership membership;
  FailoverManager failover;
  SessionPlacement placement;
  std::set<VmName> silent;
};

SessionProxy::SessionProxy(const SessionProxyParts& parts,
                           const Settings& settings)
    : parts_(parts),
      settings_(settings),
      random_(std::random_device{}()),
      log_(metrics_, &EventLoop::Now),
      router_(parts.link, log_,
              [own = settings.data_centre](const DataCentreName& other) {
                return own == other ? kLocalDistance : kRemoteDistance;
              }) {
  entry_.data_centre = settings.data_centre;
  entry_.address = settings.peer_address;
  entry_.process = std::to_string(random_());
  readiness_ = std::make_unique<Readiness>(*this);
  const Address ready = ParseAddress(settings.ready_address);
  ready_server_ = std::make_unique<HttpServer>(parts.loop, ready.ip, ready.port,
                                               *readiness_);
  status_ = std::make_unique<Status>(*this);
  const Address admin = ParseAddress(settings.admin_address);
  admin_server_ =
      std::make_unique<HttpServer>(parts.loop, admin.ip, admin.port, *status_);
  routes_follower_ = std::make_unique<RoutesFollower>(*this);
  endpoints_follower_ = std::make_unique<EndpointsFollower>(*this);
  parts_.callers.SetSessionSource(this);
  parts_.relayed_callers.SetSessionSource(this);
  parts_.loop.OnRoundEnd([this] { OnRound(); });
  RegisterVm();
  OnRound();
  Log(LogLevel::kInfo, "proxy_started",
      {{"vm", settings.vm},
       {"data_centre", settings.data_centre},
       {"process", entry_.process}});
}

SessionProxy::~SessionProxy() {
  parts_.loop.OnRoundEnd(nullptr);
  parts_.callers.SetSessionSource(nullptr);
  parts_.relayed_callers.SetSessionSource(nullptr);
}

// The entry's version numbers this process for its peers: unlike the wall clock
// it rises with each start.
void SessionProxy::RegisterVm() {
  parts_.store.Put(std::string(kVmPrefix) + settings_.vm, FormatRecord(entry_),
                   entry_version_, [this](const StoreReply& reply) {
                     if (reply.status == StoreStatus::kOk) {
                       OnRegistered(reply.object.version);
                       return;
                     }
                     if (reply.status == StoreStatus::kConflict) {
                       entry_version_ = reply.object.version;
                       RegisterVm();
                       return;
                     }
                     if (reply.status == StoreStatus::kNotFound) {
                       entry_version_ = 0;
                     }
                     parts_.loop.RunAfter(kRegisterRetry,
                                          [this] { RegisterVm(); });
                   });
}

void SessionProxy::OnRegistered(ObjectVersion version) {
  entry_version_ = version;
  Log(LogLevel::kInfo, "vm_registered", {{"version", version}});
  cluster_ = std::make_unique<Cluster>(*this, version);
  cluster_->digest.value.count = routes_.version;
  if (routes_.version > 0) cluster_->failover.SetRoutes(routes_);
}

std::shared_ptr<CallerSession> SessionProxy::NewSession(
    CallerChannel& channel) {
  auto session = std::make_shared<CallerSession>(
      router_, log_, [this]() -> const RouteTable& { return routes_; },
      channel);
  sessions_.insert(session);
  return session;
}

// A version never goes back; the highest one that was seen is in force.
void SessionProxy::ApplyRoutes(const std::string& text, std::string_view source,
                               TimePoint now) {
  try {
    RouteTable table = parts_.documents.DecodeRoutes(text);
    if (table.version <= routes_.version) return;
    Log(LogLevel::kInfo, "routes_applied",
        {{"version", table.version},
         {"previous", routes_.version},
         {"source", source},
         {"databases", table.databases.size()}});
    routes_ = std::move(table);
    routes_text_ = text;
  } catch (const DecodeError& error) {
    Log(LogLevel::kError, "routes_rejected",
        {{"source", source}, {"error", error.what()}});
    return;
  }
  UpdateConnectionLimits(now);
  if (cluster_ == nullptr) return;
  cluster_->failover.SetRoutes(routes_);
  cluster_->digest.value.count = routes_.version;
  // Those that run sessions go over to a new version together, as a caller's
  // sessions may run on several of them. Each data centre has a watcher.
  if (source == kFromStore) {
    for (const VmName& vm : cluster_->placement.SessionVmsHere()) {
      SendRoutes(vm);
    }
  }
}

void SessionProxy::UpdateConnectionLimits(TimePoint now) {
  for (const auto& [service, limits] : routes_.services) {
    router_.SetConnectionLimit(
        service, connection_share_.LimitFor(limits.connections), now);
  }
}

void SessionProxy::OnPeerMessage(const VmName& vm, const PeerMessage& message,
                                 TimePoint now) {
  if (const auto* request = std::get_if<RightRequestMessage>(&message)) {
    cluster_->failover.OnRightRequest(vm, *request, now);
    if (request->config_version < routes_.version) {
      SendRoutes(vm);
    } else if (request->config_version > routes_.version) {
      AskForRoutes(vm);
    }
  } else if (std::holds_alternative<ConfigRequestMessage>(message)) {
    SendRoutes(vm);
  } else if (const auto* reply = std::get_if<RightReplyMessage>(&message)) {
    cluster_->failover.OnRightReply(vm, *reply, now);
  } else if (const auto* update = std::get_if<ConfigUpdateMessage>(&message)) {
    // Several peers send the same version; its text is read once.
    if (update->version > routes_.version) ApplyRoutes(update->text, vm, now);
  } else {
    const auto* heartbeat = std::get_if<HeartbeatMessage>(&message);
    if (heartbeat != nullptr && active_ &&
        heartbeat->digest.count > routes_.version) {
      AskForRoutes(vm);
    }
    cluster_->membership.OnPeerMessage(vm, message, now);
  }
}

void SessionProxy::AskForRoutes(const VmName& vm) {
  cluster_->peers.Send(vm,
                       ConfigRequestMessage{{{kRoutesTeam, routes_.version}}});
}

void SessionProxy::SendRoutes(const VmName& vm) {
  if (routes_.version == 0) return;
  cluster_->peers.Send(
      vm, ConfigUpdateMessage{kRoutesTeam, routes_.version, routes_text_});
}

void SessionProxy::OnPeerLost(const VmName& vm, TimePoint now) {
  cluster_->membership.OnPeerLost(vm, now);
}

// A link to a peer that is suspected may have gone silent for good.
void SessionProxy::ResetSilentLinks() {
  for (const auto& [vm, member] : cluster_->membership.table().members()) {
    if (!IsLost(member.record.state)) {
      if (cluster_->silent.erase(vm) > 0) {
        Log(LogLevel::kInfo, "peer_regained", {{"vm", vm}});
      }
    } else if (cluster_->silent.insert(vm).second) {
      Log(LogLevel::kWarning, "peer_lost", {{"vm", vm}});
      cluster_->peers.ResetLink(vm);
    }
  }
}

bool SessionProxy::RunsSessions() const {
  return active_ && routes_.version > 0 && !router_.endpoints().empty() &&
         routes_follower_->mirror().confirmed_at() >= active_since_ &&
         endpoints_follower_->mirror().confirmed_at() >= active_since_;
}

bool SessionProxy::IsReady() const {
  if (drain_started_ != TimePoint::max() || cluster_ == nullptr ||
      !cluster_->failover.listed()) {
    return false;
  }
  if (RunsSessions()) return !IsCutOff();
  return !cluster_->placement.Targets(1, 0).empty();
}

bool SessionProxy::AcceptsRelayed() const {
  return RunsSessions() && !IsCutOff();
}

// When a VM is cut off, idle sessions go to others that may still have rights.
void SessionProxy::NoteRights(TimePoint now) {
  const auto& rights = router_.rights().all();
  const bool any = std::any_of(
      rights.begin(), rights.end(),
      [now](const auto& entry) { return entry.second.expires > now; });
  const bool was_cut_off = IsCutOff();
  if (any || !RunsSessions()) right_seen_at_ = now;
  cut_off_ = now - right_seen_at_ > kCutOffAfter;
  if (cut_off_ == was_cut_off) return;
  Log(cut_off_ ? LogLevel::kWarning : LogLevel::kInfo,
      cut_off_ ? "cut_off_from_primaries" : "primaries_regained",
      {{"vm", settings_.vm}, {"services", rights.size()}});
  if (!cut_off_) return;
  for (const auto& weak : std::vector(sessions_.begin(), sessions_.end())) {
    const std::shared_ptr<CallerSession> session = weak.lock();
    if (session != nullptr && session->IsIdle()) session->Close(now);
  }
}

std::string SessionProxy::RelayAddressOf(const std::string& peer_address) {
  const Address address = ParseAddress(peer_address);
  return address.ip + ':' + std::to_string(address.port + 1);
}

std::optional<std::vector<std::string>> SessionProxy::RelayAddresses() {
  if (cluster_ == nullptr || !cluster_->failover.listed()) return std::nullopt;
  std::vector<std::string> addresses;
  if (cluster_->placement.RunsHere() && RunsSessions()) return addresses;
  for (const VmName& vm :
       cluster_->placement.Targets(kLocalRelayTargets, kRemoteRelayTargets)) {
    const MemberTable::Member* member = cluster_->membership.table().Find(vm);
    if (member != nullptr) {
      addresses.push_back(RelayAddressOf(member->record.address));
    }
  }
  if (addresses.empty() && !RunsSessions()) return std::nullopt;
  return addresses;
}

void SessionProxy::UpdatePlacement(TimePoint now) {
  FailoverManager& failover = cluster_->failover;
  if (!failover.listed()) return;
  const std::size_t vms = cluster_->placement.TotalCount();
  if (connection_share_.NoteVms(vms, now)) UpdateConnectionLimits(now);
  failover.SetCandidates(cluster_->placement.AllVms());
  if (cluster_->placement.RunsHere()) placed_here_at_ = now;
  const bool active = (placed_here_at_ != TimePoint{} &&
                       now - placed_here_at_ < kPlacementLinger) ||
                      failover.is_holder(now) ||
                      parts_.relayed_callers.session_count() > 0;
  if (std::exchange(active_, active) != active) {
    Log(LogLevel::kInfo, "session_placement",
        {{"runs_sessions", active}, {"session_vms", vms}});
    if (active) {
      // What was known before may be outdated.
      active_since_ = now;
      routes_follower_->mirror().ListAgain(now);
      endpoints_follower_->mirror().ListAgain(now);
    }
    if (!active) router_.CloseIdleConnections(now);
  }
  failover.SetActive(active);
  // One VM of a data centre watches the store's slow objects for the others.
  failover.SetWatcher(cluster_->placement.IsFirstHere());
}

void SessionProxy::OnRound() {
  const TimePoint now = EventLoop::Now();
  if (armed_for_ <= now) armed_for_ = TimePoint::max();
  TimePoint next = next_sweep_;
  const bool follows = active_ && drain_started_ == TimePoint::max();
  if (follows) {
    endpoints_follower_->mirror().Tick(now);
    next = std::min(next, endpoints_follower_->mirror().NextTick());
  }
  const bool confirmed =
      routes_follower_->mirror().confirmed_at() >= active_since_;
  if (follows && (cluster_ == nullptr || !confirmed ||
                  cluster_->failover.NeedsStore(now))) {
    routes_follower_->mirror().Tick(now);
    next = std::min(next, routes_follower_->mirror().NextTick());
  }
  if (cluster_ != nullptr) {
    cluster_->membership.Tick(now);
    cluster_->failover.Tick(now);
    next = std::min(
        {next, cluster_->membership.NextTick(), cluster_->failover.NextTick()});
  }
  router_.Tick(now);
  if (now >= next_sweep_) {
    next_sweep_ = now + kSweepInterval;
    TickSessions(now);
    NoteRights(now);
    if (cluster_ != nullptr) {
      ResetSilentLinks();
      UpdatePlacement(now);
    }
  }
  if (drain_started_ != TimePoint::max()) {
    TickDrain(now);
    next = std::min(next, now + kDrainInterval);
  }
  next = std::min({next, router_.NextTick(), next_sweep_});
  parts_.flush_link();
  parts_.callers.Flush();
  parts_.relayed_callers.Flush();
  if (parts_.log_output.pending() >= kFlushLogBytes || next == next_sweep_) {
    parts_.log_output.Flush();
  }
  if (armed_for_ <= next) return;
  armed_for_ = std::max(next, now);
  // Only wakes the loop; the work is done at the end of the round.
  parts_.loop.RunAfter(armed_for_ - now, [] {});
}

void SessionProxy::TickSessions(TimePoint now) {
  for (auto entry = sessions_.begin(); entry != sessions_.end();) {
    const std::shared_ptr<CallerSession> session = entry->lock();
    if (session == nullptr) {
      entry = sessions_.erase(entry);
      continue;
    }
    if (session->InTransaction() &&
        now - session->last_active() > routes_.transaction_idle_limit) {
      session->EndIdleTransaction(now);
    }
    ++entry;
  }
}

void SessionProxy::Drain() {
  if (drain_started_ != TimePoint::max()) return;
  const TimePoint now = EventLoop::Now();
  drain_started_ = now;
  Log(LogLevel::kInfo, "drain_started", {{"vm", settings_.vm}});
  if (cluster_ != nullptr) {
    cluster_->failover.Leave(now);
    cluster_->membership.Leave(now);
  }
}

// Callers are served until the load balancer has stopped to send new ones; then
// idle sessions are closed, which moves them to other VMs.
void SessionProxy::TickDrain(TimePoint now) {
  if (stopping_) return;
  const Duration elapsed = now - drain_started_;
  const auto part = [&](double share) {
    return std::chrono::duration_cast<Duration>(settings_.shutdown_grace *
                                                share);
  };
  bool open = false;
  for (const auto& weak : std::vector(sessions_.begin(), sessions_.end())) {
    const std::shared_ptr<CallerSession> session = weak.lock();
    if (session == nullptr || session->disconnected()) continue;
    if (elapsed < kBalancerTime) {
      open = true;
      continue;
    }
    if (session->IsIdle()) {
      session->Close(now);
    } else if (elapsed > part(kTransactionPart)) {
      session->Shutdown(now);
      open = open || !session->disconnected();
    } else {
      session->CloseWhenIdle();
      open = true;
    }
  }
  if (elapsed >= kBalancerTime && parts_.callers.CloseIdleRelays() > 0) {
    open = true;
  }
  if ((open || elapsed < kBalancerTime) && elapsed < part(kStopPart)) return;
  stopping_ = true;
  Log(LogLevel::kInfo, "proxy_stopped",
      {{"vm", settings_.vm}, {"sessions_left", open}});
  // The last answers are still in the sockets' queues.
  parts_.loop.RunAfter(kDrainInterval * 2, [this] {
    parts_.log_output.Flush();
    parts_.loop.Stop();
  });
}

// Settings that cannot be read leave the old ones in force.
void SessionProxy::OnReload(const SettingsReload& reload) {
  try {
    const SettingsChange change = ApplyReload(reload(), settings_);
    Log(LogLevel::kInfo, "settings_reloaded",
        {{"vm", settings_.vm},
         {"applied", JoinNames(change.applied)},
         {"needs_restart", JoinNames(change.needs_restart)}});
  } catch (const SettingsError& error) {
    Log(LogLevel::kError, "settings_rejected",
        {{"vm", settings_.vm}, {"error", error.what()}});
  }
}

}  // namespace carawayhaven
