#ifndef CARAWAYHAVEN_PROXY_SESSION_LOG_H_
#define CARAWAYHAVEN_PROXY_SESSION_LOG_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <string>

#include "core/failover/failover_observer.h"
#include "core/session/caller_session.h"
#include "core/session/router_observer.h"
#include "proxy/metrics.h"

namespace carawayhaven {

/// Logs and counts the decisions of a session proxy. The lines about statements
/// are limited per second, separately for routine lines, failures and faulty
/// answers; suppressed lines are counted. Not thread-safe.
class SessionLog : public RouterObserver,
                   public SessionObserver,
                   public FailoverObserver {
 public:
  using Clock = std::function<TimePoint()>;

  // Maximum number of log lines per second about statements that succeeded and
  // about those that failed. A statement has two lines, and a VM runs about a
  // hundred statements per second.
  static constexpr unsigned kRoutineLinesPerSecond = 40;
  static constexpr unsigned kFailureLinesPerSecond = 200;
  /// Maximum number of lines per second about faulty answers.
  static constexpr unsigned kFaultyAnswerLinesPerSecond = 50;

  SessionLog(Metrics& metrics, Clock clock);

  void OnRouting(const RoutingDecision& decision) override;
  void OnEndpointReachable(std::string_view endpoint, bool reachable,
                           ReplyCode code) override;
  void OnFaultyAnswer(const FaultyAnswer& answer) override;
  void OnStatementEnded(const CallerStatement& statement,
                        const StatementReply& reply, std::string_view cause,
                        Duration elapsed) override;
  void OnLeaderChanged(const VmName& leader, bool self) override;
  void OnPrimaryStateChanged(const ServiceName& service, std::string_view state,
                             const EndpointName& endpoint, Term term,
                             std::string_view reason, Duration age) override;
  void OnStoreReachable(std::string_view prefix, bool reachable) override;
  void OnMalformedObject(std::string_view path,
                         std::string_view error) override;

 private:
  enum class LineClass : std::uint8_t { kRoutine, kFailure, kFaultyAnswer };
  struct Budget {
    unsigned limit = 0;
    unsigned lines = 0;
    std::uint64_t suppressed = 0;
    Counter* suppressed_total = nullptr;
  };

  static constexpr std::size_t kClasses = 3;

  bool AllowLine(LineClass line_class);

  Metrics& metrics_;
  Clock clock_;
  Histogram& statement_seconds_;
  std::map<ReplyCode, Counter*> replies_;
  std::map<AnswerFault, Counter*> faulty_answers_;
  std::array<Counter*, 8> decisions_{};
  std::array<Budget, kClasses> budgets_;
  TimePoint window_start_;
};

}  // namespace carawayhaven

#endif  // CARAWAYHAVEN_PROXY_SESSION_LOG_H_
