#include "proxy/caller_resources.h"

#include <sys/resource.h>

#include <limits>
#include <utility>

#include "proxy/logging.h"
#include "proxy/settings.h"

namespace carawayhaven {

CallerResources::CallerResources(const Settings& settings,
                                 std::size_t descriptors)
    : memory(MemoryMarks::ForVm(settings.memory_mb)),
      connections(descriptors),
      message_timeout(settings.message_timeout) {}

std::size_t CallerResources::DescriptorLimit() {
  rlimit limit{};
  if (getrlimit(RLIMIT_NOFILE, &limit) != 0) {
    return std::numeric_limits<std::size_t>::max();
  }
  return limit.rlim_cur;
}

void CallerResources::Tick() {
  memory.Tick();
  const auto log_count = [](const char* event, std::uint64_t count,
                            std::uint64_t& logged) {
    const std::uint64_t added = count - std::exchange(logged, count);
    if (added > 0) Log(LogLevel::kWarning, event, {{"connections", added}});
  };
  log_count("closed_for_memory", memory.closed_connections(), logged_closed_);
  log_count("connections_refused", connections.refused(), logged_refused_);
  log_count("incomplete_messages_ended", message_timeouts, logged_timeouts_);
  const bool pausing = memory.paused_connections() > 0;
  const bool paused_meanwhile =
      std::exchange(logged_pauses_, memory.pauses()) != memory.pauses();
  if (pausing == pausing_ && (pausing || !paused_meanwhile)) return;
  pausing_ = pausing;
  Log(pausing ? LogLevel::kWarning : LogLevel::kInfo,
      pausing ? "reading_paused" : "reading_resumed",
      {{"held_bytes", memory.held_bytes()},
       {"connections", memory.paused_connections()}});
}

}  // namespace carawayhaven
