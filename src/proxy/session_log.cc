#include "proxy/session_log.h"

#include <xxhash.h>

#include <algorithm>
#include <charconv>
#include <chrono>
#include <span>
#include <utility>

#include "proxy/logging.h"

namespace carawayhaven {
namespace {

constexpr HistogramScale kSecondsScale{0.0005, 20.0, 32};

constexpr std::array<std::string_view, 8> kDecisionNames{
    "sent",     "hedged", "retried",   "refused",
    "answered", "lost",   "timed_out", "held_for_right"};

constexpr std::array<std::string_view, 3> kClassNames{"routine", "failure",
                                                      "faulty_answer"};

// Never zero, which marks a free place among the followed statements.
std::uint64_t HashId(std::string_view id) {
  return XXH3_64bits(id.data(), id.size()) | 1U;
}

// The signature itself may be long, and is the caller's.
std::string SignatureHash(std::string_view signature) {
  if (signature.empty()) return {};
  std::array<char, 16> digits{};
  const auto [end, error] =
      std::to_chars(digits.data(), digits.data() + digits.size(),
                    XXH3_64bits(signature.data(), signature.size()), 16);
  const std::size_t size = end - digits.data();
  return std::string(digits.size() - size, '0').append(digits.data(), size);
}

double Milliseconds(Duration duration) {
  return std::chrono::duration<double, std::milli>(duration).count();
}

std::string PositionText(LogPosition position) {
  if (position.term == 0) return "-";
  return std::to_string(position.term) + '.' + std::to_string(position.index);
}

}  // namespace

SessionLog::SessionLog(Metrics& metrics, Clock clock)
    : metrics_(metrics),
      clock_(std::move(clock)),
      statement_seconds_(metrics.GetHistogram(
          "carawayhaven_statement_seconds",
          "Time from a caller's statement to its answer", kSecondsScale)) {
  constexpr std::array<unsigned, kClasses> kLimits{kRoutineLinesPerSecond,
                                                   kFailureLinesPerSecond,
                                                   kFaultyAnswerLinesPerSecond};
  for (std::size_t i = 0; i < kClasses; ++i) {
    budgets_[i].limit = kLimits[i];
    budgets_[i].suppressed_total =
        &metrics.GetCounter("carawayhaven_log_suppressed_total",
                            "Log lines left out to bound the log",
                            {{"class", std::string(kClassNames[i])}});
  }
  for (std::size_t i = 0; i < kDecisionNames.size(); ++i) {
    decisions_[i] = &metrics.GetCounter(
        "carawayhaven_routing_total", "Decisions of the router",
        {{"decision", std::string(kDecisionNames[i])}});
  }
}

void SessionLog::StartSecondIfDue() {
  const TimePoint now = clock_();
  const Duration elapsed = now - window_start_;
  if (elapsed < std::chrono::seconds(1)) return;
  window_start_ = now;
  constexpr std::uint64_t kTarget = kTargetLines / kLinesPerStatement;
  const std::uint64_t rate = std::exchange(statements_, 0) *
                             Duration(std::chrono::seconds(1)).count() /
                             elapsed.count();
  share_ = rate <= kTarget ? kAllStatements : kAllStatements / rate * kTarget;
  halve_at_ = kTargetLines;
  std::array<std::uint64_t, kClasses> suppressed{};
  for (std::size_t i = 0; i < kClasses; ++i) {
    budgets_[i].lines = 0;
    suppressed[i] = std::exchange(budgets_[i].suppressed, 0);
  }
  if (suppressed == std::array<std::uint64_t, kClasses>{}) return;
  Log(LogLevel::kWarning, "log_suppressed",
      {{kClassNames[0], suppressed[0]},
       {kClassNames[1], suppressed[1]},
       {kClassNames[2], suppressed[2]}});
}

bool SessionLog::Charge(LineClass line_class, unsigned lines) {
  Budget& budget = budgets_[static_cast<std::size_t>(line_class)];
  if (budget.lines + lines > budget.limit) return false;
  budget.lines += lines;
  return true;
}

void SessionLog::Suppress(LineClass line_class) {
  Budget& budget = budgets_[static_cast<std::size_t>(line_class)];
  ++budget.suppressed;
  budget.suppressed_total->Increment();
}

bool SessionLog::AllowStatement(std::uint64_t statement) {
  ++statements_;
  if (statement > share_) return false;
  if (!Charge(LineClass::kRoutine, kLinesPerStatement)) return false;
  const unsigned lines =
      budgets_[static_cast<std::size_t>(LineClass::kRoutine)].lines;
  // The load has risen: the rest of the budget is for the rest of the second.
  if (lines >= halve_at_) {
    share_ /= 2;
    halve_at_ += (kRoutineLinesPerSecond - halve_at_ + 1) / 2;
  }
  return true;
}

bool SessionLog::AllowRoutingLine(std::uint64_t statement, bool routine) {
  if (IsFollowed(statement)) {
    if (Charge(LineClass::kFailure)) return true;
  } else if (routine) {
    if (AllowStatement(statement)) {
      Follow(statement);
      return true;
    }
    Suppress(LineClass::kRoutine);
    return false;
  } else if (Charge(LineClass::kFailure, kLinesPerStatement)) {
    Follow(statement);
    return true;
  } else if (Charge(LineClass::kFailure)) {
    return true;
  }
  Suppress(LineClass::kFailure);
  return false;
}

bool SessionLog::IsFollowed(std::uint64_t statement) const {
  const auto set =
      std::span(followed_).subspan(statement / 2 % kSets * kWays, kWays);
  return std::find(set.begin(), set.end(), statement) != set.end();
}

void SessionLog::Follow(std::uint64_t statement) {
  const auto set =
      std::span(followed_).subspan(statement / 2 % kSets * kWays, kWays);
  const auto free = std::find(set.begin(), set.end(), 0U);
  if (free != set.end()) {
    *free = statement;
  } else {
    set[statement / 2 / kSets % kWays] = statement;
  }
}

bool SessionLog::Unfollow(std::uint64_t statement) {
  const auto set =
      std::span(followed_).subspan(statement / 2 % kSets * kWays, kWays);
  const auto found = std::find(set.begin(), set.end(), statement);
  if (found == set.end()) return false;
  *found = 0;
  return true;
}

void SessionLog::OnRouting(const RoutingDecision& decision) {
  const auto kind = static_cast<std::size_t>(decision.kind);
  decisions_[kind]->Increment();
  const std::uint64_t statement = HashId(decision.job->statement.id);
  // OnStatementEnded logs the end of the statement, with its reply.
  if (decision.kind == RoutingDecision::Kind::kAnswered) {
    answered_ = statement;
    answered_endpoint_.assign(decision.endpoint);
    return;
  }
  StartSecondIfDue();
  if (!AllowRoutingLine(statement,
                        decision.kind == RoutingDecision::Kind::kSent)) {
    return;
  }
  Log(LogLevel::kInfo, "statement_routed",
      {{"id", decision.job->statement.id},
       {"decision", kDecisionNames[kind]},
       {"service", decision.job->service},
       {"endpoint", decision.endpoint},
       {"connection", decision.connection},
       {"code", ReplyCodeName(decision.code)},
       {"primary", decision.job->needs_primary},
       {"required", PositionText(decision.required)},
       {"held", PositionText(decision.endpoint_position)},
       {"right_left_ms", Milliseconds(decision.remaining_lease)},
       {"attempt", decision.job->attempts},
       {"elapsed_ms", Milliseconds(decision.elapsed)}});
}

void SessionLog::OnEndpointReachable(std::string_view endpoint, bool reachable,
                                     ReplyCode code) {
  Log(reachable ? LogLevel::kInfo : LogLevel::kWarning,
      reachable ? "endpoint_reachable" : "endpoint_unreachable",
      {{"endpoint", endpoint}, {"code", ReplyCodeName(code)}});
}

void SessionLog::OnEndpointLimit(std::string_view endpoint, bool collapsed) {
  Log(collapsed ? LogLevel::kWarning : LogLevel::kInfo,
      collapsed ? "endpoint_limit_collapsed" : "endpoint_limit_recovered",
      {{"endpoint", endpoint}});
  metrics_
      .GetCounter("carawayhaven_endpoint_limit_changes_total",
                  "Collapses and recoveries of endpoints' limits",
                  {{"change", collapsed ? "collapsed" : "recovered"}})
      .Increment();
}

void SessionLog::OnFaultyAnswer(const FaultyAnswer& answer) {
  Counter*& counter = faulty_answers_[answer.fault];
  if (counter == nullptr) {
    counter = &metrics_.GetCounter(
        "carawayhaven_faulty_answers_total",
        "Answers of endpoints that do not fit the statement, by fault",
        {{"fault", std::string(AnswerFaultName(answer.fault))}});
  }
  counter->Increment();
  StartSecondIfDue();
  if (!Charge(LineClass::kFaultyAnswer)) {
    Suppress(LineClass::kFaultyAnswer);
    return;
  }
  // An abandoned statement has ended already.
  if (!answer.id.empty() && answer.phase != ConnectionPhase::kAbandoned) {
    const std::uint64_t statement = HashId(answer.id);
    if (!IsFollowed(statement) && Charge(LineClass::kFailure)) {
      Follow(statement);
    }
  }
  std::string earlier_ids;
  for (const std::string_view id : answer.earlier_ids) {
    if (!earlier_ids.empty()) earlier_ids += ' ';
    earlier_ids += id;
  }
  Log(LogLevel::kWarning, "endpoint_answer_faulty",
      {{"endpoint", answer.endpoint},
       {"connection", answer.connection},
       {"fault", AnswerFaultName(answer.fault)},
       {"phase", ConnectionPhaseName(answer.phase)},
       {"id", answer.id},
       {"earlier_ids", earlier_ids},
       {"earlier_answers", answer.earlier_answers},
       {"since_answer_ms", Milliseconds(answer.since_answer)},
       {"since_sent_ms", Milliseconds(answer.since_sent)}});
}

void SessionLog::OnStatementEnded(const CallerStatement& statement,
                                  const StatementReply& reply,
                                  std::string_view cause, Duration elapsed) {
  statement_seconds_.Observe(std::chrono::duration<double>(elapsed).count());
  Counter*& counter = replies_[reply.code];
  if (counter == nullptr) {
    counter = &metrics_.GetCounter(
        "carawayhaven_replies_total", "Answers to callers by code",
        {{"code", std::string(ReplyCodeName(reply.code))}});
  }
  counter->Increment();
  const bool failed = reply.code != ReplyCode::kOk;
  const std::uint64_t id = HashId(statement.id);
  std::string_view endpoint;
  if (std::exchange(answered_, 0) == id) endpoint = answered_endpoint_;
  const bool followed = Unfollow(id);
  if (!followed && !failed && reply.signature.empty()) return;
  StartSecondIfDue();
  // The end of a followed statement was charged with its first line.
  if (!followed && !(failed && Charge(LineClass::kFailure))) {
    Suppress(failed ? LineClass::kFailure : LineClass::kRoutine);
    return;
  }
  Log(failed ? LogLevel::kWarning : LogLevel::kInfo, "statement_ended",
      {{"id", statement.id},
       {"code", ReplyCodeName(reply.code)},
       {"cause", cause},
       {"message", reply.message},
       {"endpoint", endpoint},
       {"signature_hash", SignatureHash(reply.signature)},
       {"elapsed_ms", Milliseconds(elapsed)}});
}

void SessionLog::OnOverLimit(const OrganisationName& organisation, bool over) {
  StartSecondIfDue();
  if (!Charge(LineClass::kFailure)) {
    Suppress(LineClass::kFailure);
    return;
  }
  Log(LogLevel::kInfo,
      over ? "organisation_over_limit" : "organisation_within_limit",
      {{"organisation", organisation}});
}

void SessionLog::OnLeaderChanged(const VmName& leader, bool self) {
  Log(LogLevel::kInfo, "duty_holder_changed",
      {{"holder", leader}, {"self", self}});
}

void SessionLog::OnPrimaryStateChanged(const ServiceName& service,
                                       std::string_view state,
                                       const EndpointName& endpoint, Term term,
                                       std::string_view reason, Duration age) {
  Log(LogLevel::kInfo, "primary_state",
      {{"service", service},
       {"state", state},
       {"endpoint", endpoint},
       {"term", term},
       {"why", reason},
       {"input_age_ms", Milliseconds(age)}});
}

void SessionLog::OnPromotionHeld(const PromotionHold& hold) {
  Log(LogLevel::kWarning, "promotion_held",
      {{"service", hold.service},
       {"candidate", hold.candidate},
       {"reached", PositionText(hold.reached)},
       {"base", PositionText(hold.base)},
       {"log_end", PositionText(hold.log_end.value_or(LogPosition{}))},
       {"unmatched", hold.unmatched}});
}

void SessionLog::OnStoreReachable(std::string_view prefix, bool reachable) {
  Log(reachable ? LogLevel::kInfo : LogLevel::kWarning,
      reachable ? "store_reachable" : "store_unreachable",
      {{"prefix", prefix}});
}

void SessionLog::OnMalformedObject(std::string_view path,
                                   std::string_view error) {
  Log(LogLevel::kWarning, "object_malformed",
      {{"path", path}, {"error", error}});
}

}  // namespace carawayhaven
