#ifndef CARAWAYHAVEN_CORE_ROUTE_ATTEMPT_H_
#define CARAWAYHAVEN_CORE_ROUTE_ATTEMPT_H_

#include <cstdint>

namespace carawayhaven::attempt {

// The upper 16 bits of an attempt on the wire are the caller's attempt, the
// lower 16 bits count the front's. A caller's resolve cancels the whole range
// of its attempt. Otherwise a delayed copy in another front, refused with
// kCancelled, could go on with a higher attempt and run after the caller was
// told kNotRun.
inline constexpr std::uint32_t kRangeBits = 16;
inline constexpr std::uint32_t kLastOfRange = (1U << kRangeBits) - 1;

/// Greatest attempt that a caller may state.
inline constexpr std::uint32_t kMaxCallerAttempt = kLastOfRange;

constexpr std::uint32_t FirstOf(std::uint32_t caller_attempt) {
  return caller_attempt << kRangeBits;
}

constexpr std::uint32_t LastOf(std::uint32_t caller_attempt) {
  return FirstOf(caller_attempt) | kLastOfRange;
}

constexpr bool IsLast(std::uint32_t attempt) {
  return (attempt & kLastOfRange) == kLastOfRange;
}

/// Attempt after a refusal with kCancelled. How many attempts were cancelled is
/// not known, so the distance doubles: 16 refusals cover the range.
constexpr std::uint32_t AfterCancelled(std::uint32_t attempt) {
  const std::uint32_t own = attempt & kLastOfRange;
  return (attempt & ~kLastOfRange) | ((own << 1 | 1) & kLastOfRange);
}

}  // namespace carawayhaven::attempt

#endif  // CARAWAYHAVEN_CORE_ROUTE_ATTEMPT_H_
