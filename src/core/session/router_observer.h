#ifndef CARAWAYHAVEN_CORE_SESSION_ROUTER_OBSERVER_H_
#define CARAWAYHAVEN_CORE_SESSION_ROUTER_OBSERVER_H_

#include <cstdint>
#include <string_view>

#include "carawayhaven/log_position.h"
#include "carawayhaven/time.h"
#include "core/endpoint_link.h"
#include "core/session/answer_observer.h"
#include "core/session/reply_code.h"
#include "core/session/statement_job.h"

namespace carawayhaven {

/// One routing decision for a statement.
struct RoutingDecision {
  enum class Kind : std::uint8_t {
    kSent,
    kHedged,
    kRetried,
    kRefused,
    kAnswered,
    kLost,
    kTimedOut,
    kHeldForLease,
  };

  Kind kind = Kind::kSent;
  const StatementJob* job = nullptr;
  std::string_view endpoint;
  /// kSent: position that the endpoint's log must have reached.
  LogPosition required;
  /// End of the endpoint's log in its latest reply; zero if unknown.
  LogPosition endpoint_position;
  ReplyCode code = ReplyCode::kOk;
  /// Connection that the statement was sent on or answered on; zero if none.
  ConnectionId connection = 0;
  /// Time since the statement was received.
  Duration elapsed{0};
  /// kSent, kHeldForLease: remaining time of the primary lease; negative if the
  /// lease has expired or is unknown.
  Duration remaining_lease{-1};
};

/// Receives the router's decisions for logs and metrics.
class RouterObserver : public virtual AnswerObserver {
 public:
  virtual void OnRouting(const RoutingDecision& decision) = 0;

  /// Connections to the endpoint can be opened again, or have started to fail;
  /// `code` is the reason of a failure.
  virtual void OnEndpointReachable(std::string_view endpoint, bool reachable,
                                   ReplyCode code) = 0;

  /// The endpoint fails, so that it gets probes only, or has answered again.
  virtual void OnEndpointLimit(std::string_view /*endpoint*/,
                               bool /*collapsed*/) {}
};

}  // namespace carawayhaven

#endif  // CARAWAYHAVEN_CORE_SESSION_ROUTER_OBSERVER_H_
