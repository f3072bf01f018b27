#ifndef CARAWAYHAVEN_CORE_FAILOVER_PRIMARY_SUPERVISOR_H_
#define CARAWAYHAVEN_CORE_FAILOVER_PRIMARY_SUPERVISOR_H_

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string_view>

#include "carawayhaven/time.h"
#include "core/failover/endpoint_probe.h"
#include "core/failover/failover_observer.h"
#include "core/failover/leader_election.h"
#include "core/failover/promotion_service.h"
#include "core/peer_message.h"
#include "core/session/endpoint_state.h"

namespace carawayhaven {

/// What a keeper works with. All references outlive it.
struct PrimarySupervisorContext {
  SessionLink& link;
  PlatformStore& store;
  PromotionService& promotions;
  LeaderElection& duty;
  FailoverObserver& observer;
  const std::map<EndpointName, EndpointState>& endpoints;
  const VmName& self;
  std::function<TimePoint()> clock;
};

/// Watches the primary of one service on the VM that holds the duty, says
/// whether rights to it may be granted, and replaces it when it fails or
/// leaves: it stops to grant, waits until every right has expired, then
/// promotes the replica with the longest log. Not thread-safe.
class PrimarySupervisor {
 public:
  PrimarySupervisor(const PrimarySupervisorContext& environment,
                    ServiceName service);
  PrimarySupervisor(const PrimarySupervisor&) = delete;
  PrimarySupervisor& operator=(const PrimarySupervisor&) = delete;

  /// Takes the service's record from the store.
  void OnRecord(const PrimaryRecord& record, ObjectVersion version);
  /// The newest record that is known, or nothing.
  const std::optional<PrimaryRecord>& record() const { return record_; }
  /// Takes another VM's view of the primary.
  void OnReport(const VmName& vm, const PrimaryReport& report, TimePoint now);
  /// Sets how many replicas hold each acknowledged commit.
  void SetSyncReplicas(std::uint32_t count) { sync_replicas_ = count; }

  void Tick(TimePoint now);
  TimePoint NextTick() const { return next_; }

  /// The primary to which rights may be granted now, or nothing.
  std::optional<LeaseGrant> GrantableLease(TimePoint now) const;

  /// Expected time until rights are granted again; nothing while they are, or
  /// when it cannot be told.
  std::optional<Duration> TimeUntilReady(TimePoint now) const;

 private:
  // Until a promotion was seen: the longest that the users' sheets state.
  static constexpr Duration kAssumedPromotionTime =
      std::chrono::milliseconds(1000);

  enum class State : std::uint8_t {
    /// Not the holder.
    kPassive,
    /// The primary is not known yet.
    kSearching,
    kServing,
    /// No rights are granted; the primary may be replaced.
    kStopped,
    /// Replicas are compared.
    kChoosing,
    /// The promotion is being ordered.
    kPromoting,
    /// The promotion was ordered; the new primary does not lead yet.
    kConfirming,
  };
  struct Report {
    PrimaryReport report;
    TimePoint received;
  };

  void Enter(State state, std::string_view why, Duration age, TimePoint now);
  EndpointProbe& ProbeOf(const EndpointState& endpoint);
  void Search(TimePoint now);
  void Serve(TimePoint now);
  void Stopped(TimePoint now);
  void Choose(TimePoint now);
  /// Writes the record unless it is so already; `recorded_` tells the result.
  void WriteRecord(PrimaryRecord record, TimePoint now);
  void Promote(TimePoint now);
  void OnPromoted(PromotionResult result, std::uint64_t order);
  void Confirm(TimePoint now);
  void AskAll(TimePoint now);
  TimePoint AliveAt() const;
  bool MostVmsFail(TimePoint now) const;
  bool Leaves() const;
  /// True when the endpoint said lately that it does not lead.
  bool SaysReplica(const EndpointName& endpoint, TimePoint now) const;
  const EndpointState* Find(const EndpointName& name) const;

  PrimarySupervisorContext environment_;
  ServiceName service_;
  State state_ = State::kPassive;
  TimePoint entered_;
  TimePoint next_;
  EndpointName primary_;
  Term term_ = 0;
  std::optional<PrimaryRecord> record_;
  ObjectVersion record_version_ = 0;
  std::uint64_t record_writes_ = 0;
  std::map<EndpointName, std::unique_ptr<EndpointProbe>> probes_;
  TimePoint next_ask_;
  std::map<VmName, Report> reports_;
  TimePoint most_fail_since_ = TimePoint::max();
  /// The last right to `primary_` was granted before.
  TimePoint stopped_at_;
  /// End of the old primary's log when it is replaced on purpose.
  std::optional<LogPosition> handover_position_;
  EndpointName chosen_;
  std::map<EndpointName, TimePoint> excluded_;
  bool busy_ = false;
  bool recorded_ = false;
  TimePoint recorded_at_;
  std::uint64_t attempt_ = 0;
  TimePoint retry_at_;
  std::uint32_t sync_replicas_ = 0;
  /// From the order of the last promotion to its effect.
  Duration promotion_time_ = kAssumedPromotionTime;
  std::shared_ptr<PrimarySupervisor*> alive_;
};

}  // namespace carawayhaven

#endif  // CARAWAYHAVEN_CORE_FAILOVER_PRIMARY_SUPERVISOR_H_
