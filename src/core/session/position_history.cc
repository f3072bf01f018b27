#include "core/session/position_history.h"

#include <algorithm>

namespace carawayhaven {
namespace {

// Samples closer together than this are one.
constexpr Duration kResolution = std::chrono::milliseconds(20);
// Longer than the greatest age that a route states.
constexpr Duration kKept = std::chrono::seconds(10);

}  // namespace

void PositionHistory::Add(TimePoint at, LogPosition position) {
  if (position.term < term_start_.term) return;
  if (position.term > term_start_.term) {
    term_start_ = position;
    samples_.clear();
  }
  term_start_ = std::min(term_start_, position);
  // Of two answers the one with the lower position was given first, so it tells
  // more when it was asked for later: a slow answer says little of its time.
  auto place = std::lower_bound(
      samples_.begin(), samples_.end(), at,
      [](const Sample& sample, TimePoint time) { return sample.at < time; });
  if (place != samples_.end() && place->position <= position) return;
  auto dominated = place;
  while (dominated != samples_.begin() &&
         std::prev(dominated)->position >= position) {
    --dominated;
  }
  place = samples_.erase(dominated, place);
  if (place == samples_.end() && samples_.size() > 1 &&
      at - samples_.back().at < kResolution &&
      samples_.back().at - std::prev(samples_.end(), 2)->at < kResolution) {
    samples_.back() = {at, position};
  } else {
    samples_.insert(place, Sample{at, position});
  }
  while (samples_.front().at + kKept < samples_.back().at) {
    samples_.pop_front();
  }
}

std::optional<LogPosition> PositionHistory::PositionCovering(
    TimePoint time) const {
  const auto found = std::lower_bound(
      samples_.begin(), samples_.end(), time,
      [](const Sample& sample, TimePoint t) { return sample.at < t; });
  if (found == samples_.end()) return std::nullopt;
  return found->position;
}

LogPosition PositionHistory::SurvivingPosition(LogPosition position) const {
  return position.term < term_start_.term && position.term > 0 ? term_start_
                                                               : position;
}

std::optional<PositionHistory::Sample> PositionHistory::Newest() const {
  if (samples_.empty()) return std::nullopt;
  return samples_.back();
}

}  // namespace carawayhaven
