#ifndef CARAWAYHAVEN_CORE_ROUTE_ATTEMPT_H_
#define CARAWAYHAVEN_CORE_ROUTE_ATTEMPT_H_

#include <cstdint>

namespace carawayhaven::attempt {

// An attempt number on the wire has two parts: the upper 16 bits are the
// caller's attempt, the lower 16 bits count the attempts of the request router.
// The resolve of a caller cancels the whole range of the caller's attempt.
// Otherwise a delayed copy at another proxy, refused with kCancelled, could
// continue with a higher attempt and run after the caller received kNotRun.
inline constexpr std::uint32_t kRangeBits = 16;
inline constexpr std::uint32_t kLastOfRange = (1U << kRangeBits) - 1;

/// Highest attempt that a caller may state.
inline constexpr std::uint32_t kMaxCallerAttempt = kLastOfRange;

/// Returns the first attempt in the range of the caller's attempt.
constexpr std::uint32_t FirstOf(std::uint32_t caller_attempt) {
  return caller_attempt << kRangeBits;
}

/// Returns the last attempt in the range of the caller's attempt.
constexpr std::uint32_t LastOf(std::uint32_t caller_attempt) {
  return FirstOf(caller_attempt) | kLastOfRange;
}

constexpr bool IsLast(std::uint32_t attempt) {
  return (attempt & kLastOfRange) == kLastOfRange;
}

/// Returns the attempt that follows a refusal with kCancelled. The number of
/// cancelled attempts is unknown, so the distance doubles: 16 refusals cover
/// the range.
constexpr std::uint32_t AfterCancelled(std::uint32_t attempt) {
  const std::uint32_t router_part = attempt & kLastOfRange;
  return (attempt & ~kLastOfRange) | ((router_part << 1 | 1) & kLastOfRange);
}

}  // namespace carawayhaven::attempt

#endif  // CARAWAYHAVEN_CORE_ROUTE_ATTEMPT_H_
