#ifndef CARAWAYHAVEN_CORE_GROUP_FAILURE_DETECTOR_H_
#define CARAWAYHAVEN_CORE_GROUP_FAILURE_DETECTOR_H_

#include <cstdint>
#include <deque>
#include <string>

#include "carawayhaven/names.h"
#include "carawayhaven/time.h"
#include "core/endpoint_link.h"

namespace carawayhaven {

/// Receives the events of a FailureDetector.
class FailureDetectorHandler {
 public:
  virtual ~FailureDetectorHandler() = default;

  virtual void OnSuspicionChanged(bool suspected, TimePoint now) = 0;

  /// An open connection to the primary did not answer, but a fresh one did.
  virtual void OnConnectionSilent(TimePoint now) = 0;

  /// The primary's address answered with a term higher than the watched one.
  virtual void OnHigherTermSeen(const EndpointAnswer& answer,
                                TimePoint now) = 0;
};

/// Failure detector that probes the primary of a group for one observer. A
/// probe asks the primary to confirm position {0, 0}: the answer proves a round
/// trip to a replica, and replica lag cannot make it fail. A probe without an
/// answer is repeated on a fresh connection, since it may be only the old
/// connection that is lost. Not thread-safe; all calls must come from the
/// thread of the event loop.
class FailureDetector : public EndpointEvents {
 public:
  static constexpr Duration kProbeInterval = std::chrono::milliseconds(250);
  /// Time limit for the answer to a probe, and again for the answer to its
  /// repetition.
  static constexpr Duration kProbeTimeout = std::chrono::milliseconds(250);
  static constexpr std::uint32_t kMissesToSuspect = 3;
  /// After a promotion, kMissesToSuspect is doubled for this time, so that a
  /// primary that is still warming up is not replaced at once.
  static constexpr Duration kPromotionHysteresis = std::chrono::seconds(10);
  /// An event that comes later than this after NextTick() means that the
  /// process was paused. Unanswered probes then do not count against the
  /// primary.
  static constexpr Duration kMaxTickDelay = std::chrono::milliseconds(250);

  /// `link` and `handler` must outlive the detector.
  FailureDetector(EndpointLink& link, FailureDetectorHandler& handler);
  ~FailureDetector() override;
  FailureDetector(const FailureDetector&) = delete;
  FailureDetector& operator=(const FailureDetector&) = delete;

  /// Starts watching the primary of `term` at `address` and discards earlier
  /// results. `after_promotion` starts kPromotionHysteresis.
  void Watch(std::string address, Term term, bool after_promotion,
             TimePoint now);
  void Stop();

  bool watching() const { return watching_; }
  bool suspected() const { return suspected_; }

  void Tick(TimePoint now);
  TimePoint NextTick() const;

  void OnConnectionOpened(ConnectionId connection, TimePoint now) override;
  void OnConnectionClosed(ConnectionId connection, TimePoint now) override;
  void OnAnswer(ConnectionId connection, const EndpointAnswer& answer,
                TimePoint now) override;

 private:
  struct Probe {
    CorrelationId correlation = 0;
    TimePoint sent_at;
    bool repeated = false;
  };

  void DiscardProbesAfterPause(TimePoint now);
  void SendProbe(TimePoint now);
  void Repeat(Probe& probe);
  void SendOn(ConnectionId connection, CorrelationId correlation);
  void CountMiss(TimePoint now);
  void SetSuspected(bool suspected, TimePoint now);
  void CloseConnection(ConnectionId& connection);

  EndpointLink& link_;
  FailureDetectorHandler& handler_;
  bool watching_ = false;
  bool suspected_ = false;
  std::string address_;
  Term term_ = 0;
  TimePoint hysteresis_until_;
  TimePoint next_probe_;
  std::uint32_t misses_ = 0;
  std::deque<Probe> probes_;
  CorrelationId next_correlation_ = 1;
  /// Probes up to these are answered on the connection, or were not sent on it.
  CorrelationId main_answered_ = 0;
  CorrelationId fresh_answered_ = 0;
  ConnectionId main_connection_ = 0;
  bool main_open_ = false;
  /// Connection of the newest repeated probe.
  ConnectionId fresh_connection_ = 0;
};

}  // namespace carawayhaven

#endif  // CARAWAYHAVEN_CORE_GROUP_FAILURE_DETECTOR_H_
