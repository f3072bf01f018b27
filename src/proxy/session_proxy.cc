#include "proxy/session_proxy.h"

#include <algorithm>
#include <cstdint>
#include <utility>
#include <variant>
#include <vector>

#include "carawayhaven/exceptions.h"
#include "core/membership/vm_capacity.h"
#include "net/address.h"
#include "net/event_loop.h"
#include "proxy/logging.h"
#include "proxy/session_proxy_cluster.h"
#include "proxy/session_proxy_http_handlers.h"
#include "proxy/session_proxy_watchers.h"
#include "proxy/settings_error.h"

namespace carawayhaven {
namespace {

using std::chrono::milliseconds;

// Baseline round-trip times to other data centres and within the own one. They
// apply until response times are measured, and again as the measurements age.
// 25 ms is the round trip between regions.
constexpr Duration kRemoteRoundTripTime = milliseconds(25);
constexpr Duration kLocalRoundTripTime = milliseconds(1);
constexpr Duration kRegisterRetryDelay = milliseconds(200);
// Interval of the periodic checks of idle transactions, primary leases, lost
// peers and session placement.
constexpr Duration kSweepInterval = milliseconds(250);
constexpr std::size_t kLogFlushThresholdBytes = 4096;

std::string JoinNames(const std::vector<std::string>& names) {
  std::string text;
  for (const std::string& name : names) {
    if (!text.empty()) text += ' ';
    text += name;
  }
  return text;
}

}  // namespace

SessionProxy::SessionProxy(const SessionProxyDependencies& deps,
                           const Settings& settings)
    : deps_(deps),
      settings_(settings),
      random_(std::random_device{}()),
      log_(metrics_, &EventLoop::Now),
      limiter_(settings.vm,
               {settings.limit_window, settings.limit_excess,
                static_cast<double>(settings.limit_slack)},
               log_, random_(), EventLoop::Now()),
      router_(deps.link, log_,
              [own = settings.data_centre](const DataCentreName& other) {
                return own == other ? kLocalRoundTripTime
                                    : kRemoteRoundTripTime;
              }) {
  router_.SetLimiter(&limiter_);
  if (settings.endpoint_pacing) router_.EnablePacing();
  entry_.data_centre = settings.data_centre;
  entry_.address = settings.peer_address;
  entry_.process = std::to_string(random_());
  const std::uint32_t capacity =
      VmCapacity(settings.cpu_share, settings.link_mbps);
  if (capacity > 0) entry_.capacity = capacity;
  readiness_handler_ = std::make_unique<ReadinessHandler>(*this);
  const Address ready = ParseAddress(settings.ready_address);
  ready_server_ = std::make_unique<HttpServer>(deps.loop, ready.ip, ready.port,
                                               *readiness_handler_);
  metrics_handler_ = std::make_unique<MetricsHandler>(*this);
  const Address admin = ParseAddress(settings.admin_address);
  admin_server_ = std::make_unique<HttpServer>(deps.loop, admin.ip, admin.port,
                                               *metrics_handler_);
  routes_watcher_ = std::make_unique<RoutesWatcher>(*this);
  endpoints_watcher_ = std::make_unique<EndpointsWatcher>(*this);
  deps_.callers.SetSessionFactory(this);
  deps_.relayed_callers.SetSessionFactory(this);
  deps_.loop.OnRoundEnd([this] { OnRound(); });
  RegisterVm();
  OnRound();
  Log(LogLevel::kInfo, "proxy_started",
      {{"vm", settings.vm},
       {"data_centre", settings.data_centre},
       {"process", entry_.process}});
}

SessionProxy::~SessionProxy() {
  deps_.loop.OnRoundEnd(nullptr);
  deps_.callers.SetSessionFactory(nullptr);
  deps_.relayed_callers.SetSessionFactory(nullptr);
}

// The version of this VM's entry in the store identifies this process to its
// peers: unlike the wall clock, it increases with each start.
void SessionProxy::RegisterVm() {
  deps_.store.Put(std::string(kVmPrefix) + settings_.vm, FormatRecord(entry_),
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
                    deps_.loop.RunAfter(kRegisterRetryDelay,
                                        [this] { RegisterVm(); });
                  });
}

void SessionProxy::OnRegistered(ObjectVersion version) {
  entry_version_ = version;
  Log(LogLevel::kInfo, "vm_registered", {{"version", version}});
  cluster_ = std::make_unique<Cluster>(*this, version);
  cluster_->failover.SetActive(active_);
  cluster_->digest.value.count = routes_.version;
  if (routes_.version > 0) cluster_->failover.SetRoutes(routes_);
}

std::shared_ptr<CallerSession> SessionProxy::CreateSession(
    CallerChannel& channel) {
  auto session = std::make_shared<CallerSession>(
      router_, log_, [this]() -> const RouteTable& { return routes_; }, channel,
      [this] {
        return config_evidence_.IsCurrent(routes_.version, EventLoop::Now());
      });
  sessions_.insert(session);
  return session;
}

void SessionProxy::OnPeerMessage(const VmName& vm, const PeerMessage& message,
                                 TimePoint now) {
  if (const auto* request = std::get_if<LeaseRequestMessage>(&message)) {
    cluster_->failover.SetConfigConfirmed(config_evidence_.confirmed_at());
    cluster_->failover.OnLeaseRequest(vm, *request, now);
    if (request->config_version < routes_.version) {
      OfferRoutes(vm, request->config_version);
    } else if (request->config_version > routes_.version) {
      RequestRoutes(vm, request->config_version, false);
    }
  } else if (std::holds_alternative<ConfigRequestMessage>(message)) {
    SendRoutes(vm);
  } else if (const auto* reply = std::get_if<LeaseReplyMessage>(&message)) {
    OnLeaseReply(vm, *reply, now);
  } else if (const auto* wanted = std::get_if<LimitRequestMessage>(&message)) {
    limiter_.OnRequest(vm, *wanted, cluster_->peers, now);
  } else if (const auto* granted = std::get_if<LimitReplyMessage>(&message)) {
    limiter_.OnReply(vm, *granted, now);
  } else if (const auto* update = std::get_if<ConfigUpdateMessage>(&message)) {
    // Several peers send the same version; its text is parsed only once.
    if (update->version > routes_.version) ApplyRoutes(update->text, vm, now);
  } else {
    const auto* heartbeat = std::get_if<HeartbeatMessage>(&message);
    if (heartbeat != nullptr && active_ &&
        heartbeat->digest.count > routes_.version) {
      RequestRoutes(vm, heartbeat->digest.count, false);
    }
    cluster_->membership.OnPeerMessage(vm, message, now);
  }
}

// While there is no leader, random peers are asked in its place. Each of them
// is asked too rarely to notice soon that this VM is stuck on an old version,
// so this VM requests the routes as soon as a reply shows a later one.
void SessionProxy::OnLeaseReply(const VmName& vm,
                                const LeaseReplyMessage& reply, TimePoint now) {
  const auto sent = cluster_->failover.OnLeaseReply(vm, reply, now);
  if (!sent || reply.config_version == 0) return;
  config_evidence_.OnPeer(routes_.version, reply.config_version,
                          reply.config_age, *sent);
  if (active_ && reply.config_version > routes_.version) {
    RequestRoutes(vm, reply.config_version, reply.leader != vm);
  }
}

void SessionProxy::OnPeerLost(const VmName& vm, TimePoint now) {
  exchange_limiter_.OnPeerLost(vm);
  cluster_->membership.OnPeerLost(vm, now);
}

// The link to a peer that is suspected or dead may have gone silent for good,
// without a close, so it is reset.
void SessionProxy::ResetLinksToLostPeers() {
  for (const auto& [vm, member] : cluster_->membership.table().members()) {
    if (!IsSuspectedOrDead(member.record.state)) {
      if (cluster_->lost_peers.erase(vm) > 0) {
        Log(LogLevel::kInfo, "peer_regained", {{"vm", vm}});
      }
    } else if (cluster_->lost_peers.insert(vm).second) {
      Log(LogLevel::kWarning, "peer_lost", {{"vm", vm}});
      cluster_->peers.ResetLink(vm);
    }
  }
}

void SessionProxy::OnRound() {
  const TimePoint now = EventLoop::Now();
  if (next_wakeup_ <= now) {
    load_meter_.AddDelay(now - next_wakeup_);
    next_wakeup_ = TimePoint::max();
  }
  if (cluster_ != nullptr && !placed_) UpdatePlacement(now);
  TimePoint next = next_sweep_;
  const bool watches_store = active_ && drain_started_ == TimePoint::max();
  if (watches_store) {
    endpoints_watcher_->object_watcher().Tick(now);
    next = std::min(next, endpoints_watcher_->object_watcher().NextTick());
  }
  const bool routes_synced =
      routes_watcher_->object_watcher().synced_at() >= active_since_;
  if (watches_store && (cluster_ == nullptr || !routes_synced ||
                        cluster_->failover.WatchesStore(now))) {
    routes_watcher_->object_watcher().Tick(now);
    next = std::min(next, routes_watcher_->object_watcher().NextTick());
  }
  if (cluster_ != nullptr) {
    cluster_->membership.Tick(now);
    cluster_->failover.Tick(now);
    next = std::min(
        {next, cluster_->membership.NextTick(), cluster_->failover.NextTick()});
  }
  router_.Tick(now);
  if (cluster_ != nullptr) {
    limiter_.Tick(cluster_->peers, now);
    next = std::min(next, limiter_.NextTick());
  }
  if (now >= next_sweep_) {
    next_sweep_ = now + kSweepInterval;
    EndIdleTransactions(now);
    CheckPrimaryLeases(now);
    LogConfigEvidence(now);
    if (cluster_ != nullptr) {
      ResetLinksToLostPeers();
      UpdateLoad(now);
      UpdatePlacement(now);
    }
  }
  if (drain_started_ != TimePoint::max()) {
    TickDrain(now);
    next = std::min(next, now + kDrainInterval);
  }
  next = std::min({next, router_.NextTick(), next_sweep_});
  deps_.flush_link();
  deps_.callers.Flush();
  deps_.relayed_callers.Flush();
  if (deps_.log_output.pending() >= kLogFlushThresholdBytes ||
      next == next_sweep_) {
    deps_.log_output.Flush();
  }
  if (next_wakeup_ <= next) return;
  next_wakeup_ = std::max(next, now);
  // The timer only wakes the loop; the work is done at the end of the round.
  deps_.loop.RunAfter(next_wakeup_ - now, [] {});
}

void SessionProxy::EndIdleTransactions(TimePoint now) {
  for (auto entry = sessions_.begin(); entry != sessions_.end();) {
    const std::shared_ptr<CallerSession> session = entry->lock();
    if (session == nullptr) {
      entry = sessions_.erase(entry);
      continue;
    }
    if (session->InTransaction() &&
        now - session->last_active() > routes_.transaction_idle_timeout) {
      session->EndIdleTransaction(now);
    }
    ++entry;
  }
}

// If the settings cannot be read, those in force stay unchanged.
void SessionProxy::OnReload(const SettingsLoader& load) {
  try {
    const SettingsChange change = ApplyReload(load(), settings_);
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
