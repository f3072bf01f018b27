#ifndef CARAWAYHAVEN_CORE_QUEUE_CONFIRMATION_TRACKER_H_
#define CARAWAYHAVEN_CORE_QUEUE_CONFIRMATION_TRACKER_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <utility>

#include "carawayhaven/names.h"
#include "carawayhaven/time.h"
#include "core/endpoint_link.h"
#include "core/limits/circuit_breaker.h"
#include "core/queue/work.h"

namespace carawayhaven {

class Completions;
struct EndpointAnswer;

/// Holds outcomes back until a replica has confirmed their log position. At
/// most one kConfirm is outstanding at a time, on a connection of its own. It
/// releases all work that ran before it was sent. Not thread-safe.
class ConfirmationTracker {
 public:
  // A confirmation takes one round trip between data centres (3 ms); the
  // connection is probed when the answer is much later than that.
  static constexpr Duration kProbeDelay = std::chrono::milliseconds(250);
  static constexpr Duration kProbeTimeout = std::chrono::milliseconds(250);
  static constexpr Duration kHeartbeatInterval = std::chrono::seconds(2);
  static constexpr Duration kRetryDelay = std::chrono::milliseconds(20);
  static constexpr Duration kOpenTimeout = std::chrono::seconds(1);

  /// All references must outlive the tracker.
  ConfirmationTracker(std::string address, EndpointLink& link,
                      EndpointEvents& events, CorrelationId& next_correlation,
                      Completions& completions);
  ~ConfirmationTracker();
  ConfirmationTracker(const ConfirmationTracker&) = delete;
  ConfirmationTracker& operator=(const ConfirmationTracker&) = delete;

  /// Holds the outcome of work that ran under `term` until it is confirmed.
  void Add(Work work, Outcome outcome, Term term, TimePoint now);

  /// Sets a higher term; a lower one is ignored. Work that ran under an older
  /// term ends as kMayHaveRun, since the endpoint may have discarded its effect
  /// during the change of term.
  void SetTerm(Term term);

  bool Owns(ConnectionId id) const { return id != 0 && id == connection_; }
  void OnOpened(TimePoint now);
  void OnClosed(TimePoint now);

  /// Returns false when the answer matches no outstanding command of the
  /// tracker.
  bool OnAnswer(const EndpointAnswer& answer, TimePoint now);

  void Tick(TimePoint now);
  TimePoint NextTick() const;

  std::size_t size() const { return entries_.size(); }
  bool has_writes() const { return writes_ > 0; }
  std::size_t connections() const { return connection_ == 0 ? 0 : 1; }
  std::uint64_t confirmed() const { return confirmed_; }
  std::uint64_t unconfirmed() const { return unconfirmed_; }

 private:
  struct Entry {
    Work work;
    Outcome outcome;
    Term term = 0;
    /// First confirm round that may release the entry: the first one that
    /// starts after the work ran.
    std::uint64_t first_round = 0;
  };
  using Entries = std::map<std::uint64_t, Entry>;

  void SendConfirm(TimePoint now);
  void Disconnect();
  void Reset();
  void ReleaseConfirmed();
  void EndUnconfirmed(Entries::iterator entry, Reason reason);
  Entries::iterator Erase(Entries::iterator entry);

  std::string address_;
  EndpointLink& link_;
  EndpointEvents& events_;
  CorrelationId& next_correlation_;
  Completions& completions_;
  CircuitBreaker breaker_;
  Term term_ = 0;
  Entries entries_;
  std::set<std::pair<TimePoint, std::uint64_t>> deadlines_;
  std::uint64_t next_sequence_ = 1;
  std::uint64_t confirm_round_ = 0;
  std::size_t writes_ = 0;
  std::uint64_t confirmed_ = 0;
  std::uint64_t unconfirmed_ = 0;

  ConnectionId connection_ = 0;
  bool is_open_ = false;
  CorrelationId confirm_correlation_ = 0;
  Term confirm_term_ = 0;
  CorrelationId probe_correlation_ = 0;
  /// End of the time for opening, start of the next probe, or end of the time
  /// for a probe.
  TimePoint connection_timer_ = TimePoint::max();
  /// Earliest time at which the next confirm is sent.
  TimePoint retry_at_{};
};

}  // namespace carawayhaven

#endif  // CARAWAYHAVEN_CORE_QUEUE_CONFIRMATION_TRACKER_H_
