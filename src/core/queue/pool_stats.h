#ifndef CARAWAYHAVEN_CORE_QUEUE_POOL_STATS_H_
#define CARAWAYHAVEN_CORE_QUEUE_POOL_STATS_H_

#include <cstddef>
#include <cstdint>

namespace carawayhaven {

/// State and counters of an endpoint pool, for status pages and metrics.
struct PoolStats {
  /// Current values.
  std::size_t queued_short = 0;
  std::size_t queued_long = 0;
  std::size_t queued_unknown_cost = 0;
  std::size_t running = 0;
  /// Running statements that count against the share of long work.
  std::size_t running_long = 0;
  std::size_t connections = 0;
  std::size_t open_transactions = 0;
  std::size_t awaiting_confirmation = 0;
  bool breaker_open = false;
  /// Totals since the pool was created.
  std::uint64_t refused = 0;
  std::uint64_t expired_in_queue = 0;
  std::uint64_t confirmed = 0;
  std::uint64_t unconfirmed = 0;
  std::uint64_t stray_answers = 0;
  std::uint64_t silent_connections = 0;
  std::uint64_t reclaimed_transactions = 0;
};

}  // namespace carawayhaven

#endif  // CARAWAYHAVEN_CORE_QUEUE_POOL_STATS_H_
