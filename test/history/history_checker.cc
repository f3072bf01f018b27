#include "history/history_checker.h"

#include <algorithm>
#include <sstream>
#include <tuple>

namespace carawayhaven {
namespace {

bool IsTransactionStep(const Request& request) {
  return request.kind == RequestKind::kStatement &&
         !request.transaction.empty();
}

bool IsRead(const Request& request) {
  return request.kind == RequestKind::kStatement &&
         request.access == AccessMode::kRead;
}

bool HasVerdict(const RecordedRequest& recorded, Verdict verdict) {
  return recorded.answer && recorded.answer->verdict == verdict;
}

}  // namespace

HistoryChecker::HistoryChecker(const std::vector<RecordedRequest>& history,
                               const Log& log)
    : history_(history), log_(log) {}

std::vector<std::string> HistoryChecker::Check() {
  IndexLog();
  for (const RecordedRequest& recorded : history_) {
    if (!recorded.value.empty()) key_of_value_[recorded.value] = recorded.key;
  }
  for (std::size_t i = 0; i < history_.size(); ++i) RecordAcknowledged(i);
  for (std::size_t i = 0; i < history_.size(); ++i) {
    const RecordedRequest& recorded = history_[i];
    if (recorded.answer_count > 1) Report(recorded, "answered twice");
    CheckAnswerMatches(recorded);
    if (HasVerdict(recorded, Verdict::kRan)) {
      if (IsRead(recorded.request)) {
        CheckRead(i);
      } else {
        CheckAcknowledgedWrite(recorded);
      }
    }
  }
  CheckNotRun();
  CheckTransactions();
  return violations_;
}

void HistoryChecker::IndexLog() {
  for (std::size_t i = 0; i < log_.size(); ++i) {
    const FakeEndpoint::Entry& entry = log_[i];
    if (entry.request.empty() || entry.cancelled) continue;
    if (!effects_.emplace(entry.request, i).second) {
      violations_.push_back("request " + entry.request + " ran twice");
    }
    for (const auto& [key, value] : entry.writes) {
      if (!values_.emplace(value, i).second) {
        violations_.push_back("write " + value + " was doubled");
      }
    }
  }
}

// Requests of one session never overlap: an answer that was delivered to the
// session precedes the session's next request. Their order in the history is
// therefore enough to find the session's own earlier writes.
void HistoryChecker::RecordAcknowledged(std::size_t request_index) {
  const RecordedRequest& recorded = history_[request_index];
  if (!HasVerdict(recorded, Verdict::kRan)) return;
  const Request& request = recorded.request;
  const bool confirms_write =
      request.kind == RequestKind::kResolve ||
      request.kind == RequestKind::kCommit ||
      (request.kind == RequestKind::kStatement &&
       request.access == AccessMode::kWrite && request.transaction.empty());
  if (!confirms_write) return;
  const auto effect = request.id.value.empty()
                          ? values_.find(recorded.value)
                          : effects_.find(request.id.value);
  if (effect == effects_.end() || effect == values_.end()) return;
  for (const auto& [key, value] : log_[effect->second].writes) {
    acknowledged_[key].push_back({request_index, value});
  }
}

// The simulated endpoint repeats the key of a read, or the request id, in its
// answer.
void HistoryChecker::CheckAnswerMatches(const RecordedRequest& recorded) {
  if (!HasVerdict(recorded, Verdict::kRan)) return;
  const Request& request = recorded.request;
  const std::string& payload = recorded.answer->payload;
  if (IsRead(request)) {
    if (payload.substr(0, payload.find(' ')) != recorded.key) {
      Report(recorded, "got the answer of another request: " + payload);
    }
  } else if (!request.id.value.empty()) {
    if (payload != "done " + request.id.value) {
      Report(recorded, "got the answer of another request: " + payload);
    }
  } else if (IsTransactionStep(request) && payload != "in transaction") {
    Report(recorded, "got the answer of another request: " + payload);
  }
}

void HistoryChecker::CheckAcknowledgedWrite(const RecordedRequest& recorded) {
  const Request& request = recorded.request;
  if (request.kind == RequestKind::kBegin ||
      request.kind == RequestKind::kRollback || IsTransactionStep(request)) {
    return;
  }
  const bool by_value = request.id.value.empty();
  const auto& log_indexes = by_value ? values_ : effects_;
  const auto found =
      log_indexes.find(by_value ? recorded.value : request.id.value);
  if (found == log_indexes.end()) {
    Report(recorded, "acknowledged write was lost");
    return;
  }
  const LogPosition effect{log_[found->second].term, found->second + 1};
  if (effect > recorded.answer->position) {
    Report(recorded, "acknowledged with a position before its effect");
  }
}

void HistoryChecker::CheckNotRun() {
  // One attempt may be submitted several times. Its value must be absent only
  // if every submission ended as kNotRun; any other submission may have written
  // it.
  std::map<std::string, bool> only_not_run;
  for (const RecordedRequest& recorded : history_) {
    if (recorded.value.empty()) continue;
    const bool not_run = HasVerdict(recorded, Verdict::kNotRun);
    const auto [entry, inserted] =
        only_not_run.emplace(recorded.value, not_run);
    if (!inserted) entry->second = entry->second && not_run;
  }
  for (const auto& [value, not_run] : only_not_run) {
    if (not_run && values_.contains(value)) {
      violations_.push_back("write " + value + " is \"not run\" but ran");
    }
  }
  std::map<std::string, std::uint32_t> cancelled;
  for (const RecordedRequest& recorded : history_) {
    const Request& request = recorded.request;
    if (!HasVerdict(recorded, Verdict::kNotRun)) continue;
    if (request.kind == RequestKind::kCommit &&
        effects_.contains(request.id.value)) {
      Report(recorded, "commit is \"not run\" but ran");
    }
    if (request.kind != RequestKind::kResolve) continue;
    std::uint32_t& attempt = cancelled[request.id.value];
    attempt = std::max(attempt, request.id.attempt);
    if (request.id.value.front() == 'c' &&
        effects_.contains(request.id.value)) {
      Report(recorded, "commit was resolved to \"not run\" but ran");
    }
  }
  for (const RecordedRequest& recorded : history_) {
    const auto limit = cancelled.find(recorded.request.id.value);
    if (limit != cancelled.end() && !recorded.value.empty() &&
        recorded.request.id.attempt <= limit->second &&
        values_.contains(recorded.value)) {
      Report(recorded, "was resolved to \"not run\" but ran");
    }
  }
}

void HistoryChecker::CheckTransactions() {
  struct Steps {
    std::set<std::string> ran;
    std::set<std::string> possible;
    std::string commit;
  };
  std::map<TransactionId, Steps> transactions;
  for (const RecordedRequest& recorded : history_) {
    const Request& request = recorded.request;
    if (request.transaction.empty()) continue;
    Steps& steps = transactions[request.transaction];
    if (request.kind == RequestKind::kCommit) steps.commit = request.id.value;
    if (recorded.value.empty()) continue;
    if (HasVerdict(recorded, Verdict::kNotRun)) continue;
    steps.possible.insert(recorded.value);
    if (HasVerdict(recorded, Verdict::kRan) && recorded.delivered) {
      steps.ran.insert(recorded.value);
    }
  }
  for (const auto& [id, steps] : transactions) {
    const auto effect = effects_.find(steps.commit);
    std::set<std::string> committed;
    if (effect != effects_.end()) {
      for (const auto& [key, value] : log_[effect->second].writes) {
        committed.insert(value);
      }
      if (!std::includes(committed.begin(), committed.end(), steps.ran.begin(),
                         steps.ran.end()) ||
          !std::includes(steps.possible.begin(), steps.possible.end(),
                         committed.begin(), committed.end())) {
        violations_.push_back("transaction " + id + " is not atomic");
      }
    }
    for (const std::string& value : steps.possible) {
      if (values_.contains(value) && !committed.contains(value)) {
        violations_.push_back("write " + value);
        violations_.back() += " of transaction " + id;
        violations_.back() += " ran outside of its commit";
      }
    }
  }
}

void HistoryChecker::CheckRead(std::size_t request_index) {
  const RecordedRequest& recorded = history_[request_index];
  const Request& request = recorded.request;
  std::set<std::string> seen;
  std::istringstream text(recorded.answer->payload);
  std::string word;
  text >> word;
  while (text >> word) {
    if (!seen.insert(word).second) Report(recorded, "read " + word + " twice");
    const auto key = key_of_value_.find(word);
    if (key == key_of_value_.end() || key->second != recorded.key) {
      Report(recorded, "read a value of another key: " + word);
    }
    // Reads without a staleness bound are answered only after a confirmation,
    // so every value that they return must be durable.
    if (!request.max_age && request.transaction.empty() &&
        !values_.contains(word)) {
      Report(recorded, "read a value that was lost: " + word);
    }
  }
  if (!request.transaction.empty()) return;
  const TimePoint fresh_as_of =
      recorded.submitted_at - request.max_age.value_or(Duration(0));
  for (const AcknowledgedWrite& write : acknowledged_[recorded.key]) {
    if (seen.contains(write.value)) continue;
    const RecordedRequest& writer = history_[write.request_index];
    if (writer.session == recorded.session && writer.delivered &&
        write.request_index < request_index) {
      Report(recorded, "does not see the session's own " + write.value);
    } else if (writer.answered_at <= fresh_as_of) {
      std::ostringstream text;
      text << "is too old for " << (recorded.submitted_at - fresh_as_of).count()
           << " us, misses " << write.value << " of "
           << writer.answered_at.time_since_epoch().count() << " us"
           << (recorded.answer->from_replica ? ", replica" : ", primary")
           << " in term " << recorded.answer->position.term << ", written in "
           << writer.answer->position.term;
      Report(recorded, text.str());
    }
  }
}

void HistoryChecker::Report(const RecordedRequest& recorded,
                            const std::string& problem) {
  std::ostringstream line;
  line << "session " << recorded.session << " at "
       << recorded.submitted_at.time_since_epoch().count() << " us, "
       << (recorded.value.empty() ? recorded.key : recorded.value) << " id "
       << recorded.request.id.value << " attempt "
       << recorded.request.id.attempt;
  if (recorded.answer) {
    line << ", " << VerdictName(recorded.answer->verdict) << "/"
         << ReasonName(recorded.answer->reason) << " from "
         << recorded.answer->served_by << " at "
         << recorded.answered_at.time_since_epoch().count() << " us";
  }
  line << ": " << problem;
  violations_.push_back(line.str());
}

}  // namespace carawayhaven
