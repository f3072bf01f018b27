#include "net/event_loop.h"

#include <gtest/gtest.h>

#include <string>

namespace carawayhaven {
namespace {

// Delay of a timer that is later than all others of a test. If a loop sleeps
// until this timer, it has missed an earlier event.
constexpr Duration kNextTimer = std::chrono::seconds(10);

class EventLoopWithDistantTimer : public testing::Test {
 protected:
  EventLoopWithDistantTimer() {
    loop_.RunAfter(kNextTimer, [] {});
  }

  EventLoop loop_;
  const TimePoint next_timer_ = EventLoop::Now() + kNextTimer;
};

// Guards against a loop that polls its sockets again after Stop was called from
// a timer callback, and so returns only after the next event or timer.
TEST_F(EventLoopWithDistantTimer, StopInTimerEndsRunBeforeTheNextTimer) {
  loop_.RunAfter(std::chrono::milliseconds(20), [this] { loop_.Stop(); });
  loop_.Run();
  EXPECT_LT(EventLoop::Now(), next_timer_);
}

// Guards against a round-end callback that runs only after the next socket
// event instead of after a timer. A proxy would schedule its deadlines too
// late.
TEST_F(EventLoopWithDistantTimer, RoundEndsAfterTimersBeforeThePoll) {
  int ran = 0;
  int rounds_after = 0;
  loop_.OnRoundEnd([&] {
    if (ran == 0) return;
    ++rounds_after;
    loop_.Stop();
  });
  loop_.RunAfter(std::chrono::milliseconds(20), [&ran] { ++ran; });
  loop_.Run();
  EXPECT_GE(rounds_after, 1);
  EXPECT_LT(EventLoop::Now(), next_timer_);
}

// Guards against posted callbacks that are lost, run twice, or run from within
// Post.
TEST_F(EventLoopWithDistantTimer, PostedCallbacksRunOnceInOrder) {
  std::string order;
  loop_.Post([&] {
    order += 'a';
    loop_.Post([&] {
      order += 'c';
      loop_.Stop();
    });
    order += 'b';
  });
  EXPECT_EQ(order, "");
  loop_.Run();
  EXPECT_EQ(order, "abc");
  EXPECT_LT(EventLoop::Now(), next_timer_);
}

}  // namespace
}  // namespace carawayhaven
