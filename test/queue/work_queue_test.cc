#include "core/queue/work_queue.h"

#include <gtest/gtest.h>

#include <map>

namespace carawayhaven {
namespace {

using std::chrono::milliseconds;

class WorkQueueTest : public testing::Test {
 protected:
  Work MakeWork(const TeamName& team, Duration cost) {
    Work work;
    work.request.team = team;
    work.request.deadline = TimePoint{++last_arrival_ + milliseconds(100)};
    work.arrival = TimePoint{last_arrival_};
    work.cost = cost;
    return work;
  }

  Duration last_arrival_{0};
  QueuePolicy policy_;
};

// Guards against shares by number of requests, which would give more time to a
// team with costly work.
TEST_F(WorkQueueTest, TeamsWithUnequalCostsGetEqualTime) {
  WorkQueue queue(policy_);
  for (int i = 0; i < 400; ++i) queue.Push(MakeWork("costly", milliseconds(9)));
  for (int i = 0; i < 400; ++i) queue.Push(MakeWork("cheap", milliseconds(3)));
  std::map<TeamName, Duration> served;
  for (int i = 0; i < 200; ++i) {
    const Work work = *queue.Pop(WorkClass::kShort, {});
    served[work.request.team] += work.cost;
  }
  const auto difference = served["costly"] - served["cheap"];
  EXPECT_LE(std::chrono::abs(difference), milliseconds(18));
}

// Guards against one team that fills the queue for all teams.
TEST_F(WorkQueueTest, TeamReachesItsPartOtherTeamIsNotFull) {
  policy_.queue_limit = 10;
  WorkQueue queue(policy_);
  for (int i = 0; i < 5; ++i) queue.Push(MakeWork("a", milliseconds(1)));
  EXPECT_TRUE(queue.IsFull("a"));
  EXPECT_FALSE(queue.IsFull("b"));
}

TEST_F(WorkQueueTest, DeadlinePassesOnlyExpiredIsTaken) {
  WorkQueue queue(policy_);
  queue.Push(MakeWork("a", milliseconds(1)));
  queue.Push(MakeWork("a", milliseconds(1)));
  EXPECT_EQ(queue.TakeExpired(queue.NextDeadline()).size(), 1U);
  EXPECT_EQ(queue.size(), 1U);
}

// Guards against held-back work that blocks other work of its team.
TEST_F(WorkQueueTest, WriteIsHeldReadBehindItIsServed) {
  WorkQueue queue(policy_);
  Work write = MakeWork("a", milliseconds(1));
  write.starts_write = true;
  queue.Push(std::move(write));
  queue.Push(MakeWork("a", milliseconds(1)));
  const Eligibility no_writes{true, false};
  EXPECT_FALSE(queue.Pop(WorkClass::kShort, no_writes)->starts_write);
  EXPECT_FALSE(queue.Pop(WorkClass::kShort, no_writes).has_value());
}

// Guards against refusing a team with little queued work because of another
// team's long queue.
TEST_F(WorkQueueTest, SmallTeamsBacklogIsNotThatOfTheLargeTeam) {
  WorkQueue queue(policy_);
  for (int i = 0; i < 100; ++i) queue.Push(MakeWork("large", milliseconds(1)));
  queue.Push(MakeWork("small", milliseconds(1)));
  EXPECT_EQ(queue.BacklogBefore(WorkClass::kShort, "small"), milliseconds(2));
  EXPECT_EQ(queue.BacklogBefore(WorkClass::kShort, "large"), milliseconds(101));
}

}  // namespace
}  // namespace carawayhaven
