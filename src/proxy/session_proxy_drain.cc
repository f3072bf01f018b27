#include "proxy/logging.h"
#include "proxy/session_proxy.h"
#include "proxy/session_proxy_cluster.h"

// The graceful shutdown, from SIGTERM to the end of the process.
namespace carawayhaven {
namespace {

using std::chrono::milliseconds;

// The load balancer checks readiness once per second and stops sending callers
// after two failed checks.
constexpr Duration kBalancerDelay = milliseconds(2600);
// Fractions of the grace time after which open transactions are ended and after
// which the process stops.
constexpr double kEndTransactionsPart = 0.8;
constexpr double kStopPart = 0.9;

}  // namespace

void SessionProxy::Drain() {
  if (drain_started_ != TimePoint::max()) return;
  const TimePoint now = EventLoop::Now();
  drain_started_ = now;
  Log(LogLevel::kInfo, "drain_started", {{"vm", settings_.vm}});
  if (cluster_ != nullptr) {
    cluster_->failover.Leave(now);
    cluster_->membership.Leave(now);
  }
}

// Callers are served until the load balancer has stopped sending new ones. Then
// idle sessions are closed, which moves them to other VMs.
void SessionProxy::TickDrain(TimePoint now) {
  if (stopping_) return;
  const Duration elapsed = now - drain_started_;
  const auto part = [&](double fraction) {
    return std::chrono::duration_cast<Duration>(settings_.shutdown_grace *
                                                fraction);
  };
  bool open = false;
  for (const std::shared_ptr<CallerSession>& session : LiveSessions()) {
    if (elapsed < kBalancerDelay) {
      open = true;
      continue;
    }
    if (elapsed > part(kEndTransactionsPart)) {
      session->Shutdown(now);
    } else {
      session->CloseWhenIdle();
    }
    open = open || !session->disconnected();
  }
  if (elapsed >= kBalancerDelay && deps_.callers.CloseIdleRelays() > 0) {
    open = true;
  }
  if ((open || elapsed < kBalancerDelay) && elapsed < part(kStopPart)) return;
  stopping_ = true;
  router_.EndJobs(now);
  for (const std::shared_ptr<CallerSession>& session : LiveSessions()) {
    session->Shutdown(now);
  }
  deps_.callers.EndRelays();
  Log(LogLevel::kInfo, "proxy_stopped",
      {{"vm", settings_.vm}, {"sessions_left", open}});
  // The last answers are still in the sockets' send buffers.
  deps_.loop.RunAfter(kDrainInterval * 2, [this] {
    deps_.log_output.Flush();
    deps_.loop.Stop();
  });
}

}  // namespace carawayhaven
