#ifndef CARAWAYHAVEN_CORE_LIMITS_ESCROW_LIMITER_H_
#define CARAWAYHAVEN_CORE_LIMITS_ESCROW_LIMITER_H_

#include <algorithm>
#include <cstdint>
#include <map>
#include <random>
#include <set>
#include <string_view>
#include <vector>

#include "core/limits/limit_bucket.h"
#include "core/limits/limit_observer.h"
#include "core/limits/organisation_limiter.h"
#include "core/limits/session_vm_counter.h"
#include "core/peer_link.h"
#include "core/session/route_table.h"

namespace carawayhaven {

/// Counters since the start.
struct LimiterStats {
  std::uint64_t admitted = 0;
  std::uint64_t refused = 0;
  /// Repeated sends, which are not refused.
  std::uint64_t forced = 0;
  /// Tokens, in thousandths of an operation.
  std::uint64_t borrowed_thousandths = 0;
  std::uint64_t lent_thousandths = 0;
};

/// A session VM that tokens may be borrowed from.
struct LendingPeer {
  VmName vm;
  /// In the own data centre, where messages cost little.
  bool near = false;
};

/// Enforces the limits of organisations by one token bucket per organisation on
/// each session VM, with a share of the rate and the capacity, and by borrowing
/// from peers. A process starts with empty buckets. Not thread-safe; all calls
/// must come from the thread of the event loop.
class EscrowLimiter : public OrganisationLimiter {
 public:
  /// Interval at which tokens are borrowed; at most one request per interval is
  /// sent to one peer.
  static constexpr Duration kTickInterval = std::chrono::milliseconds(100);
  /// A peer that granted nothing is not asked for the same organisation again
  /// for this long.
  static constexpr Duration kDeniedPause = std::chrono::milliseconds(500);
  /// A process that paused for longer starts again with empty buckets, as its
  /// peers may no longer count it.
  static constexpr Duration kMaxPause = std::chrono::seconds(10);

  /// `observer` must outlive the limiter.
  EscrowLimiter(VmName self, const LimitTolerance& tolerance,
                LimitObserver& observer, std::uint64_t seed, TimePoint now);

  /// Sets the organisations with a limit. Lower limits apply at once.
  void SetOrganisations(
      const std::map<OrganisationName, OrganisationLimits, std::less<>>& limits,
      TimePoint now);
  /// Sets the VMs that run sessions, and which of them may lend.
  void SetSessionVms(const std::vector<VmName>& vms,
                     const std::vector<LendingPeer>& peers, TimePoint now);

  LimitDecision Take(std::string_view organisation, TimePoint now) override;
  LimitDecision TakeAgain(std::string_view organisation,
                          TimePoint now) override;
  void OnRefused(std::string_view organisation, TimePoint now) override;
  void TakeForced(std::string_view organisation, TimePoint now) override;

  void OnRequest(const VmName& vm, const LimitRequestMessage& request,
                 PeerLink& link, TimePoint now);
  void OnReply(const VmName& vm, const LimitReplyMessage& reply, TimePoint now);

  /// Borrows where tokens run low.
  void Tick(PeerLink& link, TimePoint now);
  /// Returns when Tick is to be called; max() if nothing is to be done.
  TimePoint NextTick() const { return next_tick_; }

  const LimiterStats& stats() const { return stats_; }

 private:
  struct Organisation {
    explicit Organisation(TimePoint start) : bucket(start) {}
    /// The amount is granted, denied or lost.
    void EndRequest(std::uint32_t thousandths) {
      requested_thousandths =
          std::max<std::int64_t>(requested_thousandths - thousandths, 0);
    }

    /// Size of the buckets of all VMs together.
    BucketSize fleet;
    LimitBucket bucket;
    /// Tokens requested and neither granted nor denied yet.
    std::int64_t requested_thousandths = 0;
    std::map<VmName, TimePoint> denied_until;
    bool over = false;
    TimePoint refused_at;
    TimePoint reported_at;
  };
  using Organisations = std::map<OrganisationName, Organisation, std::less<>>;

  struct Peer {
    bool near = false;
    TimePoint next_request;
    /// Number of requests in a row that were not replied to.
    unsigned unanswered = 0;
  };
  struct Request {
    VmName vm;
    TimePoint sent;
    std::vector<LimitAmount> wanted;
  };

  LimitDecision Decide(std::string_view organisation, bool is_new,
                       TimePoint now);
  /// Starts again with empty buckets if the process was suspended.
  void CheckPause(TimePoint now);
  void ApplyShares(TimePoint now);
  /// Returns the tokens to request for an organisation; zero for none.
  double Wanted(Organisation& organisation, TimePoint now) const;
  bool MayAsk(const Organisation& organisation, const VmName& vm,
              const Peer& peer, TimePoint now) const;
  bool MayBorrow(const Organisation& organisation, TimePoint now) const;
  /// Adds requests for `wanted` tokens to those of this tick.
  void ChoosePeers(const OrganisationName& name, Organisation& organisation,
                   double wanted, TimePoint now);
  void ExpireRequests(TimePoint now);
  void ReportState(const OrganisationName& name, Organisation& organisation,
                   TimePoint now);

  LimitTolerance tolerance_;
  LimitObserver& observer_;
  SessionVmCounter vms_;
  std::size_t divisor_ = 0;
  Organisations organisations_;
  /// Organisations with recent operations.
  std::set<OrganisationName, std::less<>> active_;
  std::map<VmName, Peer> peers_;
  /// Order in which peers are asked: near ones first, each part rotated.
  std::vector<VmName> near_;
  std::vector<VmName> far_;
  std::size_t rotation_ = 0;
  std::map<VmName, std::vector<LimitAmount>> outgoing_;
  std::map<CorrelationId, Request> requests_;
  /// Random at the start, so that a reply to an earlier process of this VM
  /// matches no request.
  CorrelationId next_correlation_;
  TimePoint started_;
  /// When organisations were removed from the configuration.
  std::map<OrganisationName, TimePoint> removed_;
  TimePoint last_call_;
  TimePoint last_borrow_;
  TimePoint next_tick_ = TimePoint::max();
  LimiterStats stats_;
};

}  // namespace carawayhaven

#endif  // CARAWAYHAVEN_CORE_LIMITS_ESCROW_LIMITER_H_
