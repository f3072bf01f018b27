#ifndef CARAWAYHAVEN_PROXY_SESSION_LOG_H_
#define CARAWAYHAVEN_PROXY_SESSION_LOG_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <limits>
#include <map>
#include <string>
#include <string_view>

#include "core/failover/failover_observer.h"
#include "core/limits/limit_observer.h"
#include "core/session/caller_session.h"
#include "core/session/router_observer.h"
#include "proxy/metrics.h"

namespace carawayhaven {

/// Logs and counts the decisions of a session proxy. The lines about statements
/// are limited per second, separately for routine lines, failures and faulty
/// answers; suppressed lines are counted.
///
/// Of statements without a failure, a share is logged that shrinks with the
/// load. A hash of the id decides, so a statement has either all of its lines
/// or none, and VMs with different shares choose the same statements as far as
/// their shares allow. Once a statement has a line about a failure or a faulty
/// answer, its end is logged as well. Not thread-safe.
class SessionLog : public RouterObserver,
                   public SessionObserver,
                   public FailoverObserver,
                   public LimitObserver {
 public:
  using Clock = std::function<TimePoint()>;

  /// Maximum number of lines per second about statements without a failure. A
  /// statement counts with both of its lines when it is sent, so the line of a
  /// late end may be written in a later second.
  static constexpr unsigned kRoutineLinesPerSecond = 40;
  /// Maximum number of lines per second about statements that failed, were
  /// retried, hedged or held, or whose answer was faulty.
  static constexpr unsigned kFailureLinesPerSecond = 200;
  /// Maximum number of lines per second about faulty answers themselves.
  static constexpr unsigned kFaultyAnswerLinesPerSecond = 50;

  SessionLog(Metrics& metrics, Clock clock);

  void OnRouting(const RoutingDecision& decision) override;
  void OnEndpointReachable(std::string_view endpoint, bool reachable,
                           ReplyCode code) override;
  void OnEndpointLimit(std::string_view endpoint, bool collapsed) override;
  void OnFaultyAnswer(const FaultyAnswer& answer) override;
  void OnStatementEnded(const CallerStatement& statement,
                        const StatementReply& reply, std::string_view cause,
                        Duration elapsed) override;
  void OnOverLimit(const OrganisationName& organisation, bool over) override;
  void OnLeaderChanged(const VmName& leader, bool self) override;
  void OnPrimaryStateChanged(const ServiceName& service, std::string_view state,
                             const EndpointName& endpoint, Term term,
                             std::string_view reason, Duration age) override;
  void OnPromotionHeld(const PromotionHold& hold) override;
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
  // The statements with a logged line and without an end are found in sets of
  // kWays hashes. Older ones are replaced, and their end is not logged.
  static constexpr std::size_t kWays = 4;
  static constexpr std::size_t kSets = 256;
  // The share of statements is chosen for this number of lines, which leaves
  // some for the case that the load rises.
  static constexpr unsigned kTargetLines = 32;
  static constexpr unsigned kLinesPerStatement = 2;
  static constexpr std::uint64_t kAllStatements =
      std::numeric_limits<std::uint64_t>::max();

  void StartSecondIfDue();
  bool Charge(LineClass line_class, unsigned lines = 1);
  void Suppress(LineClass line_class);
  bool AllowRoutingLine(std::uint64_t statement, bool routine);
  bool AllowStatement(std::uint64_t statement);
  bool IsFollowed(std::uint64_t statement) const;
  void Follow(std::uint64_t statement);
  // Returns false if the statement was not followed.
  bool Unfollow(std::uint64_t statement);

  Metrics& metrics_;
  Clock clock_;
  Histogram& statement_seconds_;
  std::map<ReplyCode, Counter*> replies_;
  std::map<AnswerFault, Counter*> faulty_answers_;
  std::array<Counter*, 8> decisions_{};
  std::array<Budget, kClasses> budgets_;
  TimePoint window_start_;
  // Statements sent in this second that had no failure before.
  std::uint64_t statements_ = 0;
  // Statements with greater hashes are not logged.
  std::uint64_t share_ = kAllStatements;
  // Number of routine lines after which the share is halved.
  unsigned halve_at_ = kTargetLines;
  std::array<std::uint64_t, kSets * kWays> followed_{};
  // The latest answered statement and the endpoint that answered it.
  std::uint64_t answered_ = 0;
  std::string answered_endpoint_;
};

}  // namespace carawayhaven

#endif  // CARAWAYHAVEN_PROXY_SESSION_LOG_H_
