#ifndef CARAWAYHAVEN_CORE_FAILOVER_FAILOVER_OBSERVER_H_
#define CARAWAYHAVEN_CORE_FAILOVER_FAILOVER_OBSERVER_H_

#include <optional>
#include <string_view>

#include "carawayhaven/log_position.h"
#include "carawayhaven/names.h"
#include "carawayhaven/time.h"
#include "core/session/answer_observer.h"

namespace carawayhaven {

/// What a promotion waits for that is held back.
struct PromotionHold {
  ServiceName service;
  /// The endpoint with the longest known log, or empty if none that may be
  /// promoted has answered.
  EndpointName candidate;
  /// A position that its log has reached.
  LogPosition reached;
  /// A log that has not reached this position is not promoted.
  LogPosition base;
  /// A log that has reached this position is complete; nothing if not known.
  std::optional<LogPosition> log_end;
  /// A replica that may hold commits that the candidate lacks, or empty.
  EndpointName unmatched;

  friend bool operator==(const PromotionHold&, const PromotionHold&) = default;
};

/// Receives the events and state changes of the failover logic of this VM.
class FailoverObserver : public virtual AnswerObserver {
 public:
  /// The known leader changed. `leader` is empty when there is none; `self`
  /// tells whether it is this VM.
  virtual void OnLeaderChanged(const VmName& leader, bool self) = 0;

  /// The supervision of a service's primary changed its state. `why` names the
  /// input that caused the change and `age` is the age of that input.
  virtual void OnPrimaryStateChanged(const ServiceName& service,
                                     std::string_view state,
                                     const EndpointName& endpoint, Term term,
                                     std::string_view why, Duration age) = 0;

  /// What a promotion waits for is known, or has changed.
  virtual void OnPromotionHeld(const PromotionHold& hold) = 0;

  /// The store has stopped or started answering requests for the objects below
  /// `prefix`.
  virtual void OnStoreReachable(std::string_view prefix, bool reachable) = 0;

  /// One of the proxy's own objects could not be parsed; it is ignored.
  virtual void OnMalformedObject(std::string_view path,
                                 std::string_view error) = 0;
};

}  // namespace carawayhaven

#endif  // CARAWAYHAVEN_CORE_FAILOVER_FAILOVER_OBSERVER_H_
