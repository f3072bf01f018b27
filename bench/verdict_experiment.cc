// Verdicts of writes with lost messages and across a change of primary, in
// virtual time, for different deadline reserves and retry settings. The figures
// stand in docs/design-notes/verdicts.md.

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

// The kitchen pool: an owner in another region confirms with a replica there.
constexpr Duration kOneWay = milliseconds(20);
constexpr Duration kConfirm = milliseconds(40);

struct Setup {
  Duration deadline = milliseconds(500);
  ResolveReserveOptions reserve;
  RetryBudgetOptions budget;
  /// Percent of requests and of replies that vanish.
  unsigned lost = 0;
  /// Mean wait in the owner's queue.
  Duration queue = milliseconds(20);
  /// Time without a primary, from 5 s on; zero: no change.
  Duration gap{0};
  bool announced = true;
  Duration interval = milliseconds(2);
  Duration run_time = seconds(20);
};

struct Tally {
  std::size_t writes = 0;
  std::size_t ran = 0;
  std::size_t not_run = 0;
  std::size_t may_have_run = 0;
  std::size_t wrong = 0;
  std::size_t messages = 0;
  Duration slowest{0};
};

class Simulation : private PeerLink {
 public:
  explicit Simulation(const Setup& setup)
      : setup_(setup),
        front_(services_, groups_, owners_, *this, random_, Options(setup)) {}

  Tally Run() {
    const TimePoint end(setup_.run_time);
    for (TimePoint at{}; at < end; at += setup_.interval) {
      events_.At(at, [this] { SubmitOne(); });
    }
    if (setup_.gap > Duration(0)) {
      const TimePoint fenced(seconds(5));
      events_.At(fenced, [this] {
        group_.term = 2;
        group_.primary.clear();
      });
      events_.At(fenced + setup_.gap, [this] {
        group_.primary = "b";
        if (setup_.announced) {
          groups_.Apply({"s", 2, "b", {}});
          front_.OnGroupChanged("s", events_.now());
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

  bool Lost() { return random_() % 100 < setup_.lost; }

  bool Send(const VmName& vm, const PeerMessage& message) override {
    const auto& forward = std::get<ForwardMessage>(message);
    ++tally_.messages;
    if (Lost()) return true;
    std::exponential_distribution<double> queue(
        1.0 / static_cast<double>(setup_.queue.count() + 1));
    const Duration wait(static_cast<Duration::rep>(queue(random_)));
    const TimePoint arrival = events_.now() + kOneWay;
    // The owner removes from its queue what its deadline ends.
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
      const TimePoint done = events_.now() + (refused ? Duration(0) : kConfirm);
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
    if (Lost()) return;
    events_.At(at + kOneWay, [this, vm, reply] {
      front_.OnForwardReply(vm, reply, events_.now());
      Schedule();
    });
  }

  void SubmitOne() {
    Request request;
    request.service = "s";
    request.access = AccessMode::kWrite;
    request.id.value = "w" + std::to_string(tally_.writes++);
    request.deadline = events_.now() + setup_.deadline;
    const TimePoint start = events_.now();
    front_.Submit(
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
    const TimePoint next = front_.NextTick();
    if (next >= tick_at_) return;
    tick_at_ = next;
    events_.At(next, [this, next] {
      if (tick_at_ != next) return;
      tick_at_ = TimePoint::max();
      front_.Tick(events_.now());
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
  RequestRouter front_;
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

void PrintReserves() {
  for (const int deadline_ms : {200, 500, 2000}) {
    for (const int response_times : {0, 1, 2, 3, 4}) {
      Setup setup;
      setup.lost = 2;
      setup.deadline = milliseconds(deadline_ms);
      setup.reserve.response_times = response_times;
      std::array<char, 64> name{};
      std::snprintf(name.data(), name.size(), "deadline %d ms, %d responses",
                    deadline_ms, response_times);
      Print(name.data(), setup);
    }
  }
}

void PrintChanges() {
  Setup setup;
  setup.deadline = seconds(4);
  setup.gap = milliseconds(1500);
  Print("change of primary, announced", setup);
  setup.announced = false;
  Print("change of primary, not announced", setup);
  setup.announced = true;
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
  carawayhaven::PrintChanges();
}
