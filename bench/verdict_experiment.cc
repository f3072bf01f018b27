// Measures the verdicts of writes when messages are lost and when the primary
// changes, in virtual time, for several deadline reserves and retry settings.
// The results are in docs/design-notes/verdicts.md.

#include <algorithm>
#include <array>
#include <chrono>
#include <cstdio>
#include <random>

#include "core/group/group_directory.h"
#include "core/route/request_router.h"
#include "route/fake_route.h"
#include "virtual_events.h"

namespace carawayhaven {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Latencies of the deployment "kitchen": the pool owner is in another region
// than the caller, and confirms each write with a replica in another region
// than its own (one round trip).
constexpr Duration kOneWay = milliseconds(20);
constexpr Duration kConfirmTime = milliseconds(40);

struct Setup {
  Duration deadline = milliseconds(500);
  ResolveReserveOptions reserve;
  RetryBudgetOptions budget;
  /// Percent of the requests, and of the replies, that are lost.
  unsigned loss_percent = 0;
  /// Mean wait in the pool owner's queue.
  Duration mean_queue_wait = milliseconds(20);
  /// Time without a primary, starting at 5 s. Zero: the primary does not
  /// change.
  Duration primary_gap{0};
  /// The router receives the group update of the new primary.
  bool change_is_announced = true;
  Duration write_interval = milliseconds(2);
  Duration run_time = seconds(20);
};

struct Tally {
  std::size_t writes = 0;
  std::size_t ran = 0;
  std::size_t not_run = 0;
  std::size_t may_have_run = 0;
  /// Verdicts "ran" without exactly one effect and "not run" with an effect.
  std::size_t wrong = 0;
  std::size_t messages = 0;
  Duration slowest{0};
};

/// One request router, the pool owners of a group and the links between them.
class Simulation : private PeerLink {
 public:
  explicit Simulation(const Setup& setup)
      : setup_(setup),
        router_(services_, groups_, owners_, *this, random_, Options(setup)) {}

  Tally Run() {
    const TimePoint end(setup_.run_time);
    for (TimePoint at{}; at < end; at += setup_.write_interval) {
      events_.At(at, [this] { SubmitWrite(); });
    }
    if (setup_.primary_gap > Duration(0)) {
      const TimePoint fenced(seconds(5));
      events_.At(fenced, [this] {
        group_.term = 2;
        group_.primary.clear();
      });
      events_.At(fenced + setup_.primary_gap, [this] {
        group_.primary = "b";
        if (setup_.change_is_announced) {
          groups_.Apply({"s", 2, "b", {}});
          router_.OnGroupChanged("s", events_.now());
          Schedule();
        }
      });
    }
    while (events_.RunOne()) {
    }
    for (const auto& [id, verdict] : verdicts_) {
      const int effects = group_.EffectsOf(id);
      const bool wrong = (verdict == Verdict::kRan && effects != 1) ||
                         (verdict == Verdict::kNotRun && effects != 0);
      if (wrong) ++tally_.wrong;
    }
    return tally_;
  }

 private:
  static RequestRouterOptions Options(const Setup& setup) {
    RequestRouterOptions options;
    options.resolve_reserve = setup.reserve;
    options.retry_budget = setup.budget;
    return options;
  }

  bool ShouldDropMessage() { return random_() % 100 < setup_.loss_percent; }

  bool Send(const VmName& vm, const PeerMessage& message) override {
    const auto& forward = std::get<ForwardMessage>(message);
    ++tally_.messages;
    if (ShouldDropMessage()) return true;
    std::exponential_distribution<double> queue_wait(
        1.0 / static_cast<double>(setup_.mean_queue_wait.count() + 1));
    const Duration wait(static_cast<Duration::rep>(queue_wait(random_)));
    const TimePoint arrival = events_.now() + kOneWay;
    // The pool owner drops requests from its queue when their deadline passes.
    if (arrival + wait >= forward.request.deadline) {
      ForwardReplyMessage reply{forward.correlation, group_.term, {}};
      reply.outcome.reason = Reason::kDeadline;
      Reply(vm, reply, std::max(arrival, forward.request.deadline));
      return true;
    }
    events_.At(arrival + wait, [this, vm, forward] {
      ForwardReplyMessage reply = group_.Handle(forward);
      const bool refused = reply.outcome.verdict == Verdict::kNotRun &&
                           reply.outcome.reason != Reason::kNone;
      const TimePoint done =
          events_.now() + (refused ? Duration(0) : kConfirmTime);
      if (done >= forward.request.deadline) {
        reply.outcome = {};
        reply.outcome.verdict = Verdict::kMayHaveRun;
        reply.outcome.reason = Reason::kDeadline;
      }
      Reply(vm, reply, std::min(done, forward.request.deadline));
    });
    return true;
  }
  void SetAddress(const VmName& /*vm*/, std::string_view /*address*/) override {
  }

  void Reply(const VmName& vm, const ForwardReplyMessage& reply, TimePoint at) {
    if (ShouldDropMessage()) return;
    events_.At(at + kOneWay, [this, vm, reply] {
      router_.OnForwardReply(vm, reply, events_.now());
      Schedule();
    });
  }

  void SubmitWrite() {
    Request request;
    request.service = "s";
    request.access = AccessMode::kWrite;
    request.id.value = "w" + std::to_string(tally_.writes++);
    request.deadline = events_.now() + setup_.deadline;
    const TimePoint start = events_.now();
    router_.Submit(
        request,
        [this, id = request.id.value, start](const Outcome& outcome) {
          verdicts_.emplace(id, outcome.verdict);
          tally_.slowest = std::max(tally_.slowest, events_.now() - start);
          if (outcome.verdict == Verdict::kRan) ++tally_.ran;
          if (outcome.verdict == Verdict::kNotRun) ++tally_.not_run;
          if (outcome.verdict == Verdict::kMayHaveRun) ++tally_.may_have_run;
        },
        start);
    Schedule();
  }

  void Schedule() {
    const TimePoint next = router_.NextTick();
    if (next >= tick_at_) return;
    tick_at_ = next;
    events_.At(next, [this, next] {
      if (tick_at_ != next) return;
      tick_at_ = TimePoint::max();
      router_.Tick(events_.now());
      Schedule();
    });
  }

  Setup setup_;
  VirtualEvents events_;
  FakeServices services_;
  GroupDirectory groups_;
  FakeOwners owners_{"v"};
  FakeGroup group_;
  std::mt19937_64 random_{42};
  RequestRouter router_;
  TimePoint tick_at_ = TimePoint::max();
  std::map<std::string, Verdict> verdicts_;
  Tally tally_;
};

void Print(const char* name, const Setup& setup) {
  const Tally tally = Simulation(setup).Run();
  const auto percent = [&tally](std::size_t part) {
    return 100.0 * static_cast<double>(part) /
           static_cast<double>(tally.writes);
  };
  std::printf(
      "%-34s %6zu | %7.3f %7.3f %7.3f | %5zu | %6.3f | %7.0f\n", name,
      tally.writes, percent(tally.ran), percent(tally.not_run),
      percent(tally.may_have_run), tally.wrong,
      static_cast<double>(tally.messages) / static_cast<double>(tally.writes),
      std::chrono::duration<double, std::milli>(tally.slowest).count());
}

/// Prints a line for each deadline and reserve, with 2% of the messages lost.
void PrintReserves() {
  for (const int deadline_ms : {200, 500, 2000}) {
    for (const int response_times : {0, 1, 2, 3, 4}) {
      Setup setup;
      setup.loss_percent = 2;
      setup.deadline = milliseconds(deadline_ms);
      setup.reserve.response_times = response_times;
      std::array<char, 64> name{};
      std::snprintf(name.data(), name.size(), "deadline %d ms, %d responses",
                    deadline_ms, response_times);
      Print(name.data(), setup);
    }
  }
}

/// Prints a line for each case with 1.5 s between the old primary and the new.
void PrintPrimaryChanges() {
  Setup setup;
  setup.deadline = seconds(4);
  setup.primary_gap = milliseconds(1500);
  Print("change of primary, announced", setup);
  setup.change_is_announced = false;
  Print("change of primary, not announced", setup);
  setup.change_is_announced = true;
  setup.budget.ratio = 1000;
  setup.budget.max_saved = 1e9;
  Print("change of primary, no budget", setup);
}

}  // namespace
}  // namespace carawayhaven

int main() {
  std::printf("%-34s %6s | %7s %7s %7s | %5s | %6s | %7s\n", "case", "writes",
              "ran %", "not %", "may %", "wrong", "sent", "max ms");
  carawayhaven::PrintReserves();
  carawayhaven::PrintPrimaryChanges();
}
