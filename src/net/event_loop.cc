#include "net/event_loop.h"

#include <ev.h>
#include <libwebsockets.h>
#include <sys/resource.h>

#include <algorithm>
#include <atomic>
#include <csignal>
#include <ctime>
#include <list>

#include "carawayhaven/error_messages.h"
#include "carawayhaven/exceptions.h"

namespace carawayhaven {
namespace {

// Each caller session needs a descriptor. libwebsockets allocates its
// descriptor table for this number.
constexpr unsigned kMaxDescriptors = 20'000;

// Raises the soft limit of open descriptors up to kMaxDescriptors, as far as
// the hard limit allows. The usual soft limit of 1,024 is too low, and at the
// limit the loop spins on pending connections that it cannot accept.
void RaiseDescriptorLimit() {
  rlimit limit{};
  if (getrlimit(RLIMIT_NOFILE, &limit) != 0) return;
  const rlim_t wanted = std::min<rlim_t>(limit.rlim_max, kMaxDescriptors);
  if (limit.rlim_cur >= wanted) return;
  limit.rlim_cur = wanted;
  setrlimit(RLIMIT_NOFILE, &limit);
}

std::atomic<lws_context*> signalled_context{nullptr};
volatile std::sig_atomic_t termination_requested = 0;
volatile std::sig_atomic_t reload_requested = 0;

void WakeLoop() {
  if (lws_context* context = signalled_context.load()) {
    lws_cancel_service(context);
  }
}

void HandleTerminationSignal(int /*signal*/) {
  termination_requested = 1;
  WakeLoop();
}

void HandleReloadSignal(int /*signal*/) {
  reload_requested = 1;
  WakeLoop();
}

}  // namespace

// The libev loop that drives libwebsockets and the timers of EventLoop. It uses
// epoll, whose cost does not depend on the number of idle sockets. The poll()
// that libwebsockets uses by default checks every open socket in each round.
class EventLoop::Driver {
 public:
  explicit Driver(EventLoop& loop) : loop_(ev_loop_new(EVBACKEND_EPOLL)) {
    if (loop_ == nullptr) throw NetworkError(error_messages::kEventLoopFailed);
    ev_timer_init(&timer_, &Driver::OnExpired, 0.0, 0.0);
    timer_.data = &loop;
  }
  ~Driver() {
    ev_timer_stop(loop_, &timer_);
    ev_loop_destroy(loop_);
  }
  Driver(const Driver&) = delete;
  Driver& operator=(const Driver&) = delete;

  struct ev_loop* loop() const {
    return loop_;
  }

  void Arm(Duration delay) {
    ev_timer_stop(loop_, &timer_);
    // libev measures a delay from its cached time, which it updates only once
    // in a round.
    ev_now_update(loop_);
    ev_timer_set(&timer_, std::chrono::duration<double>(delay).count(), 0.0);
    ev_timer_start(loop_, &timer_);
  }

  void RunRound() { ev_run(loop_, EVRUN_ONCE); }

 private:
  static void OnExpired(struct ev_loop* /*loop*/, ev_timer* timer,
                        int /*events*/) {
    static_cast<EventLoop*>(timer->data)->RunDueTimers();
  }

  struct ev_loop* loop_;
  ev_timer timer_{};
};

EventLoop::EventLoop() {
  RaiseDescriptorLimit();
  lws_set_log_level(LLL_ERR, nullptr);
  lws_context_creation_info info{};
  info.port = CONTEXT_PORT_NO_LISTEN;
  info.user = this;
  // All addresses are IPv4, and some hosts do not support IPv6 sockets.
  info.options = LWS_SERVER_OPTION_EXPLICIT_VHOSTS | LWS_SERVER_OPTION_LIBEV |
                 LWS_SERVER_OPTION_DISABLE_IPV6;
  info.fd_limit_per_thread = kMaxDescriptors;
  driver_ = std::make_unique<Driver>(*this);
  void* foreign_loops[] = {driver_->loop()};
  info.foreign_loops = foreign_loops;
  context_ = lws_create_context(&info);
  if (context_ == nullptr) throw NetworkError(error_messages::kEventLoopFailed);
}

EventLoop::~EventLoop() {
  signalled_context.store(nullptr);
  shutting_down_ = true;
  timers_.clear();
  lws_context_destroy(context_);
}

bool EventLoop::IsShuttingDown(const lws* wsi) {
  return static_cast<const EventLoop*>(lws_context_user(lws_get_context(wsi)))
      ->shutting_down_;
}

TimePoint EventLoop::Now() {
  timespec time{};
  clock_gettime(CLOCK_BOOTTIME, &time);
  return TimePoint(std::chrono::duration_cast<Duration>(
      std::chrono::seconds(time.tv_sec) +
      std::chrono::nanoseconds(time.tv_nsec)));
}

void EventLoop::RunAfter(Duration delay, Callback callback) {
  timers_.emplace(Now() + delay, std::move(callback));
  ArmTimer();
}

void EventLoop::OnTerminationSignal(Callback callback) {
  on_termination_ = std::move(callback);
  signalled_context.store(context_);
  std::signal(SIGTERM, HandleTerminationSignal);
  std::signal(SIGINT, HandleTerminationSignal);
}

void EventLoop::OnReloadSignal(Callback callback) {
  on_reload_ = std::move(callback);
  signalled_context.store(context_);
  std::signal(SIGHUP, HandleReloadSignal);
}

void EventLoop::Run() {
  while (!stopped_) {
    driver_->RunRound();
    if (termination_requested != 0 && on_termination_) {
      termination_requested = 0;
      std::exchange(on_termination_, nullptr)();
    }
    if (reload_requested != 0 && on_reload_) {
      reload_requested = 0;
      on_reload_();
    }
    if (on_round_end_) on_round_end_();
  }
  stopped_ = false;
}

// The current round ends after its pending events, without waiting for further
// ones; Run then checks the flag.
void EventLoop::Stop() { stopped_ = true; }

// Runs the callbacks that are due. Callbacks added by them run in the next
// round, so that a callback that posts itself again cannot block the sockets.
void EventLoop::RunDueTimers() {
  const TimePoint now = Now();
  std::list<Callback> due;
  while (!timers_.empty() && timers_.begin()->first <= now) {
    due.push_back(std::move(timers_.begin()->second));
    timers_.erase(timers_.begin());
  }
  for (Callback& callback : due) callback();
  ArmTimer();
  // With libev, libwebsockets 4.1 checks its own timers only after a socket
  // event. lws_cancel_service causes such an event.
  lws_cancel_service(context_);
}

void EventLoop::ArmTimer() {
  if (timers_.empty()) return;
  driver_->Arm(std::max(timers_.begin()->first - Now(), Duration::zero()));
}

}  // namespace carawayhaven
