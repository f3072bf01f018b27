#include "core/session/statement_costs.h"

#include <algorithm>

#include "core/session/router_limits.h"

namespace carawayhaven {
namespace {

// Weight of one statement in the moving average: a burst of one kind is priced
// correctly after some ten replies, and one slow reply changes little.
constexpr double kWeight = 0.1;
constexpr Duration kMinCost = std::chrono::milliseconds(1);

}  // namespace

StatementCosts::Class StatementCosts::ClassOf(const StatementJob& job) {
  return {job.statement.kind, job.has_effect, job.needs_primary, job.priority,
          job.max_age};
}

void StatementCosts::Record(const StatementJob& job, Duration time) {
  const Duration cost = std::max(time, kMinCost);
  const auto [found, is_new] = means_.try_emplace(ClassOf(job), cost);
  if (is_new) return;
  found->second +=
      std::chrono::duration_cast<Duration>(kWeight * (cost - found->second));
}

Duration StatementCosts::Estimate(const StatementJob& job) const {
  const auto found = means_.find(ClassOf(job));
  return found == means_.end() ? kAssumedRunTime : found->second;
}

std::uint32_t StatementCosts::ClassNumber(const StatementJob& job) {
  return numbers_
      .try_emplace(ClassOf(job), static_cast<std::uint32_t>(numbers_.size()))
      .first->second;
}

}  // namespace carawayhaven
