#include "core/group/failure_detector.h"

#include <algorithm>
#include <utility>

#include "core/endpoint_answer.h"
#include "core/endpoint_command.h"

namespace carawayhaven {

FailureDetector::FailureDetector(EndpointLink& link,
                                 FailureDetectorHandler& handler)
    : link_(link), handler_(handler) {}

FailureDetector::~FailureDetector() { Stop(); }

void FailureDetector::Watch(std::string address, Term term,
                            bool after_promotion, TimePoint now) {
  Stop();
  watching_ = true;
  address_ = std::move(address);
  term_ = term;
  hysteresis_until_ = after_promotion ? now + kPromotionHysteresis : now;
  next_probe_ = now;
  main_answered_ = next_correlation_ - 1;
}

void FailureDetector::Stop() {
  CloseConnection(main_connection_);
  CloseConnection(fresh_connection_);
  main_open_ = false;
  watching_ = false;
  suspected_ = false;
  misses_ = 0;
  probes_.clear();
}

void FailureDetector::Tick(TimePoint now) {
  if (!watching_) return;
  DiscardProbesAfterPause(now);
  while (!probes_.empty() &&
         probes_.front().sent_at + 2 * kProbeTimeout <= now) {
    probes_.pop_front();
    CloseConnection(fresh_connection_);
    CountMiss(now);
    if (!watching_) return;
  }
  for (Probe& probe : probes_) {
    if (!probe.repeated && probe.sent_at + kProbeTimeout <= now) Repeat(probe);
  }
  if (next_probe_ <= now) SendProbe(now);
}

TimePoint FailureDetector::NextTick() const {
  if (!watching_) return TimePoint::max();
  TimePoint next = next_probe_;
  for (const Probe& probe : probes_) {
    next = std::min(next, probe.sent_at + (probe.repeated ? 2 * kProbeTimeout
                                                          : kProbeTimeout));
  }
  return next;
}

void FailureDetector::OnConnectionOpened(ConnectionId connection,
                                         TimePoint now) {
  DiscardProbesAfterPause(now);
  if (connection == main_connection_) main_open_ = true;
  if (connection != main_connection_ && connection != fresh_connection_) return;
  if (probes_.empty()) return;
  if (connection == main_connection_) {
    SendOn(main_connection_, probes_.back().correlation);
    return;
  }
  const auto newest =
      std::find_if(probes_.rbegin(), probes_.rend(),
                   [](const Probe& probe) { return probe.repeated; });
  if (newest != probes_.rend()) SendOn(fresh_connection_, newest->correlation);
}

void FailureDetector::OnConnectionClosed(ConnectionId connection,
                                         TimePoint /*now*/) {
  if (connection == main_connection_) {
    main_connection_ = 0;
    main_open_ = false;
  }
  if (connection == fresh_connection_) fresh_connection_ = 0;
}

void FailureDetector::OnAnswer(ConnectionId connection,
                               const EndpointAnswer& answer, TimePoint now) {
  if (connection != main_connection_ && connection != fresh_connection_) return;
  CorrelationId& answered =
      connection == main_connection_ ? main_answered_ : fresh_answered_;
  if (answer.correlation <= answered ||
      answer.correlation >= next_correlation_) {
    return;
  }
  DiscardProbesAfterPause(now);
  if (answer.term > term_) {
    handler_.OnHigherTermSeen(answer, now);
    return;
  }
  // kNotPrimary and other errors do not prove that the primary works: the probe
  // stays unanswered and counts as a miss.
  if (answer.status != EndpointStatus::kOk) return;
  answered = answer.correlation;
  while (!probes_.empty() &&
         probes_.front().correlation <= answer.correlation) {
    probes_.pop_front();
  }
  if (connection == fresh_connection_) {
    const bool main_is_silent = main_connection_ != 0 && main_open_;
    CloseConnection(main_connection_);
    main_connection_ = std::exchange(fresh_connection_, 0);
    main_answered_ = fresh_answered_;
    main_open_ = true;
    if (main_is_silent) handler_.OnConnectionSilent(now);
  }
  misses_ = 0;
  SetSuspected(false, now);
}

void FailureDetector::DiscardProbesAfterPause(TimePoint now) {
  if (!watching_ || now <= NextTick() + kMaxTickDelay) return;
  probes_.clear();
  misses_ = 0;
  next_probe_ = now;
  SetSuspected(false, now);
}

void FailureDetector::SendProbe(TimePoint now) {
  next_probe_ = now + kProbeInterval;
  probes_.push_back({next_correlation_++, now, false});
  if (main_connection_ == 0) {
    main_connection_ = link_.Open(address_, *this);
  } else if (main_open_) {
    SendOn(main_connection_, probes_.back().correlation);
  }
}

void FailureDetector::Repeat(Probe& probe) {
  probe.repeated = true;
  CloseConnection(fresh_connection_);
  fresh_connection_ = link_.Open(address_, *this);
  fresh_answered_ = main_answered_;
}

void FailureDetector::SendOn(ConnectionId connection,
                             CorrelationId correlation) {
  EndpointCommand command;
  command.operation = EndpointOperation::kConfirm;
  command.correlation = correlation;
  command.term = term_;
  // A failed send is followed by OnConnectionClosed. The probe is then repeated
  // like any other unanswered probe.
  link_.Send(connection, command);
}

void FailureDetector::CountMiss(TimePoint now) {
  ++misses_;
  const std::uint32_t threshold =
      now < hysteresis_until_ ? 2 * kMissesToSuspect : kMissesToSuspect;
  if (misses_ >= threshold) SetSuspected(true, now);
}

void FailureDetector::SetSuspected(bool suspected, TimePoint now) {
  if (std::exchange(suspected_, suspected) != suspected) {
    handler_.OnSuspicionChanged(suspected, now);
  }
}

void FailureDetector::CloseConnection(ConnectionId& connection) {
  if (connection != 0) link_.Close(std::exchange(connection, 0));
}

}  // namespace carawayhaven
