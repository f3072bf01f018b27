#ifndef CARAWAYHAVEN_CORE_GROUP_FAILURE_DETECTOR_H_
#define CARAWAYHAVEN_CORE_GROUP_FAILURE_DETECTOR_H_

#include <cstdint>
#include <deque>
#include <string>

#include "carawayhaven/names.h"
#include "carawayhaven/time.h"
#include "core/endpoint_link.h"

namespace carawayhaven {

/// Is told what a FailureDetector learns.
class FailureDetectorHandler {
 public:
  virtual ~FailureDetectorHandler() = default;

  virtual void OnSuspicionChanged(bool suspected, TimePoint now) = 0;

  /// An open connection to the primary did not answer, but a fresh one does.
  virtual void OnConnectionSilent(TimePoint now) = 0;

  /// The primary's address answered with a term higher than the watched one.
  virtual void OnHigherTermSeen(const EndpointAnswer& answer,
                                TimePoint now) = 0;
};

/// Probes the primary of a group for one observer. A probe asks the primary to
/// confirm position {0, 0}: it proves a round trip to a replica, and replica
/// lag cannot fail it. A probe without an answer is repeated on a fresh
/// connection, since only the old connection may be lost. Not thread-safe; one
/// loop, one thread.
class FailureDetector : public EndpointEvents {
 public:
  static constexpr Duration kProbeInterval = std::chrono::milliseconds(250);
  /// Time for the answer to a probe, and again for that to its repeat.
  static constexpr Duration kProbeTimeout = std::chrono::milliseconds(250);
  static constexpr std::uint32_t kMissesToSuspect = 3;
  /// After a promotion the threshold is doubled for this time, so that a
  /// primary that is still warming up is not replaced at once.
  static constexpr Duration kPromotionHysteresis = std::chrono::seconds(10);
  /// A Tick later than this means that the process was paused: probes without
  /// an answer then say nothing about the primary.
  static constexpr Duration kMaxTickDelay = std::chrono::milliseconds(250);

  /// `link` and `handler` must outlive the detector.
  FailureDetector(EndpointLink& link, FailureDetectorHandler& handler);
  ~FailureDetector() override;
  FailureDetector(const FailureDetector&) = delete;
  FailureDetector& operator=(const FailureDetector&) = delete;

  /// Watches that primary from now on and forgets what was seen before.
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

  void DiscardWhenPaused(TimePoint now);
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
  ConnectionId main_ = 0;
  bool main_open_ = false;
  /// Connection of the newest repeat.
  ConnectionId fresh_ = 0;
};

}  // namespace carawayhaven

#endif  // CARAWAYHAVEN_CORE_GROUP_FAILURE_DETECTOR_H_
