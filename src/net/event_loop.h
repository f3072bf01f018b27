#ifndef CARAWAYHAVEN_NET_EVENT_LOOP_H_
#define CARAWAYHAVEN_NET_EVENT_LOOP_H_

#include <functional>
#include <map>
#include <memory>
#include <utility>

#include "carawayhaven/time.h"

struct lws;
struct lws_context;

namespace carawayhaven {

/// The one loop of a process, on libwebsockets. All sockets and timers of the
/// process belong to it. Not thread-safe: only RequestStop may be called from
/// a signal handler, everything else from the thread that runs the loop.
class EventLoop {
 public:
  using Callback = std::function<void()>;

  /// Throws NetworkError when the context cannot be created.
  EventLoop();
  ~EventLoop();
  EventLoop(const EventLoop&) = delete;
  EventLoop& operator=(const EventLoop&) = delete;

  /// Current time of a steady clock that also counts the time in which the VM
  /// was suspended, so that what expires does so in a suspended VM as well.
  static TimePoint Now();

  /// Runs `callback` once, not before `delay` has passed, from the loop.
  void RunAfter(Duration delay, Callback callback);

  /// Runs `callback` from the loop as soon as possible, never from within.
  void Post(Callback callback) {
    RunAfter(Duration::zero(), std::move(callback));
  }

  /// Called once from the loop after SIGTERM or SIGINT. Installs the handlers.
  void OnTerminationSignal(Callback callback);

  /// Called from the loop after each SIGHUP. Installs the handler.
  void OnReloadSignal(Callback callback);

  /// Sets what runs after each round of events and of timers; null removes it.
  void OnRoundEnd(Callback callback) { on_round_end_ = std::move(callback); }

  /// Serves events until Stop is called. May be called again.
  void Run();
  /// Ends Run, also when called from a timer's callback.
  void Stop();

  lws_context* context() const { return context_; }

  /// True while the loop is being destroyed: sockets are closed then, but the
  /// objects that their events would go to may be gone.
  static bool IsClosing(const lws* wsi);

 private:
  void RunDueTimers();
  void ArmTimer();

  class Driver;

  lws_context* context_ = nullptr;
  std::multimap<TimePoint, Callback> timers_;
  std::unique_ptr<Driver> driver_;
  Callback on_termination_;
  Callback on_reload_;
  Callback on_round_end_;
  bool stopped_ = false;
  bool closing_ = false;
};

}  // namespace carawayhaven

#endif  // CARAWAYHAVEN_NET_EVENT_LOOP_H_
