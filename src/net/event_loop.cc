#include "net/event_loop.h"

#include <libwebsockets.h>

#include <algorithm>
#include <atomic>
#include <csignal>
#include <list>

#include "carawayhaven/error_messages.h"
#include "carawayhaven/exceptions.h"

namespace carawayhaven {
namespace {

// Each session of a proxy needs a descriptor; lws sizes its table from this.
constexpr unsigned kMaxDescriptors = 20'000;

std::atomic<lws_context*> signalled_context{nullptr};
volatile std::sig_atomic_t termination_requested = 0;

void HandleTerminationSignal(int /*signal*/) {
  termination_requested = 1;
  if (lws_context* context = signalled_context.load()) {
    lws_cancel_service(context);
  }
}

}  // namespace

// Ties one libwebsockets timer to the loop's earliest deadline.
class EventLoop::LwsTimer {
 public:
  explicit LwsTimer(EventLoop& loop) : timer_{{}, &loop} {}
  ~LwsTimer() { lws_sul_cancel(&timer_.sul); }
  LwsTimer(const LwsTimer&) = delete;
  LwsTimer& operator=(const LwsTimer&) = delete;

  void Arm(Duration delay) {
    lws_sul_schedule(timer_.loop->context_, 0, &timer_.sul,
                     &LwsTimer::OnExpired,
                     std::max<lws_usec_t>(delay.count(), 1));
  }

 private:
  // Standard layout, so that the timer can be found from its first member.
  struct Timer {
    lws_sorted_usec_list_t sul;
    EventLoop* loop;
  };

  static void OnExpired(lws_sorted_usec_list_t* sul) {
    lws_container_of(sul, Timer, sul)->loop->RunDueTimers();
  }

  Timer timer_;
};

EventLoop::EventLoop() {
  lws_set_log_level(LLL_ERR, nullptr);
  lws_context_creation_info info{};
  info.port = CONTEXT_PORT_NO_LISTEN;
  info.user = this;
  info.options = LWS_SERVER_OPTION_EXPLICIT_VHOSTS;
  info.fd_limit_per_thread = kMaxDescriptors;
  context_ = lws_create_context(&info);
  if (context_ == nullptr) throw NetworkError(error_messages::kContextFailed);
  lws_timer_ = std::make_unique<LwsTimer>(*this);
}

EventLoop::~EventLoop() {
  signalled_context.store(nullptr);
  closing_ = true;
  timers_.clear();
  lws_timer_.reset();
  lws_context_destroy(context_);
}

bool EventLoop::IsClosing(const lws* wsi) {
  return static_cast<const EventLoop*>(lws_context_user(lws_get_context(wsi)))
      ->closing_;
}

TimePoint EventLoop::Now() {
  return TimePoint(std::chrono::duration_cast<Duration>(
      std::chrono::steady_clock::now().time_since_epoch()));
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

void EventLoop::Run() {
  while (!stopped_) {
    if (lws_service(context_, 0) < 0) break;
    if (termination_requested != 0 && on_termination_) {
      termination_requested = 0;
      std::exchange(on_termination_, nullptr)();
    }
    if (on_round_end_) on_round_end_();
  }
  stopped_ = false;
}

// libwebsockets runs timers before it polls the sockets in the same call. The
// wake-up ends that poll, which lasts up to the next timer otherwise (30 s in
// libwebsockets 4.1 when there is none).
void EventLoop::Stop() {
  stopped_ = true;
  lws_cancel_service(context_);
}

// Runs the callbacks that are due now. Callbacks added meanwhile run in the
// next round, so that a callback that posts itself cannot block the sockets.
// The round ends here, because the poll of the sockets follows at once.
void EventLoop::RunDueTimers() {
  const TimePoint now = Now();
  std::list<Callback> due;
  while (!timers_.empty() && timers_.begin()->first <= now) {
    due.push_back(std::move(timers_.begin()->second));
    timers_.erase(timers_.begin());
  }
  for (Callback& callback : due) callback();
  if (!due.empty() && on_round_end_) on_round_end_();
  ArmTimer();
}

void EventLoop::ArmTimer() {
  if (timers_.empty()) return;
  lws_timer_->Arm(timers_.begin()->first - Now());
}

}  // namespace carawayhaven
