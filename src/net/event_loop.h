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

/// The event loop of a process, based on libwebsockets and libev. It owns all
/// sockets and timers of the process. A round is one iteration of the loop. Not
/// thread-safe: all functions must be called from the thread that runs the
/// loop, and none from a signal handler.
class EventLoop {
 public:
  using Callback = std::function<void()>;

  /// Throws NetworkError if the libev loop or the libwebsockets context cannot
  /// be created.
  EventLoop();
  ~EventLoop();
  EventLoop(const EventLoop&) = delete;
  EventLoop& operator=(const EventLoop&) = delete;

  /// Current time of a steady clock that also advances while the VM is
  /// suspended, so that leases and deadlines expire during a suspension as
  /// well.
  static TimePoint Now();

  /// Runs `callback` once from the loop, after at least `delay`.
  void RunAfter(Duration delay, Callback callback);

  /// Runs `callback` once from the loop as soon as possible, never from within
  /// this call. Posted callbacks run in order.
  void Post(Callback callback) {
    RunAfter(Duration::zero(), std::move(callback));
  }

  /// Installs handlers of SIGTERM and SIGINT. `callback` is called from the
  /// loop after the first of these signals, and only once.
  void OnTerminationSignal(Callback callback);

  /// Installs a handler of SIGHUP. `callback` is called from the loop after
  /// each SIGHUP; signals that arrive in quick succession may share a call.
  void OnReloadSignal(Callback callback);

  /// Sets the callback that runs at the end of each round, after the events and
  /// timers of the round were handled; null removes it.
  void OnRoundEnd(Callback callback) { on_round_end_ = std::move(callback); }

  /// Handles events and timers until Stop is called. May be called again.
  void Run();
  /// Makes Run return at the end of the current round. May be called from any
  /// callback of the loop.
  void Stop();

  lws_context* context() const { return context_; }

  /// Returns true while the loop of the socket is being destroyed. The sockets
  /// are closed during that time, but the receivers of their events may already
  /// have been destroyed.
  static bool IsShuttingDown(const lws* wsi);

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
  bool shutting_down_ = false;
};

}  // namespace carawayhaven

#endif  // CARAWAYHAVEN_NET_EVENT_LOOP_H_
