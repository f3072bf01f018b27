#ifndef CARAWAYHAVEN_CORE_FAILOVER_DUTY_ELECTION_H_
#define CARAWAYHAVEN_CORE_FAILOVER_DUTY_ELECTION_H_

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <vector>

#include "carawayhaven/time.h"
#include "core/failover/failover_records.h"
#include "core/platform_store.h"

namespace carawayhaven {

/// Elects the leader: the VM that grants primary leases and promotes endpoints.
/// The leader object in the store names it. A VM becomes the leader by a
/// conditional write, and its leader lease ends kLeaderLease after it sent its
/// last successful write. Before it promotes, a successor waits until the
/// lease that belongs to the last write it saw of its predecessor has expired,
/// unless it knows that the predecessor has stopped.
///
/// When the store is restored from a copy, a new era begins, and the leader
/// record may be older than the last leader. Leadership therefore ends with the
/// era, and the first leader of the new era promotes only when the leases of
/// all leaders of earlier eras have expired. Not thread-safe.
class LeaderElection {
 public:
  using Clock = std::function<TimePoint()>;
  /// Version of the leader object after a write, or nothing when it failed.
  using TokenCallback = std::function<void(std::optional<ObjectVersion>)>;

  // The leader stays the leader during an outage of the store that is shorter
  // than kLeaderLease - kRenewInterval.
  static constexpr Duration kLeaderLease = std::chrono::seconds(9);
  static constexpr Duration kRenewInterval = std::chrono::seconds(2);
  static constexpr Duration kRenewRetryInterval =
      std::chrono::milliseconds(300);
  // A primary is replaced no sooner than this after the last lease for it was
  // granted.
  static constexpr Duration kPrimaryLeaseDuration =
      std::chrono::milliseconds(1000);
  // An answer of the store that takes longer is taken for lost. The write that
  // follows is conditional on the same version, so that only one of the two
  // takes effect.
  static constexpr Duration kOverdueAnswer = std::chrono::milliseconds(150);
  // More than two clocks can drift apart during a lease.
  static constexpr Duration kClockDriftMargin = std::chrono::milliseconds(50);

  /// `store` must outlive the election.
  LeaderElection(PlatformStore& store, VmName self, Clock clock);

  /// Sets the number of this process. While it is 0, as at the start, this
  /// process cannot be the leader.
  void SetIncarnation(std::uint64_t incarnation) { incarnation_ = incarnation; }

  /// Applies a version of the leader object; ignores one that is not newer than
  /// the known one.
  void OnRecord(const LeaderRecord& record, ObjectVersion version,
                TimePoint now);
  void OnRecordRemoved(TimePoint now);

  /// The store is in this era. If it is a later one than the known one, this
  /// process is not the leader any more, and cannot be it before it has got a
  /// new number by SetIncarnation. Returns true then.
  bool OnEra(std::uint64_t era, TimePoint now);
  std::uint64_t era() const { return era_; }
  /// When this process learned of the present era.
  TimePoint era_since() const { return era_since_; }
  /// True when the leader object was written in the present era of the store.
  bool IsRecordCurrent() const;
  /// Applies a version of the leader object that cannot be read: there is no
  /// leader, and an unknown one may still grant leases.
  void OnUnreadableRecord(ObjectVersion version, TimePoint now);
  /// True while this process may grant primary leases.
  bool IsLeader(TimePoint now) const;
  const LeaderRecord& record() const { return record_; }
  /// When this VM learned of record(), or of its removal.
  TimePoint record_learned_at() const { return learned_; }

  /// Tries to become the leader. No effect while a write is in flight.
  void TryAcquireLeadership();

  /// True when this process is the leader and no lease that an earlier leader
  /// granted can be valid any more.
  bool MayPromote(TimePoint now) const;
  /// `predecessor` is known to grant no lease after `now`. Does not remove it
  /// from active_predecessors(), so that a caller may iterate over these.
  void OnLeaderStopped(const LeaderIdentity& predecessor, TimePoint now);
  /// Earlier leaders that may still grant leases, each with the time from which
  /// no lease that it granted can be valid.
  const std::map<LeaderIdentity, TimePoint>& active_predecessors() const {
    return active_predecessors_;
  }
  /// Another VM has seen this version of the leader object.
  void OnSuperseded(ObjectVersion version);
  ObjectVersion version() const { return version_; }

  /// To be called by the leader only. Writes the leader object, which shows
  /// that this VM is still the leader: the write fails if another VM has
  /// written the object. Its new version is a fencing token for one promotion.
  /// Fails at once while the answer of another write may still come; an overdue
  /// one is not waited for.
  void WriteFencingToken(TokenCallback done);

  /// True when the leader object names this process, even if its leader lease
  /// has expired.
  bool IsRecordOwner() const { return IsOwn(record_); }
  /// When the first and the last failed write since the last successful one
  /// were sent. failing_since() is max() when none has failed.
  TimePoint failing_since() const { return failing_since_; }
  TimePoint last_write_failure_at() const { return last_write_failure_at_; }
  TimePoint renewed_at() const { return renewed_at_; }

  /// Renews the leader lease when that is due.
  void Renew(TimePoint now);

  /// Gives up leadership and records that in the store.
  void Resign(TimePoint now);

 private:
  /// A write whose result is not known yet.
  struct PendingWrite {
    LeaderRecord record;
    TimePoint sent;
    TokenCallback done;
  };

  bool IsOwn(const LeaderRecord& record) const;
  std::vector<LeaderIdentity> PredecessorsAfterTakeOver() const;
  void RemoveExpiredPredecessors(TimePoint now);
  /// This VM learned at `now` that the leader object names this process, and at
  /// `previous_learned` of the record before.
  void BeginTerm(TimePoint previous_learned, TimePoint now);
  /// Writes the record under a number that no earlier write of this process
  /// has used.
  void Write(LeaderRecord record, TokenCallback done);
  /// The write was done and gave the leader object this version.
  void OnWritten(PendingWrite& write, ObjectVersion version);
  /// Completes the write in flight that the known record is the result of: the
  /// answer of the write may be lost.
  void CompleteObservedWrite();
  void RemovePendingWrite(const std::shared_ptr<PendingWrite>& write);
  /// Leaders of an earlier era, or whose record was overwritten by a write of
  /// an earlier era, may still grant leases, and the record does not name them.
  bool MayHaveLostPredecessors() const;
  /// A write was refused because the store holds `object`.
  void OnConflict(const StoredObject& object);

  PlatformStore& store_;
  VmName self_;
  Clock clock_;
  std::uint64_t incarnation_ = 0;
  LeaderRecord record_;
  ObjectVersion version_ = 0;
  std::uint64_t era_ = 0;
  /// When this VM learned of `era_`.
  TimePoint era_since_;
  /// When the last successful write was sent.
  TimePoint renewed_at_;
  TimePoint failing_since_ = TimePoint::max();
  TimePoint last_write_failure_at_;
  TimePoint learned_;
  TimePoint next_renewal_;
  TimePoint promote_from_ = TimePoint::max();
  std::map<LeaderIdentity, TimePoint> active_predecessors_;
  ObjectVersion superseded_by_ = 0;
  /// Oldest first. There is more than one only if an answer is overdue.
  std::vector<std::shared_ptr<PendingWrite>> pending_writes_;
  /// Number of the last write that this process has started.
  std::uint64_t last_write_ = 0;
  bool resigned_ = false;
  std::shared_ptr<LeaderElection*> alive_;
};

}  // namespace carawayhaven

#endif  // CARAWAYHAVEN_CORE_FAILOVER_DUTY_ELECTION_H_
