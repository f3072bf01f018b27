#include "core/limits/escrow_limiter.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace carawayhaven {
namespace {

using std::chrono::milliseconds;

// Tokens are borrowed when less than kLowTime of the recent demand is left, up
// to kFullTime of it. Borrowed tokens above the own capacity last no longer.
constexpr double kLowTime = 0.5;
constexpr double kFullTime = 1.0;
// A lender keeps its own demand of this time, in seconds: that of one tick.
// With 1 s, VMs with little demand kept tokens that others refused operations
// for.
constexpr double kKeptTime = 0.1;
// Demand, per second, below which nothing is borrowed: 3 s after the last of
// several operations.
constexpr double kMinDemand = 0.05;
// Shortest time between two rounds of requests while operations wait.
constexpr Duration kUrgentInterval = milliseconds(20);
constexpr std::size_t kMaxPeersPerTick = 4;
// The pause after an unanswered request doubles up to this number of times, to
// about a minute. A peer of an older version closes the link on a request.
constexpr unsigned kMaxDoublings = 7;
// An organisation without refusals for this long is within its limit again.
constexpr Duration kOverLimitMemory = std::chrono::seconds(5);
constexpr Duration kReportInterval = std::chrono::seconds(1);
constexpr Duration kMinRetryAfter = milliseconds(20);
constexpr Duration kMaxRetryAfter = std::chrono::seconds(1);
constexpr double kThousandths = 1000;

Duration FromSeconds(double seconds) {
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(seconds));
}

// Rounds down, so that no token is created.
std::uint32_t ToThousandths(double tokens) {
  return static_cast<std::uint32_t>(
      std::clamp(std::floor(tokens * kThousandths), 0.0, 4e9));
}

}  // namespace

EscrowLimiter::EscrowLimiter(VmName self, const LimitTolerance& tolerance,
                             LimitObserver& observer, std::uint64_t seed,
                             TimePoint now)
    : tolerance_(tolerance),
      observer_(observer),
      vms_(std::move(self)),
      next_correlation_(std::mt19937_64(seed)() | 1U),
      started_(now),
      last_call_(now) {}

void EscrowLimiter::SetOrganisations(
    const std::map<OrganisationName, OrganisationLimits, std::less<>>& limits,
    TimePoint now) {
  CheckPause(now);
  std::erase_if(organisations_, [&](const auto& entry) {
    if (limits.contains(entry.first)) return false;
    removed_[entry.first] = now;
    return true;
  });
  std::erase_if(active_, [&](const OrganisationName& name) {
    return !limits.contains(name);
  });
  for (const auto& [name, limit] : limits) {
    // Loans of an earlier process of this VM, or of the organisation before it
    // was removed, may still be in use until the bucket starts to fill.
    const auto removed = removed_.find(name);
    const TimePoint start =
        removed == removed_.end() ? started_ : removed->second;
    const auto [entry, is_new] =
        organisations_.try_emplace(name, start + LimitBucket::kLoanTime);
    entry->second.fleet = FleetBucketSize(limit, tolerance_);
  }
  ApplyShares(now);
}

void EscrowLimiter::SetSessionVms(const std::vector<VmName>& vms,
                                  const std::vector<LendingPeer>& peers,
                                  TimePoint now) {
  CheckPause(now);
  vms_.Update(vms, now);
  std::map<VmName, Peer> known = std::exchange(peers_, {});
  near_.clear();
  far_.clear();
  for (const LendingPeer& peer : peers) {
    (peer.near ? near_ : far_).push_back(peer.vm);
    Peer& entry = peers_[peer.vm];
    const auto found = known.find(peer.vm);
    if (found != known.end()) entry = found->second;
    entry.near = peer.near;
  }
  const std::size_t divisor = vms_.Divisor(now);
  if (std::exchange(divisor_, divisor) != divisor) ApplyShares(now);
}

void EscrowLimiter::ApplyShares(TimePoint now) {
  for (auto& [name, organisation] : organisations_) {
    organisation.bucket.SetSize(ShareOf(organisation.fleet, divisor_), now);
  }
}

void EscrowLimiter::CheckPause(TimePoint now) {
  const Duration pause = now - std::exchange(last_call_, now);
  if (pause <= kMaxPause) return;
  vms_.Reset();
  divisor_ = 0;
  requests_.clear();
  for (auto& [name, organisation] : organisations_) {
    started_ = now;
    organisation.bucket = LimitBucket(now + LimitBucket::kLoanTime);
    organisation.requested_thousandths = 0;
  }
}

LimitDecision EscrowLimiter::Take(std::string_view organisation,
                                  TimePoint now) {
  return Decide(organisation, true, now);
}

LimitDecision EscrowLimiter::TakeAgain(std::string_view organisation,
                                       TimePoint now) {
  return Decide(organisation, false, now);
}

LimitDecision EscrowLimiter::Decide(std::string_view name, bool is_new,
                                    TimePoint now) {
  CheckPause(now);
  const auto found = organisations_.find(name);
  if (found == organisations_.end()) return {};
  Organisation& organisation = found->second;
  LimitBucket& bucket = organisation.bucket;
  if (is_new) {
    bucket.RecordDemand(now);
    active_.insert(found->first);
  }
  const bool admitted = bucket.TryTake(now);
  if (Wanted(organisation, now) > 0) {
    const Duration interval = admitted ? kTickInterval : kUrgentInterval;
    next_tick_ = std::min(next_tick_, std::max(now, last_borrow_ + interval));
  } else {
    next_tick_ = std::min(next_tick_, now + kTickInterval);
  }
  if (admitted) {
    ++stats_.admitted;
    return {};
  }
  LimitDecision decision;
  const double rate = std::max(organisation.fleet.rate_per_s, 1e-3);
  decision.retry_after = std::clamp(FromSeconds((1 - bucket.Level(now)) / rate),
                                    kMinRetryAfter, kMaxRetryAfter);
  if (organisation.requested_thousandths > 0 || MayBorrow(organisation, now)) {
    decision.kind = LimitDecision::Kind::kWait;
    return decision;
  }
  decision.kind = LimitDecision::Kind::kRefused;
  OnRefused(found->first, now);
  return decision;
}

void EscrowLimiter::OnRefused(std::string_view name, TimePoint now) {
  const auto found = organisations_.find(name);
  if (found == organisations_.end()) return;
  ++stats_.refused;
  found->second.refused_at = now;
  ReportState(found->first, found->second, now);
}

void EscrowLimiter::TakeForced(std::string_view name, TimePoint now) {
  CheckPause(now);
  const auto found = organisations_.find(name);
  if (found == organisations_.end()) return;
  ++stats_.forced;
  found->second.bucket.TakeForced(now);
}

void EscrowLimiter::OnRequest(const VmName& vm,
                              const LimitRequestMessage& request,
                              PeerLink& link, TimePoint now) {
  CheckPause(now);
  const auto peer = peers_.find(vm);
  if (peer != peers_.end()) peer->second.unanswered = 0;
  LimitReplyMessage reply;
  reply.correlation = request.correlation;
  for (const LimitAmount& amount : request.wanted) {
    const auto found = organisations_.find(amount.organisation);
    if (found == organisations_.end()) continue;
    LimitBucket& bucket = found->second.bucket;
    // A share below one token is of use only together with others.
    const double kept =
        bucket.size().capacity < 1 ? 0 : bucket.Demand(now) * kKeptTime;
    const double free = std::max(bucket.Level(now) - kept, 0.0);
    const std::uint32_t granted =
        std::min(amount.thousandths, ToThousandths(free));
    if (granted == 0) continue;
    bucket.Lend(granted / kThousandths, now);
    stats_.lent_thousandths += granted;
    reply.granted.push_back({amount.organisation, granted});
  }
  link.Send(vm, reply);
}

void EscrowLimiter::OnReply(const VmName& vm, const LimitReplyMessage& reply,
                            TimePoint now) {
  CheckPause(now);
  const auto found = requests_.find(reply.correlation);
  if (found == requests_.end() || found->second.vm != vm) return;
  const Request request = std::move(found->second);
  requests_.erase(found);
  const auto peer = peers_.find(vm);
  if (peer != peers_.end()) peer->second.unanswered = 0;
  for (const LimitAmount& wanted : request.wanted) {
    const auto entry = organisations_.find(wanted.organisation);
    if (entry == organisations_.end()) continue;
    Organisation& organisation = entry->second;
    organisation.EndRequest(wanted.thousandths);
    const auto grant = std::find_if(
        reply.granted.begin(), reply.granted.end(), [&](const auto& amount) {
          return amount.organisation == wanted.organisation;
        });
    if (grant == reply.granted.end() || grant->thousandths == 0) {
      organisation.denied_until[vm] = now + kDeniedPause;
      continue;
    }
    // A peer cannot grant more than was requested.
    const std::uint32_t granted =
        std::min(grant->thousandths, wanted.thousandths);
    organisation.bucket.Borrow(granted / kThousandths, request.sent, now);
    stats_.borrowed_thousandths += granted;
  }
}

double EscrowLimiter::Wanted(Organisation& organisation, TimePoint now) const {
  LimitBucket& bucket = organisation.bucket;
  const double demand = bucket.Demand(now);
  if (demand < kMinDemand) return 0;
  const double available =
      bucket.Level(now) +
      static_cast<double>(organisation.requested_thousandths) / kThousandths;
  const double low = std::max(demand * kLowTime, 1.0);
  if (available >= low) return 0;
  const double full =
      std::min(demand * kFullTime, std::max(bucket.size().capacity, low + 1));
  return std::max(full, low) - available;
}

bool EscrowLimiter::MayAsk(const Organisation& organisation, const VmName& vm,
                           const Peer& peer, TimePoint now) const {
  if (peer.next_request > now) return false;
  const auto denied = organisation.denied_until.find(vm);
  return denied == organisation.denied_until.end() || denied->second <= now;
}

bool EscrowLimiter::MayBorrow(const Organisation& organisation,
                              TimePoint now) const {
  return std::any_of(peers_.begin(), peers_.end(), [&](const auto& entry) {
    return MayAsk(organisation, entry.first, entry.second,
                  now + kUrgentInterval);
  });
}

void EscrowLimiter::ChoosePeers(const OrganisationName& name,
                                Organisation& organisation, double wanted,
                                TimePoint now) {
  // A peer without demand is expected to have about half of its capacity.
  const double expected =
      std::max(organisation.bucket.size().capacity / 2, 0.5);
  const auto count = static_cast<std::size_t>(
      std::clamp(std::ceil(wanted / expected), 1.0, double{kMaxPeersPerTick}));
  std::vector<const VmName*> chosen;
  for (const std::vector<VmName>* part : {&near_, &far_}) {
    for (std::size_t i = 0; i < part->size() && chosen.size() < count; ++i) {
      const VmName& vm = (*part)[(rotation_ + i) % part->size()];
      if (MayAsk(organisation, vm, peers_.at(vm), now)) chosen.push_back(&vm);
    }
  }
  if (chosen.empty()) return;
  const std::uint32_t each =
      ToThousandths(wanted / static_cast<double>(chosen.size())) + 1;
  for (const VmName* vm : chosen) {
    outgoing_[*vm].push_back({name, each});
    organisation.requested_thousandths += each;
  }
}

void EscrowLimiter::ExpireRequests(TimePoint now) {
  for (auto entry = requests_.begin(); entry != requests_.end();) {
    const Request& request = entry->second;
    if (now - request.sent < LimitBucket::kLoanTime) {
      ++entry;
      continue;
    }
    for (const LimitAmount& wanted : request.wanted) {
      const auto found = organisations_.find(wanted.organisation);
      if (found == organisations_.end()) continue;
      found->second.EndRequest(wanted.thousandths);
    }
    const auto peer = peers_.find(request.vm);
    if (peer != peers_.end()) {
      const unsigned doublings =
          std::min(peer->second.unanswered++, kMaxDoublings);
      peer->second.next_request = now + kDeniedPause * (1U << doublings);
    }
    entry = requests_.erase(entry);
  }
}

void EscrowLimiter::Tick(PeerLink& link, TimePoint now) {
  CheckPause(now);
  if (now < next_tick_) return;
  next_tick_ = TimePoint::max();
  last_borrow_ = now;
  ++rotation_;
  ExpireRequests(now);
  for (auto entry = active_.begin(); entry != active_.end();) {
    Organisation& organisation = organisations_.find(*entry)->second;
    const double wanted = Wanted(organisation, now);
    if (wanted > 0) ChoosePeers(*entry, organisation, wanted, now);
    ReportState(*entry, organisation, now);
    const bool idle = !organisation.over &&
                      organisation.requested_thousandths == 0 &&
                      organisation.bucket.Demand(now) < kMinDemand;
    if (idle) {
      organisation.denied_until.clear();
      entry = active_.erase(entry);
    } else {
      ++entry;
    }
  }
  for (auto& [vm, wanted] : std::exchange(outgoing_, {})) {
    const CorrelationId correlation = next_correlation_++;
    peers_.at(vm).next_request = now + kTickInterval;
    requests_[correlation] = {vm, now, wanted};
    // A request that cannot be sent ends like one without a reply.
    link.Send(vm, LimitRequestMessage{correlation, wanted});
  }
  if (!active_.empty() || !requests_.empty()) {
    next_tick_ = now + kTickInterval;
  }
}

void EscrowLimiter::ReportState(const OrganisationName& name,
                                Organisation& organisation, TimePoint now) {
  const bool over = organisation.refused_at != TimePoint{} &&
                    now - organisation.refused_at < kOverLimitMemory;
  if (over == organisation.over ||
      now - organisation.reported_at < kReportInterval) {
    return;
  }
  organisation.over = over;
  organisation.reported_at = now;
  observer_.OnOverLimit(name, over);
}

}  // namespace carawayhaven
