#include "core/queue/confirmation_tracker.h"

#include <algorithm>

#include "core/endpoint_answer.h"
#include "core/endpoint_command.h"
#include "core/mutation.h"
#include "core/queue/answer_outcome.h"
#include "core/queue/completions.h"

namespace carawayhaven {

ConfirmationTracker::ConfirmationTracker(std::string address,
                                         EndpointLink& link,
                                         EndpointEvents& events,
                                         CorrelationId& next_correlation,
                                         Completions& completions)
    : address_(std::move(address)),
      link_(link),
      events_(events),
      next_correlation_(next_correlation),
      completions_(completions) {}

ConfirmationTracker::~ConfirmationTracker() { Disconnect(); }

void ConfirmationTracker::Add(Work work, Outcome outcome, Term term,
                              TimePoint now) {
  const std::uint64_t sequence = next_sequence_++;
  if (IsWrite(work.request)) ++writes_;
  deadlines_.emplace(work.request.deadline, sequence);
  const auto entry =
      entries_
          .emplace(sequence, Entry{std::move(work), std::move(outcome), term,
                                   confirm_round_ + 1})
          .first;
  if (term < term_ && !MutationEnabled(Mutation::kReleaseByOtherTerm)) {
    EndUnconfirmed(entry, Reason::kStaleTerm);
    return;
  }
  SendConfirm(now);
}

void ConfirmationTracker::SetTerm(Term term) {
  if (term <= term_) return;
  term_ = term;
  // A replaced primary may never answer a confirm of its own term, and the next
  // confirm is sent only when none is outstanding.
  if (confirm_correlation_ != 0 && confirm_term_ < term &&
      !MutationEnabled(Mutation::kAwaitConfirmOfOldTerm)) {
    confirm_correlation_ = 0;
  }
  for (auto entry = entries_.begin(); entry != entries_.end();) {
    const auto current = entry++;
    if (current->second.term < term_ &&
        !MutationEnabled(Mutation::kReleaseByOtherTerm)) {
      EndUnconfirmed(current, Reason::kStaleTerm);
    }
  }
}

void ConfirmationTracker::OnOpened(TimePoint now) {
  breaker_.OnSuccess();
  is_open_ = true;
  connection_timer_ = now + kHeartbeatInterval;
  SendConfirm(now);
}

void ConfirmationTracker::OnClosed(TimePoint now) {
  if (!is_open_) breaker_.OnFailure(now);
  Reset();
  SendConfirm(now);
}

bool ConfirmationTracker::OnAnswer(const EndpointAnswer& answer,
                                   TimePoint now) {
  if (answer.correlation == 0) return false;
  if (answer.correlation == probe_correlation_) {
    probe_correlation_ = 0;
    connection_timer_ =
        now + (confirm_correlation_ != 0 ? kProbeDelay : kHeartbeatInterval);
    return true;
  }
  if (answer.correlation != confirm_correlation_) return false;
  confirm_correlation_ = 0;
  if (probe_correlation_ == 0) connection_timer_ = now + kHeartbeatInterval;
  switch (answer.status) {
    case EndpointStatus::kOk:
      ReleaseConfirmed();
      break;
    case EndpointStatus::kStaleTerm:
    case EndpointStatus::kNotPrimary:
      while (!entries_.empty()) {
        EndUnconfirmed(entries_.begin(), Reason::kStaleTerm);
      }
      break;
    default:
      retry_at_ = now + kRetryDelay;
  }
  SendConfirm(now);
  return true;
}

void ConfirmationTracker::Tick(TimePoint now) {
  while (!deadlines_.empty() && deadlines_.begin()->first <= now) {
    EndUnconfirmed(entries_.find(deadlines_.begin()->second),
                   Reason::kDeadline);
  }
  if (connection_timer_ <= now) {
    if (!is_open_ || probe_correlation_ != 0) {
      if (!is_open_) breaker_.OnFailure(now);
      Disconnect();
    } else {
      EndpointCommand command;
      command.operation = EndpointOperation::kStatus;
      command.correlation = next_correlation_++;
      command.term = term_;
      if (link_.Send(connection_, command)) {
        probe_correlation_ = command.correlation;
        connection_timer_ = now + kProbeTimeout;
      } else {
        Disconnect();
      }
    }
  }
  SendConfirm(now);
}

TimePoint ConfirmationTracker::NextTick() const {
  TimePoint next = connection_timer_;
  if (!deadlines_.empty()) next = std::min(next, deadlines_.begin()->first);
  if (!entries_.empty() && confirm_correlation_ == 0) {
    if (is_open_) next = std::min(next, retry_at_);
    if (connection_ == 0) {
      const TimePoint open_at =
          breaker_.is_open() ? breaker_.RetryAt() : retry_at_;
      next = std::min(next, std::max(open_at, retry_at_));
    }
  }
  return next;
}

void ConfirmationTracker::SendConfirm(TimePoint now) {
  if (entries_.empty() || confirm_correlation_ != 0 || now < retry_at_) return;
  if (connection_ == 0) {
    if (!breaker_.TryAcquire(now)) return;
    connection_ = link_.Open(address_, events_);
    connection_timer_ = now + kOpenTimeout;
    return;
  }
  if (!is_open_) return;
  EndpointCommand command;
  command.operation = EndpointOperation::kConfirm;
  command.correlation = next_correlation_++;
  command.term = std::max(term_, entries_.begin()->second.term);
  for (const auto& [sequence, entry] : entries_) {
    command.min_position =
        std::max(command.min_position, entry.outcome.position);
  }
  if (!link_.Send(connection_, command)) {
    Disconnect();
    retry_at_ = now + kRetryDelay;
    return;
  }
  confirm_correlation_ = command.correlation;
  confirm_term_ = command.term;
  ++confirm_round_;
  if (probe_correlation_ == 0) connection_timer_ = now + kProbeDelay;
}

void ConfirmationTracker::Disconnect() {
  if (connection_ != 0) link_.Close(connection_);
  Reset();
}

void ConfirmationTracker::Reset() {
  connection_ = 0;
  is_open_ = false;
  confirm_correlation_ = 0;
  probe_correlation_ = 0;
  connection_timer_ = TimePoint::max();
}

void ConfirmationTracker::ReleaseConfirmed() {
  auto entry = entries_.begin();
  while (entry != entries_.end() &&
         (entry->second.first_round <= confirm_round_ ||
          MutationEnabled(Mutation::kReleaseByOlderRound))) {
    // A confirmation under another term does not cover this entry: the endpoint
    // may have discarded it while it was not the primary.
    if (entry->second.term != confirm_term_ &&
        !MutationEnabled(Mutation::kReleaseByOtherTerm)) {
      ++entry;
      continue;
    }
    completions_.Add(entry->second.work, std::move(entry->second.outcome));
    ++confirmed_;
    entry = Erase(entry);
  }
}

void ConfirmationTracker::EndUnconfirmed(Entries::iterator entry,
                                         Reason reason) {
  Outcome outcome;
  outcome.verdict = Verdict::kMayHaveRun;
  outcome.reason = reason;
  outcome.served_by = entry->second.outcome.served_by;
  completions_.Add(entry->second.work, std::move(outcome));
  ++unconfirmed_;
  Erase(entry);
}

ConfirmationTracker::Entries::iterator ConfirmationTracker::Erase(
    Entries::iterator entry) {
  if (IsWrite(entry->second.work.request)) --writes_;
  deadlines_.erase({entry->second.work.request.deadline, entry->first});
  return entries_.erase(entry);
}

}  // namespace carawayhaven
