#include "proxy/proxy_process.h"

#include <algorithm>
#include <iostream>
#include <iterator>
#include <utility>
#include <variant>

#include "carawayhaven/exceptions.h"
#include "core/config/team_config.h"
#include "core/group/group_record.h"
#include "core/group/position_rule.h"
#include "net/address.h"
#include "net/event_loop.h"
#include "proxy/logging.h"
#include "wire/json_fields.h"

namespace carawayhaven {
namespace {

constexpr char kVmPrefix[] = "vms/";
constexpr char kGroupPrefix[] = "groups/";
// A leaving endpoint gets no new work after 2 s; a planned change of primary
// has to start well before that.
constexpr Duration kLeavingCheckInterval = std::chrono::milliseconds(250);
// Number of peers to which a group update is sent on, the same as for
// configuration updates.
constexpr std::size_t kGroupUpdateFanOut = 6;
// Minimum time between two computations of all pool owners. One takes about 10
// ms with 830 VMs and 1,200 databases, and the loss of a data centre makes 138
// changes within seconds.
constexpr Duration kChangesInterval = std::chrono::milliseconds(250);
constexpr Duration kIdlePollInterval = std::chrono::milliseconds(20);
// Added to the drain timeout of open transactions, for the last requests.
constexpr Duration kDrainMargin = std::chrono::seconds(1);
// Time for the last answers to peers to be sent.
constexpr Duration kStopDelay = std::chrono::milliseconds(100);
// The last answers are given up when no caller has received any byte during
// this many checks. Checks are counted, and not the time, so that a process
// that was paused checks again before it gives up.
constexpr int kMaxStalledChecks = std::chrono::seconds(1) / kIdlePollInterval;
// Limit of the time in which callers can receive the last answers, added to the
// limit of the drain.
constexpr Duration kLastAnswersTimeout = std::chrono::seconds(5);

std::uint64_t MakeIncarnation() {
  return static_cast<std::uint64_t>(
      std::chrono::duration_cast<std::chrono::microseconds>(
          std::chrono::system_clock::now().time_since_epoch())
          .count());
}

RequestRouterOptions MakeRouterOptions(const Settings& settings,
                                       std::uint64_t incarnation,
                                       GroupDirectory& groups,
                                       const Tracing& tracing) {
  RequestRouterOptions options;
  options.incarnation = incarnation;
  options.distance = [own = settings.data_centre](const DataCentreName& name) {
    return name == own ? 0U : 1U;
  };
  options.position_check = [&groups](const ServiceConfig& service,
                                     LogPosition replica, LogPosition token) {
    return groups.Satisfies(service, replica, token);
  };
  options.forward_tracer = [&tracing](const VmName& owner, Request& request) {
    std::shared_ptr<opentracing::Span> span =
        tracing.StartHop(kForwardSpan, request.traceparent);
    span->SetTag("owner", owner);
    request.traceparent = Tracing::TraceparentOf(*span);
    return span;
  };
  return options;
}

CallerLimits MakeCallerLimits(const Settings& settings) {
  CallerLimits limits;
  limits.default_timeout = settings.default_timeout;
  return limits;
}

}  // namespace

ProxyProcess::ProxyProcess(EventLoop& loop, const Settings& settings)
    : loop_(loop),
      settings_(settings),
      incarnation_(MakeIncarnation()),
      random_(std::random_device{}()),
      span_sink_(std::cout),
      tracing_(settings.trace_sample_ratio, span_sink_, random_),
      endpoints_(loop),
      platform_(loop, settings.platform_address),
      peers_(loop,
             HelloMessage{settings.vm, settings.data_centre,
                          settings.peer_address, incarnation_},
             *this),
      membership_(MembershipOptions{settings.vm, settings.data_centre,
                                    settings.peer_address, incarnation_},
                  peers_, configs_, random_),
      distributor_(configs_, platform_, peers_, membership_, random_),
      submitter_(configs_, distributor_, platform_, random_),
      vm_watcher_(
          platform_, kVmPrefix, random_, [this] { return IsWatcher(); },
          [this](const auto& objects) { OnVmList(objects); }),
      group_watcher_(
          platform_, kGroupPrefix, random_, [this] { return IsWatcher(); },
          [this](const auto& objects) { OnGroupList(objects); },
          [this] { group_monitors_.OnStoreRestored(EventLoop::Now()); }),
      router_(configs_, groups_, membership_, peers_, random_,
              MakeRouterOptions(settings, incarnation_, groups_, tracing_)),
      pools_(configs_, groups_, membership_, endpoints_, peers_, tracing_,
             settings.drain_timeout),
      group_monitors_(configs_, groups_, membership_, endpoints_, peers_,
                      platform_, random_, *this),
      admin_(ProxyAdminDependencies{settings_, configs_, distributor_,
                                    submitter_, membership_, groups_, router_,
                                    pools_, peers_, platform_, tracing_},
             [this] { Drain(); }),
      admin_api_(admin_, settings_.admin_tokens),
      admin_server_(loop, ParseAddress(settings.admin_address).ip,
                    ParseAddress(settings.admin_address).port, admin_api_) {
  callers_ = std::make_unique<CallerServer>(loop, settings.caller_address,
                                            settings.max_sessions,
                                            MakeCallerLimits(settings), *this);
  admin_.SetCallers(*callers_);
  loop_.OnRoundEnd([this] { OnRound(); });
  OnRound();
  Log(LogLevel::kInfo, "proxy_started",
      {{"vm", settings.vm}, {"data_centre", settings.data_centre}});
}

ProxyProcess::~ProxyProcess() { loop_.OnRoundEnd(nullptr); }

void ProxyProcess::Drain() {
  if (std::exchange(draining_, true)) return;
  const TimePoint now = EventLoop::Now();
  drain_deadline_ = now + settings_.drain_timeout + kDrainMargin;
  Log(LogLevel::kInfo, "drain_started", {{"vm", settings_.vm}});
  admin_.SetLeaving();
  membership_.Leave(now);
  callers_->AnnounceLeaving();
  router_.Drain(now);
  pools_.Drain(now);
  StopWhenIdle();
}

void ProxyProcess::OnPeerMessage(const VmName& vm, const PeerMessage& message,
                                 TimePoint now) {
  if (const auto* forward = std::get_if<ForwardMessage>(&message)) {
    pools_.OnForward(vm, *forward, now);
  } else if (const auto* reply = std::get_if<ForwardReplyMessage>(&message)) {
    router_.OnForwardReply(vm, *reply, now);
  } else {
    membership_.OnPeerMessage(vm, message, now);
    distributor_.OnPeerMessage(vm, message, now);
    group_monitors_.OnPeerMessage(vm, message, now);
  }
}

void ProxyProcess::OnPeerLost(const VmName& vm, TimePoint now) {
  membership_.OnPeerLost(vm, now);
  distributor_.OnPeerLost(vm, now);
  router_.OnPeerLost(vm, now);
}

void ProxyProcess::OnCallerRequest(Request request, CallerResponder respond) {
  std::shared_ptr<opentracing::Span> span =
      tracing_.StartRequest(kRouterSpan, request.traceparent);
  span->SetTag("service", request.service);
  request.traceparent = Tracing::TraceparentOf(*span);
  const bool begin = request.kind == RequestKind::kBegin;
  const AccessMode access = request.access;
  const TimePoint now = EventLoop::Now();
  router_.Submit(
      std::move(request),
      [this, begin, access, now, respond = std::move(respond),
       span = std::move(span)](const Outcome& outcome) {
        span->SetTag("verdict", std::string(VerdictName(outcome.verdict)));
        span->Finish();
        admin_.metrics().CountOutcome(access, outcome, EventLoop::Now() - now);
        const bool opened = begin && outcome.verdict == Verdict::kRan;
        respond(outcome, opened ? outcome.payload : std::string());
      },
      now);
}

void ProxyProcess::OnTransactionAbandoned(const ServiceName& /*service*/,
                                          const TransactionId& transaction) {
  router_.AbandonTransaction(transaction, EventLoop::Now());
}

// Disseminates the update: sends it to some peers, each of which does the same
// once.
void ProxyProcess::OnGroupChanged(const GroupUpdateMessage& update,
                                  TimePoint now) {
  // An update may only add missing term starts to a known term; that is not a
  // change of primary.
  Term& logged = logged_terms_[update.service];
  if (logged < update.term) {
    logged = update.term;
    Log(LogLevel::kInfo, "primary_changed",
        {{"service", update.service},
         {"term", update.term},
         {"primary", update.primary}});
  }
  pools_.OnGroupChanged(update.service, update.term);
  router_.OnGroupChanged(update.service, now);
  std::vector<VmName> targets;
  const std::vector<VmName>& peers = membership_.Peers();
  std::sample(peers.begin(), peers.end(), std::back_inserter(targets),
              kGroupUpdateFanOut, random_);
  for (const VmName& vm : targets) peers_.Send(vm, update);
}

void ProxyProcess::OnPromotionCompleted(const GroupUpdateMessage& /*update*/) {
  admin_.metrics().promotions.Increment();
}

void ProxyProcess::HoldWrites(const ServiceName& service, TimePoint now) {
  pools_.HoldWrites(service, now);
}

void ProxyProcess::ReleaseWrites(const ServiceName& service, TimePoint now) {
  pools_.ReleaseWrites(service, now);
}

void ProxyProcess::OnConnectionsSilent(const EndpointName& endpoint,
                                       TimePoint now) {
  pools_.OnConnectionsSilent(endpoint, now);
}

bool ProxyProcess::WritesInFlight(const ServiceName& service) {
  return pools_.WritesInFlight(service);
}

// A malformed entry is skipped; the other entries are still used.
void ProxyProcess::OnVmList(const std::vector<StoredObject>& objects) {
  std::vector<ListedVm> vms;
  for (const StoredObject& object : objects) {
    try {
      const nlohmann::json entry = ParseJsonObject(object.value);
      vms.push_back({RequiredString(entry, "vm"),
                     RequiredString(entry, "data_centre"),
                     RequiredString(entry, "address"),
                     OptionalBool(entry, "leaving", false)});
    } catch (const DecodeError& error) {
      Log(LogLevel::kWarning, "vm_entry_malformed",
          {{"path", object.path}, {"error", error.what()}});
    }
  }
  membership_.OnVmList(vms, EventLoop::Now());
}

void ProxyProcess::OnGroupList(const std::vector<StoredObject>& objects) {
  for (const StoredObject& object : objects) {
    const std::string service = object.path.substr(sizeof(kGroupPrefix) - 1);
    try {
      group_monitors_.OnAnnouncement(ParseGroupRecord(service, object.value),
                                     EventLoop::Now());
    } catch (const DecodeError& error) {
      Log(LogLevel::kWarning, "group_record_malformed",
          {{"path", object.path}, {"error", error.what()}});
    }
  }
}

bool ProxyProcess::IsWatcher() const {
  return membership_.IsAmongFirstInDataCentre(kWatcherRendezvousKey,
                                              kWatchersPerDataCentre);
}

void ProxyProcess::OnRound() {
  const TimePoint now = EventLoop::Now();
  if (next_wakeup_ <= now) {
    admin_.metrics().loop_delay.Observe(
        std::chrono::duration<double>(now - next_wakeup_).count());
    next_wakeup_ = TimePoint::max();
  }
  vm_watcher_.Tick(now);
  group_watcher_.Tick(now);
  membership_.Tick(now);
  distributor_.Tick(now);
  submitter_.Tick(now);
  ApplyChanges(now);
  group_monitors_.Tick(now);
  router_.Tick(now);
  pools_.Tick(now);
  if (now >= next_leaving_check_) {
    next_leaving_check_ = now + kLeavingCheckInterval;
    LogPeerStates();
    LogStoreState();
    group_monitors_.StartPlannedChanges(
        [this](const EndpointName& endpoint) {
          return pools_.IsLeaving(endpoint);
        },
        now);
  }
  const TimePoint next =
      std::min({vm_watcher_.NextTick(), group_watcher_.NextTick(),
                membership_.NextTick(), distributor_.NextTick(),
                submitter_.NextTick(), group_monitors_.NextTick(),
                router_.NextTick(), pools_.NextTick(), next_leaving_check_,
                HasPendingChanges() ? next_change_check_ : TimePoint::max()});
  if (next_wakeup_ <= next) return;
  next_wakeup_ = std::max(next, now);
  // The timer only wakes the loop; the work is done at the end of the round.
  loop_.RunAfter(next_wakeup_ - now, [] {});
}

bool ProxyProcess::HasPendingChanges() const {
  return membership_.revision() != applied_revision_ ||
         configs_.digest() != applied_digest_;
}

void ProxyProcess::ApplyChanges(TimePoint now) {
  if (!HasPendingChanges() || now < next_change_check_) return;
  next_change_check_ = now + kChangesInterval;
  applied_revision_ = membership_.revision();
  applied_digest_ = configs_.digest();
  LogPeerStates();
  LogConfigurations();
  FailForwardsToLostVms(now);
  admin_.RecordAppliedVersions(now);
  pools_.OnOwnershipChanged(now);
  group_monitors_.OnOwnershipChanged(now);
}

// A VM that is suspected or dead may be frozen with its links open, so the loss
// of a link is not a sufficient signal. Requests that were forwarded to it are
// resolved through another owner; this is also the only cost of a false
// suspicion.
void ProxyProcess::FailForwardsToLostVms(TimePoint now) {
  for (const auto& [vm, member] : membership_.table().members()) {
    const VmState state = member.record.state;
    const bool lost = IsSuspectedOrDead(state);
    if (!lost) {
      lost_vms_.erase(vm);
    } else if (lost_vms_.insert(vm).second) {
      router_.OnPeerLost(vm, now);
    }
  }
}

// A peer that is seen for the first time and is alive has not changed its
// state.
void ProxyProcess::LogPeerStates() {
  for (const auto& [vm, member] : membership_.table().members()) {
    const VmState state = member.record.state;
    const auto [logged, is_new] =
        logged_peers_.try_emplace(vm, VmState::kAlive);
    if (std::exchange(logged->second, state) == state) continue;
    const bool lost = IsSuspectedOrDead(state);
    Log(lost ? LogLevel::kWarning : LogLevel::kInfo, "peer_state_changed",
        {{"vm", vm}, {"state", VmStateName(state)}});
  }
  std::erase_if(logged_peers_, [this](const auto& entry) {
    return membership_.table().Find(entry.first) == nullptr;
  });
}

void ProxyProcess::LogConfigurations() {
  for (const auto& [name, team] : configs_.teams()) {
    LoggedConfig& logged = logged_configs_[name];
    if (team.version > logged.version) {
      logged.version = team.version;
      Log(LogLevel::kInfo, "configuration_applied",
          {{"team", name}, {"version", team.version}});
    }
    if (team.highest_seen > logged.highest_seen &&
        team.highest_seen > team.version) {
      Log(LogLevel::kWarning, "configuration_rejected",
          {{"team", name},
           {"version", team.highest_seen},
           {"error", team.errors.empty() ? "" : team.errors.front().message}});
    }
    logged.highest_seen = team.highest_seen;
  }
}

void ProxyProcess::LogStoreState() {
  const bool reachable = platform_.reachable();
  if (std::exchange(logged_store_reachable_, reachable) == reachable) return;
  Log(reachable ? LogLevel::kInfo : LogLevel::kWarning,
      reachable ? "store_reachable" : "store_unreachable",
      {{"address", settings_.platform_address}});
}

// Ends the drain once nothing is in flight, or when its deadline has passed.
void ProxyProcess::StopWhenIdle() {
  const bool idle = callers_->in_flight() == 0 && router_.in_flight() == 0 &&
                    !router_.has_open_transactions() && pools_.idle();
  if (idle || EventLoop::Now() >= drain_deadline_) {
    router_.EndAll();
    Log(LogLevel::kInfo, "drain_ended", {{"vm", settings_.vm}, {"idle", idle}});
    drain_deadline_ += kLastAnswersTimeout;
    stalled_checks_ = 0;
    loop_.RunAfter(kStopDelay, [this] { StopWhenAnswered(); });
    return;
  }
  loop_.RunAfter(kIdlePollInterval, [this] { StopWhenIdle(); });
}

// Stops the loop once the callers have their last answers or stop reading.
// Requests that arrive meanwhile are refused.
void ProxyProcess::StopWhenAnswered() {
  const std::uint64_t delivered = callers_->DeliveredBytes();
  const bool stalled = std::exchange(delivered_bytes_, delivered) == delivered;
  stalled_checks_ = stalled ? stalled_checks_ + 1 : 0;
  const bool answered = !callers_->HasPendingBytes();
  if (answered || stalled_checks_ > kMaxStalledChecks ||
      EventLoop::Now() >= drain_deadline_) {
    Log(answered ? LogLevel::kInfo : LogLevel::kWarning, "callers_answered",
        {{"vm", settings_.vm}, {"all", answered}});
    loop_.Stop();
    return;
  }
  loop_.RunAfter(kIdlePollInterval, [this] { StopWhenAnswered(); });
}

}  // namespace carawayhaven
