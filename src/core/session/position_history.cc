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
  // A sample that came late still covers what an older one covers.
  auto place = std::upper_bound(
      samples_.begin(), samples_.end(), at,
      [](TimePoint time, const Sample& sample) { return time < sample.at; });
  if (place != samples_.begin()) {
    position = std::max(position, std::prev(place)->position);
    if (at - std::prev(place)->at < kResolution && place == samples_.end() &&
        samples_.size() > 1 &&
        std::prev(place)->at - std::prev(place, 2)->at < kResolution) {
      std::prev(place)->at = at;
      std::prev(place)->position = position;
      return;
    }
  }
  place = samples_.insert(place, Sample{at, position});
  for (++place; place != samples_.end(); ++place) {
    place->position = std::max(place->position, position);
  }
  while (samples_.front().at + kKept < samples_.back().at) {
    samples_.pop_front();
  }
}

std::optional<LogPosition> PositionHistory::Covering(TimePoint time) const {
  const auto found = std::lower_bound(
      samples_.begin(), samples_.end(), time,
      [](const Sample& sample, TimePoint t) { return sample.at < t; });
  if (found == samples_.end()) return std::nullopt;
  return found->position;
}

LogPosition PositionHistory::Surviving(LogPosition position) const {
  return position.term < term_start_.term && position.term > 0 ? term_start_
                                                               : position;
}

std::optional<PositionHistory::Sample> PositionHistory::Newest() const {
  if (samples_.empty()) return std::nullopt;
  return samples_.back();
}

}  // namespace carawayhaven
