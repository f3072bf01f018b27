#include "net/event_loop.h"

#include <gtest/gtest.h>

#include <string>

namespace carawayhaven {
namespace {

// The next timer after those of a test. A loop that sleeps until then has
// missed what happened before.
constexpr Duration kNextTimer = std::chrono::seconds(10);

class EventLoopWithDistantTimer : public testing::Test {
 protected:
  EventLoopWithDistantTimer() {
    loop_.RunAfter(kNextTimer, [] {});
  }

  EventLoop loop_;
  const TimePoint next_timer_ = EventLoop::Now() + kNextTimer;
};

// Guards against a loop that polls its sockets once more after Stop was called
// from a timer, and so ends only with the next event or timer.
TEST_F(EventLoopWithDistantTimer, StopInTimerEndsRunBeforeTheNextTimer) {
  loop_.RunAfter(std::chrono::milliseconds(20), [this] { loop_.Stop(); });
  loop_.Run();
  EXPECT_LT(EventLoop::Now(), next_timer_);
}

// Guards against work of a timer whose follow-up (deadlines of a proxy) waits
// for the next event of a socket.
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

// Guards against callbacks that are lost, doubled, or run from within Post.
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
