#ifndef CARAWAYHAVEN_CORE_LIMITS_LIMIT_BUCKET_H_
#define CARAWAYHAVEN_CORE_LIMITS_LIMIT_BUCKET_H_

#include <deque>

#include "carawayhaven/time.h"
#include "core/limits/limit_share.h"

namespace carawayhaven {

/// This VM's token bucket of one organisation. One token admits one operation.
///
/// Capacity moves with lent tokens: for kLoanTime after a grant the lender's
/// capacity is reduced by it, and for kLoanTime after the request the
/// borrower's is increased by it. A loan thus counts in at most one bucket, and
/// the buckets and the tokens in transfer never hold more than the sum of the
/// capacities. Not thread-safe; times must not decrease.
class LimitBucket {
 public:
  /// A loan ends this long after the request by the borrower's clock and after
  /// the grant, which is later, by the lender's. Ten times the round trip
  /// between regions, so that loaded VMs still reply in time.
  static constexpr Duration kLoanTime = std::chrono::milliseconds(500);

  /// An empty bucket that is filled from `start` on, also for the time before
  /// its size is first known.
  explicit LimitBucket(TimePoint start) : updated_(start) {}

  /// Changes rate and capacity. Tokens above a lower capacity are lost at once.
  void SetSize(const BucketSize& size, TimePoint now);
  const BucketSize& size() const { return size_; }

  /// Returns the number of tokens; negative after TakeForced.
  double Level(TimePoint now);
  bool TryTake(TimePoint now);
  void TakeForced(TimePoint now);

  /// Removes tokens for a peer, at most those that there are.
  void Lend(double tokens, TimePoint now);
  /// Adds tokens that a peer granted. `requested` is when they were requested;
  /// they are ignored if that is more than kLoanTime ago.
  void Borrow(double tokens, TimePoint requested, TimePoint now);

  /// Counts an operation that asked for a token.
  void RecordDemand(TimePoint now);
  /// Returns the recent number of operations per second.
  double Demand(TimePoint now) const;

 private:
  /// A change of the capacity that is reverted when it ends.
  struct Loan {
    TimePoint ends;
    double capacity_change = 0;
  };

  void Update(TimePoint now);
  void FillUntil(TimePoint time);
  void AddLoan(Loan loan);

  BucketSize size_;
  bool has_size_ = false;
  double level_ = 0;
  /// Sum of the loans' changes.
  double loaned_capacity_ = 0;
  TimePoint updated_;
  /// Ordered by end.
  std::deque<Loan> loans_;
  double recent_operations_ = 0;
  TimePoint demand_updated_;
};

}  // namespace carawayhaven

#endif  // CARAWAYHAVEN_CORE_LIMITS_LIMIT_BUCKET_H_
