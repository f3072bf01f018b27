#ifndef CARAWAYHAVEN_PROXY_CALLER_RESOURCES_H_
#define CARAWAYHAVEN_PROXY_CALLER_RESOURCES_H_

#include <cstddef>
#include <cstdint>

#include "carawayhaven/time.h"
#include "core/limits/connection_limit.h"
#include "core/limits/memory_budget.h"

namespace carawayhaven {

struct Settings;

/// What the callers of a process may use together. Not thread-safe.
struct CallerResources {
  /// `descriptors` is the limit of the process.
  CallerResources(const Settings& settings, std::size_t descriptors);

  /// To be called once per second. Logs changes of state and closed
  /// connections, at most one event of each kind per call.
  void Tick();

  /// Limit of open descriptors of this process.
  static std::size_t DescriptorLimit();

  MemoryBudget memory;
  ConnectionLimit connections;
  /// A message that is not complete this long after its first byte ends its
  /// connection.
  Duration message_timeout;
  /// Number of connections that ended for that reason.
  std::uint64_t message_timeouts = 0;

 private:
  std::uint64_t logged_pauses_ = 0;
  std::uint64_t logged_closed_ = 0;
  std::uint64_t logged_refused_ = 0;
  std::uint64_t logged_timeouts_ = 0;
  /// The last logged state.
  bool pausing_ = false;
};

}  // namespace carawayhaven

#endif  // CARAWAYHAVEN_PROXY_CALLER_RESOURCES_H_
