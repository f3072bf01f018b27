#ifndef CARAWAYHAVEN_CORE_FAILOVER_PRIMARY_KEEPER_H_
#define CARAWAYHAVEN_CORE_FAILOVER_PRIMARY_KEEPER_H_

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <span>
#include <string_view>
#include <vector>

#include "carawayhaven/time.h"
#include "core/failover/commit_holders.h"
#include "core/failover/duty_election.h"
#include "core/failover/endpoint_probe.h"
#include "core/failover/failover_observer.h"
#include "core/failover/promotion_service.h"
#include "core/failover/replica_selection.h"
#include "core/peer_message.h"
#include "core/session/endpoint_state.h"
#include "core/session/primary_rights.h"

namespace carawayhaven {

/// Knows which commits callers were told of.
class AcknowledgementSource {
 public:
  virtual ~AcknowledgementSource() = default;
  /// An upper bound of the positions of all commits that callers were told of,
  /// or nothing if none is known that `end` reaches. Meaningful while no lease
  /// for the primary is valid.
  virtual std::optional<LogPosition> AcknowledgedUpTo(
      const ServiceName& service, LogPosition end) const = 0;
};

/// Dependencies of a PrimarySupervisor. All references must outlive it.
struct PrimarySupervisorContext {
  SessionLink& link;
  PlatformStore& store;
  PromotionService& promotions;
  LeaderElection& election;
  FailoverObserver& observer;
  const std::map<EndpointName, EndpointState>& endpoints;
  /// The leases of this VM.
  const PrimaryLeases& leases;
  const AcknowledgementSource& acknowledgements;
  const VmName& self;
  std::function<TimePoint()> clock;
};

/// Supervises the primary of one service while this VM is the leader. Decides
/// whether leases for the primary may be granted, and replaces the primary when
/// it fails or leaves: stops granting, waits until every lease has expired,
/// then promotes the replica with the longest log. If commits wait for
/// replicas, a replica is promoted only when it is known to hold all that were
/// acknowledged; until then, the promotion is held back.
///
/// The record is the memory of earlier leaders. After the store was restored
/// from a copy, a promotion may be missing from it, so until the leader has
/// written it again, it only names the lowest term that the primary can have.
/// Not thread-safe.
class PrimarySupervisor {
 public:
  PrimarySupervisor(const PrimarySupervisorContext& context,
                    ServiceName service);
  PrimarySupervisor(const PrimarySupervisor&) = delete;
  PrimarySupervisor& operator=(const PrimarySupervisor&) = delete;

  /// Applies the service's record from the store; ignores a version that is not
  /// newer than the known one.
  void OnRecord(const PrimaryRecord& record, ObjectVersion version);
  void OnRecordRemoved();
  /// Applies a version of the record that cannot be read. With `may_replace`,
  /// the next write replaces it; it must be set only if this VM is the leader
  /// and has known every earlier version.
  void OnUnreadableRecord(ObjectVersion version, bool may_replace);
  /// The newest record if it can be read and was written in the present era of
  /// the store, or null.
  const PrimaryRecord* current_record() const;
  /// Records another VM's view of the primary.
  void OnReport(const VmName& vm, const PrimaryReport& report, TimePoint now);
  /// Sets how many replicas hold each acknowledged commit.
  void SetSyncReplicas(std::uint32_t count);

  void Tick(TimePoint now);
  TimePoint NextTick() const { return next_tick_; }

  /// True from when the primary is not used any more until its successor is.
  bool IsReplacing() const;

  /// True while a promotion is held back because commits may be missing in the
  /// logs that are known.
  bool IsHeld() const { return held_; }

  /// The lease for the primary that may be granted now, or nothing.
  std::optional<LeaseGrant> GrantableLease(TimePoint now) const;

  /// The absence of the primary while it is being replaced or waits for the
  /// store, with the expected time until leases are granted again, if it is
  /// known; nothing in all other states.
  std::optional<PrimaryAbsence> FindAbsence(TimePoint now) const;

 private:
  // Used until a promotion was observed: the longest promotion time that the
  // users state for their databases.
  static constexpr Duration kAssumedPromotionTime =
      std::chrono::milliseconds(1000);

  enum class State : std::uint8_t {
    /// This VM is not the leader.
    kPassive,
    /// The primary is not known yet.
    kSearching,
    kServing,
    /// No leases are granted; the primary may be replaced.
    kStopped,
    /// The replicas are being compared.
    kChoosing,
    /// The promotion is being ordered.
    kPromoting,
    /// The promotion was ordered; the endpoint is not the primary yet.
    kConfirming,
  };
  struct Report {
    PrimaryReport report;
    TimePoint received;
  };
  void Enter(State state, std::string_view why, Duration age, TimePoint now);
  EndpointProbe& ProbeOf(const EndpointState& endpoint);
  void SearchPrimary(TimePoint now);
  /// True if there was a record, when none can be read. `best` is the endpoint
  /// that says that it is primary in the highest term, or null.
  bool IsRecordMissing(const EndpointProbe* best) const;
  /// As SearchPrimary, without a record of the present era. `best` as above.
  void SearchWithoutRecord(const EndpointProbe* best, TimePoint now);
  /// True if the endpoint was the primary when it reported its position. There
  /// must be one.
  bool IsPositionOfPrimary(const EndpointProbe& probe) const;
  /// True when this VM has a valid lease for `best`.
  bool HasLease(const EndpointProbe& best, TimePoint now) const;
  /// True when the other endpoints and the reports of VMs show that `best` is
  /// not a primary that was replaced.
  bool IsConfirmed(const EndpointProbe& best, TimePoint now) const;
  /// The primary that the newest lease of this VM or the record names. A
  /// promotion of it would have no effect, even if it has stepped down.
  EndpointName KnownPrimary() const;
  /// The primary that the record names, or else the endpoint whose own entry
  /// says that it is primary; empty when there is none.
  EndpointName RecordedPrimary() const;
  /// Highest term that the record or an endpoint has named.
  Term KnownTerm() const;
  /// Enters kServing with an endpoint that was found to be the primary.
  void Serve(const EndpointProbe& probe, std::string_view why, TimePoint now);
  /// Enters kServing with `primary_`.
  void BeginServing(std::string_view why, Duration age, TimePoint now);
  void StopWithoutPrimary(TimePoint now);
  /// True if leases for a new primary have been waiting for its record for
  /// long.
  bool AwaitsStore(TimePoint now) const;
  void MonitorPrimary(TimePoint now);
  /// When the last lease ends, if the record was withdrawn at this time.
  TimePoint LeaseEndAfter(TimePoint withdrawn) const;
  void AwaitLeaseExpiry(TimePoint now);
  /// Another endpoint than the present primary that says that it is primary in
  /// the present term, or null. It is the present primary under another name.
  const EndpointProbe* FindReturnedPrimary() const;
  void ChooseReplica(TimePoint now);
  /// Updates which replicas may hold acknowledged commits.
  void UpdateHolders(TimePoint now);
  /// Adds the replicas that run, and removes those that have ended and whose
  /// commits are in other logs. To be called while the primary serves.
  void RenewHolders(TimePoint now);
  /// True if the replica's process runs, as far as the registry or its own
  /// answers show.
  bool IsRunning(const EndpointState& replica, TimePoint now) const;
  /// The replicas that the record of this phase names.
  std::vector<ReplicaProcess> ReplicasToRecord(PrimaryPhase phase,
                                               TimePoint now) const;
  /// True when the store's record names all replicas that may hold acknowledged
  /// commits.
  bool AreHoldersRecorded() const;
  /// True unless the process that was chosen is known to run still.
  bool MayHaveRestarted() const;
  /// Takes up the order of an earlier leader, whose effect was not observed.
  void ResumePromotion(const PrimaryRecord& record, TimePoint now);
  /// What is known of the log of a holder whose process has ended, or nothing
  /// if `logs`, those of the endpoints, contain it.
  std::optional<ReplicaLog> FindEndedLog(const CommitHolders::Holder& holder,
                                         std::span<const ReplicaLog> logs,
                                         TimePoint now) const;
  /// What is known of the logs of all replicas that may hold commits of the old
  /// primary.
  std::vector<ReplicaLog> CollectReplicaLogs(TimePoint now);
  /// True if the endpoint may be promoted now.
  bool IsCandidate(const EndpointState& endpoint, TimePoint now) const;
  /// True if the endpoint may hold commits that no other log contains.
  bool MayHoldLog(const EndpointState& endpoint, TimePoint now) const;
  /// If an order is recorded, a position that all acknowledged commits are
  /// within, or nothing.
  std::optional<LogPosition> EndOfOrderedLog() const;
  /// The log of the old primary if an order to replace it is recorded and it
  /// has all acknowledged commits, or nothing. It can be promoted only if the
  /// order has taken effect.
  std::optional<ReplicaLog> FindReplacedLog(TimePoint now) const;
  /// End of the log of the old primary if it still is the primary, or nothing.
  std::optional<LogPosition> EndOfPrimaryLog(const EndpointProbe& probe) const;
  /// True if an order to promote an endpoint is recorded.
  bool HasOrder() const;
  /// True if the old primary must step down even if no replica can be promoted
  /// yet.
  bool MustStepDown(TimePoint now) const;
  /// Holds the promotion back, since no candidate is known to hold all commits.
  /// Goes on with a primary that can serve.
  void HoldPromotion(const ReplicaSelection& selection,
                     std::optional<LogPosition> log_end, TimePoint now);
  /// Reports what the promotion waits for if that has changed.
  void ReportHold(const ReplicaSelection& selection,
                  std::optional<LogPosition> log_end, TimePoint now);
  /// Writes the record, unless it is a serving record that the store holds
  /// already. Sets record_written_ once the store holds it.
  void WriteRecord(PrimaryRecord record, TimePoint now);
  /// The store holds the record that the present state asked for.
  void OnRecordWritten();
  /// A write was refused because the store holds `object`.
  void OnConflict(const StoredObject& object);
  void Promote(TimePoint now);
  void OnPromoted(PromotionResult result, std::uint64_t order);
  void ConfirmPromotion(TimePoint now);
  /// Queries the replicas while the logs of others may be lost.
  void QueryReplicasIfNeeded(TimePoint now);
  void QueryAll(TimePoint now);
  TimePoint LastAliveAt() const;
  TimePoint LastReportedAliveAt() const;
  bool MostVmsReportFailure(TimePoint now) const;
  bool IsLeaving() const;
  /// True when the endpoint's last status is recent and reports another role
  /// than primary.
  bool ReportsReplicaRole(const EndpointName& endpoint, TimePoint now) const;
  const EndpointState* Find(const EndpointName& name) const;

  PrimarySupervisorContext context_;
  ServiceName service_;
  State state_ = State::kPassive;
  TimePoint state_entered_at_;
  TimePoint next_tick_;
  EndpointName primary_;
  Term term_ = 0;
  std::optional<PrimaryRecord> record_;
  /// The store holds no version after `record_` that cannot be read.
  bool record_readable_ = true;
  ObjectVersion unreadable_version_ = 0;
  ObjectVersion record_version_ = 0;
  /// There was a record in some era of the store.
  bool recorded_ = false;
  /// Era of the store in which the supervision began.
  std::uint64_t era_ = 0;
  std::uint64_t record_writes_ = 0;
  std::map<EndpointName, std::unique_ptr<EndpointProbe>> probes_;
  /// Used only with synchronous replicas.
  CommitHolders holders_;
  /// In this state, the record has named all holders.
  bool holders_recorded_ = false;
  TimePoint next_query_;
  std::map<VmName, Report> reports_;
  TimePoint most_fail_since_ = TimePoint::max();
  /// No lease for `primary_` was granted after this time.
  TimePoint grants_stopped_at_;
  /// End of the old primary's log after it stepped down.
  std::optional<LogPosition> handover_position_;
  EndpointName chosen_;
  /// EndpointRecord::started_ms of the process that was chosen, or nothing if
  /// it is not known.
  std::optional<std::uint64_t> chosen_started_ms_;
  /// A position that its log had reached.
  LogPosition chosen_reached_;
  TimePoint chosen_at_;
  std::map<EndpointName, TimePoint> excluded_until_;
  /// The write in flight, whose answer may be lost.
  std::optional<PrimaryRecord> pending_record_;
  bool record_written_ = false;
  TimePoint record_written_at_;
  std::uint64_t attempt_ = 0;
  std::uint64_t state_entries_ = 0;
  TimePoint retry_at_;
  /// Time from the next write of the record until it is repeated.
  Duration retry_delay_{0};
  /// Nothing until the configuration is known.
  std::optional<std::uint32_t> sync_replicas_;
  /// The promotion is held back, for an unknown time.
  bool held_ = false;
  /// The last report of what the promotion waits for.
  std::optional<PromotionHold> reported_hold_;
  TimePoint hold_reported_at_;
  /// Time from the order of the last promotion until it took effect.
  Duration last_promotion_time_ = kAssumedPromotionTime;
  std::shared_ptr<PrimarySupervisor*> alive_;
};

}  // namespace carawayhaven

#endif  // CARAWAYHAVEN_CORE_FAILOVER_PRIMARY_KEEPER_H_
