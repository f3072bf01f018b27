#ifndef CARAWAYHAVEN_CORE_ROUTE_REQUEST_ROUTER_STATS_H_
#define CARAWAYHAVEN_CORE_ROUTE_REQUEST_ROUTER_STATS_H_

#include <cstdint>

namespace carawayhaven {

/// Counters of a request router since its start.
struct RequestRouterStats {
  std::uint64_t ran = 0;
  std::uint64_t not_run = 0;
  std::uint64_t may_have_run = 0;
  /// Attempts after the first one, to another target or after a back-off.
  std::uint64_t retries = 0;
  /// Retries refused by the budget.
  std::uint64_t retries_refused = 0;
  /// Resolves sent, including repeated ones.
  std::uint64_t resolves = 0;
  std::uint64_t replica_reads = 0;
  std::uint64_t primary_reads = 0;
  /// Reads that waited until a replica was expected to reach the position of
  /// the session.
  std::uint64_t waited_reads = 0;
  /// Replies with an unknown correlation id or from the wrong VM.
  std::uint64_t dropped_replies = 0;
};

}  // namespace carawayhaven

#endif  // CARAWAYHAVEN_CORE_ROUTE_REQUEST_ROUTER_STATS_H_
