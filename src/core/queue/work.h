#ifndef CARAWAYHAVEN_CORE_QUEUE_WORK_H_
#define CARAWAYHAVEN_CORE_QUEUE_WORK_H_

#include <cstdint>
#include <functional>

#include "carawayhaven/outcome.h"
#include "carawayhaven/request.h"
#include "carawayhaven/time.h"

namespace carawayhaven {

using OutcomeCallback = std::function<void(const Outcome&)>;

/// kUnknownCost: no run of the statement has ended yet, so it may turn out to
/// be long.
enum class WorkClass { kShort, kLong, kUnknownCost };

/// A request that is queued or runs in a pool, with its callback and its
/// expected cost.
struct Work {
  Request request;
  OutcomeCallback done;
  std::uint64_t fingerprint = 0;
  /// Expected run time: the mean of the statement's fingerprint.
  Duration cost{0};
  TimePoint arrival;
  WorkClass work_class = WorkClass::kShort;
  /// False for work of an open transaction, which has a connection of its own.
  bool needs_connection = true;
  /// True for work that waits while new writes are held back during a planned
  /// change of primary.
  bool starts_write = false;
};

}  // namespace carawayhaven

#endif  // CARAWAYHAVEN_CORE_QUEUE_WORK_H_
