#ifndef CARAWAYHAVEN_BENCH_SIMULATED_ENDPOINT_H_
#define CARAWAYHAVEN_BENCH_SIMULATED_ENDPOINT_H_

#include <algorithm>
#include <cstdint>
#include <functional>
#include <queue>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "core/endpoint_answer.h"
#include "core/endpoint_command.h"
#include "core/endpoint_link.h"

namespace carawayhaven::bench {

/// Event queue in virtual time. Events of the same time run in the order in
/// which they were added.
class VirtualTime {
 public:
  using Event = std::function<void()>;

  TimePoint now() const { return now_; }

  void At(TimePoint time, Event event) {
    events_.push({time, next_sequence_++, std::move(event)});
  }

  /// Runs the events and the timer of the class under test up to and including
  /// `end`. `next_tick` returns when its timer is due, `tick` runs the timer;
  /// at equal times the timer runs first.
  void RunUntil(TimePoint end, const std::function<TimePoint()>& next_tick,
                const std::function<void(TimePoint)>& tick) {
    while (true) {
      const TimePoint event =
          events_.empty() ? TimePoint::max() : events_.top().time;
      const TimePoint timer = std::max(next_tick(), now_);
      if (std::min(event, timer) > end) return;
      now_ = std::min(event, timer);
      if (timer <= event) {
        tick(now_);
        continue;
      }
      const Event run = std::move(events_.top().run);
      events_.pop();
      run();
    }
  }

 private:
  struct Scheduled {
    TimePoint time;
    std::uint64_t sequence = 0;
    // Mutable, so that it can be moved out of the queue's const top().
    mutable Event run;

    bool operator<(const Scheduled& other) const {
      return std::pair(time, sequence) > std::pair(other.time, other.sequence);
    }
  };

  TimePoint now_;
  std::uint64_t next_sequence_ = 0;
  std::priority_queue<Scheduled> events_;
};

/// An endpoint that runs one statement per slot at a time and refuses more as
/// busy. The parameters of a statement hold its run time in microseconds.
class SimulatedEndpoint : public EndpointLink {
 public:
  static constexpr Duration kOneWay = std::chrono::microseconds(150);
  static constexpr Duration kOpenTime = std::chrono::milliseconds(10);

  SimulatedEndpoint(VirtualTime& time, std::uint32_t slots)
      : time_(time), slots_(slots) {}

  ConnectionId Open(std::string_view, EndpointEvents& events) override {
    const ConnectionId id = ++last_id_;
    time_.At(time_.now() + kOpenTime, [this, id, &events] {
      events_ = &events;
      open_.insert(id);
      events.OnConnectionOpened(id, time_.now());
    });
    return id;
  }

  bool Send(ConnectionId id, const EndpointCommand& command) override {
    if (!open_.contains(id)) return false;
    time_.At(time_.now() + kOneWay, [this, id, command] { Run(id, command); });
    return true;
  }

  void Close(ConnectionId id) override { open_.erase(id); }

  /// Number of statements that arrived while all slots were in use.
  std::uint64_t busy() const { return busy_; }

 private:
  void Run(ConnectionId id, const EndpointCommand& command) {
    if (command.operation == EndpointOperation::kStatus) {
      Answer(id, command.correlation, EndpointStatus::kOk);
      return;
    }
    if (running_ >= slots_) {
      ++busy_;
      Answer(id, command.correlation, EndpointStatus::kBusy);
      return;
    }
    ++running_;
    const Duration run_time(std::stoll(command.parameters));
    time_.At(time_.now() + run_time, [this, id, command] {
      --running_;
      Answer(id, command.correlation, EndpointStatus::kOk);
    });
  }

  void Answer(ConnectionId id, CorrelationId correlation,
              EndpointStatus status) {
    EndpointAnswer answer;
    answer.correlation = correlation;
    answer.status = status;
    time_.At(time_.now() + kOneWay, [this, id, answer] {
      if (open_.contains(id)) events_->OnAnswer(id, answer, time_.now());
    });
  }

  VirtualTime& time_;
  std::uint32_t slots_;
  std::uint32_t running_ = 0;
  std::uint64_t busy_ = 0;
  ConnectionId last_id_ = 0;
  EndpointEvents* events_ = nullptr;
  std::set<ConnectionId> open_;
};

}  // namespace carawayhaven::bench

#endif  // CARAWAYHAVEN_BENCH_SIMULATED_ENDPOINT_H_
