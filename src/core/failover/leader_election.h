#ifndef CARAWAYHAVEN_CORE_FAILOVER_LEADER_ELECTION_H_
#define CARAWAYHAVEN_CORE_FAILOVER_LEADER_ELECTION_H_

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <vector>

#include "carawayhaven/time.h"
#include "core/failover/failover_records.h"
#include "core/platform_store.h"

namespace carawayhaven {

/// Decides which VM grants rights to primaries and promotes endpoints: the one
/// that the duty object names. A VM becomes the holder by a conditional write,
/// and stays it for kLeaderLease after its last write. A successor waits until
/// the authority of the last write that it saw of its predecessor has ended
/// before it promotes, unless it knows that the predecessor has stopped. Not
/// thread-safe.
class LeaderElection {
 public:
  using Clock = std::function<TimePoint()>;
  /// Version of the duty object after a write, or nothing when it failed.
  using TokenCallback = std::function<void(std::optional<ObjectVersion>)>;

  // Outages of the store do not end the holder's duty as long as they are
  // shorter than this, less kRenewInterval.
  static constexpr Duration kLeaderLease = std::chrono::seconds(9);
  static constexpr Duration kRenewInterval = std::chrono::seconds(2);
  static constexpr Duration kRenewRetryInterval =
      std::chrono::milliseconds(300);
  // Validity of a granted right. A primary is replaced no sooner than this
  // after its last right was granted.
  static constexpr Duration kPrimaryLeaseDuration =
      std::chrono::milliseconds(1000);
  // Difference in speed of two clocks over a right's time, and then some.
  static constexpr Duration kClockDriftMargin = std::chrono::milliseconds(50);

  /// `store` must outlive the election.
  LeaderElection(PlatformStore& store, VmName self, Clock clock);

  /// Sets this process's number; before, it cannot hold the duty.
  void SetIncarnation(std::uint64_t incarnation) { incarnation_ = incarnation; }

  /// Takes a version of the duty object; an older one than the known changes
  /// nothing.
  void OnRecord(const LeaderRecord& record, ObjectVersion version,
                TimePoint now);
  void OnRecordRemoved();
  /// True while this process may grant rights.
  bool IsLeader(TimePoint now) const;
  const LeaderRecord& record() const { return record_; }

  /// Tries to become the holder. No effect while a write is under way.
  void TryAcquireLeadership();

  /// True when no right that an earlier holder granted can be valid any more.
  bool MayPromote(TimePoint now) const;
  /// The process is known to grant nothing after `now`. Removes no tenure.
  void OnLeaderStopped(const LeaderIdentity& tenure, TimePoint now);
  /// Earlier holders that may still grant rights.
  const std::map<LeaderIdentity, TimePoint>& active_predecessors() const {
    return active_predecessors_;
  }
  /// Another VM has seen that version of the duty object.
  void OnSuperseded(ObjectVersion version);
  ObjectVersion version() const { return version_; }

  /// Writes the duty object, which shows that this VM still is the holder. Its
  /// new version is a fencing token for one promotion.
  void WriteFencingToken(TokenCallback done);

  /// True when the duty object names this process, also when its authority has
  /// lapsed.
  bool IsRecordOwner() const { return IsOwn(record_); }
  /// When the first and the last of the writes were sent that failed since the
  /// last successful one; max() when none has.
  TimePoint failing_since() const { return failing_since_; }
  TimePoint last_write_failure_at() const { return last_write_failure_at_; }
  TimePoint renewed_at() const { return confirmed_; }

  /// Extends the holder's authority when it is time to.
  void Renew(TimePoint now);

  /// Stops to hold the duty and tells the others.
  void Resign(TimePoint now);

 private:
  bool IsOwn(const LeaderRecord& record) const;
  std::vector<LeaderIdentity> UnsettledAfterTakeOver() const;
  void Settle(TimePoint now);
  void Write(const LeaderRecord& record, TokenCallback done);
  /// A write was refused because `object` stands.
  void OnConflict(const StoredObject& object);

  PlatformStore& store_;
  VmName self_;
  Clock clock_;
  std::uint64_t incarnation_ = 0;
  LeaderRecord record_;
  ObjectVersion version_ = 0;
  /// When the last successful write was sent.
  TimePoint confirmed_;
  TimePoint failing_since_ = TimePoint::max();
  TimePoint last_write_failure_at_;
  /// When this VM learned of `record_`.
  TimePoint learned_;
  TimePoint next_renewal_;
  TimePoint promote_from_ = TimePoint::max();
  /// With the time from which each grants nothing any more.
  std::map<LeaderIdentity, TimePoint> active_predecessors_;
  ObjectVersion superseded_by_ = 0;
  bool writing_ = false;
  bool resigned_ = false;
  std::shared_ptr<LeaderElection*> alive_;
};

}  // namespace carawayhaven

#endif  // CARAWAYHAVEN_CORE_FAILOVER_LEADER_ELECTION_H_
