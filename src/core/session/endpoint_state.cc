#include "core/session/endpoint_state.h"

#include <algorithm>
#include <cmath>

namespace carawayhaven {
namespace {

// Weight of one response in the moving average of the response time.
constexpr double kResponseWeight = 0.2;
// Weight of one statement in the moving average of refused statements.
constexpr double kRefusedShareWeight = 0.1;
// Without new responses the average loses half of its weight in this time.
constexpr Duration kResponseHalfLife = std::chrono::seconds(1);
// Pause after the endpoint refused a read because its log is behind; doubles at
// most four times.
constexpr Duration kInitialBehindPause = std::chrono::milliseconds(20);
// Entries that expired while the registry was unavailable reappear within 2 s.
constexpr Duration kMissingGracePeriod = std::chrono::milliseconds(2500);
// A leaving primary serves until its successor takes over, which happens well
// before the time after which a leaving endpoint must not get new work.
constexpr Duration kLeavingPrimaryGracePeriod = std::chrono::seconds(5);

}  // namespace

bool EndpointState::IsOutdated(const EndpointRecord& restored) const {
  if (restored.registry_era <= registry_era || restored.started_ms == 0 ||
      record.started_ms == 0) {
    return false;
  }
  if (restored.started_ms != record.started_ms) {
    return restored.started_ms < record.started_ms;
  }
  // A process that is about to stop does not change its mind.
  return record.leaving && !restored.leaving;
}

void EndpointState::RecordResponseTime(Duration response, TimePoint now) {
  if (response_time_ == Duration{0}) {
    response_time_ = response;
  } else {
    response_time_ += std::chrono::duration_cast<Duration>(
        kResponseWeight * (response - response_time_));
  }
  response_at_ = now;
}

void EndpointState::RecordRefusal(bool refused) {
  refused_share_ +=
      kRefusedShareWeight * ((refused ? 1.0 : 0.0) - refused_share_);
}

Duration EndpointState::ExpectedResponseTime(Duration baseline,
                                             TimePoint now) const {
  if (response_time_ == Duration{0}) return baseline;
  const double age = static_cast<double>((now - response_at_).count()) /
                     static_cast<double>(kResponseHalfLife.count());
  const double weight = std::exp2(-std::max(age, 0.0));
  return std::chrono::duration_cast<Duration>(weight * response_time_ +
                                              (1 - weight) * baseline);
}

void EndpointState::RecordBehind(LogPosition required, TimePoint now) {
  const unsigned doublings = std::min(behind_count++, 4U);
  behind_until = now + kInitialBehindPause * (1 << doublings);
  behind_position = required;
}

bool EndpointState::IsProbablyBehind(LogPosition required,
                                     TimePoint now) const {
  return now < behind_until && required >= behind_position &&
         position < required;
}

TimePoint EndpointState::WorkEnd() const {
  TimePoint end = TimePoint::max();
  if (missing_since != TimePoint::max()) {
    end = missing_since + kMissingGracePeriod;
  }
  if (leaving_since != TimePoint::max()) {
    end = std::min(end, record.claims_primary
                            ? leaving_since + kLeavingPrimaryGracePeriod
                            : leaving_since);
  }
  return end;
}

bool EndpointState::IsGone(TimePoint now) const {
  return missing_since != TimePoint::max() &&
         now - missing_since >= kMissingGracePeriod;
}

}  // namespace carawayhaven
