#include "proxy/session_log.h"

#include <chrono>
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

bool SessionLog::AllowLine(LineClass line_class) {
  const TimePoint now = clock_();
  if (now - window_start_ >= std::chrono::seconds(1)) {
    window_start_ = now;
    std::array<std::uint64_t, kClasses> suppressed{};
    for (std::size_t i = 0; i < kClasses; ++i) {
      budgets_[i].lines = 0;
      suppressed[i] = std::exchange(budgets_[i].suppressed, 0);
    }
    if (suppressed != std::array<std::uint64_t, kClasses>{}) {
      Log(LogLevel::kWarning, "log_suppressed",
          {{kClassNames[0], suppressed[0]},
           {kClassNames[1], suppressed[1]},
           {kClassNames[2], suppressed[2]}});
    }
  }
  Budget& budget = budgets_[static_cast<std::size_t>(line_class)];
  if (budget.lines < budget.limit) {
    ++budget.lines;
    return true;
  }
  ++budget.suppressed;
  budget.suppressed_total->Increment();
  return false;
}

void SessionLog::OnRouting(const RoutingDecision& decision) {
  const auto kind = static_cast<std::size_t>(decision.kind);
  decisions_[kind]->Increment();
  const bool routine = decision.kind == RoutingDecision::Kind::kSent ||
                       decision.kind == RoutingDecision::Kind::kAnswered;
  // OnStatementEnded logs the end of the statement, with its reply.
  if (decision.kind == RoutingDecision::Kind::kAnswered) return;
  if (!AllowLine(routine ? LineClass::kRoutine : LineClass::kFailure)) return;
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

void SessionLog::OnFaultyAnswer(const FaultyAnswer& answer) {
  Counter*& counter = faulty_answers_[answer.fault];
  if (counter == nullptr) {
    counter = &metrics_.GetCounter(
        "carawayhaven_faulty_answers_total",
        "Answers of endpoints that do not fit the statement, by fault",
        {{"fault", std::string(AnswerFaultName(answer.fault))}});
  }
  counter->Increment();
  if (!AllowLine(LineClass::kFaultyAnswer)) return;
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
  if (!failed && reply.signature.empty()) return;
  if (!AllowLine(failed ? LineClass::kFailure : LineClass::kRoutine)) return;
  Log(failed ? LogLevel::kWarning : LogLevel::kInfo, "statement_ended",
      {{"id", statement.id},
       {"code", ReplyCodeName(reply.code)},
       {"cause", cause},
       {"message", reply.message},
       {"elapsed_ms", Milliseconds(elapsed)}});
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
