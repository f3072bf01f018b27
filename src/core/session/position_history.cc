#include "core/session/position_history.h"

#include <algorithm>

namespace carawayhaven {
namespace {

// Consecutive samples that are closer together than this are merged.
constexpr Duration kMinSampleInterval = std::chrono::milliseconds(20);
// Longer than the max_age of the routes in use. For an earlier time the oldest
// sample is returned, which is stricter than necessary.
constexpr Duration kRetention = std::chrono::seconds(10);

}  // namespace

void PositionHistory::Add(TimePoint at, LogPosition position) {
  if (position.term < term_start_.term) return;
  if (position.term > term_start_.term) {
    term_start_ = position;
    samples_.clear();
  }
  term_start_ = std::min(term_start_, position);
  // Of two replies, the one with the lower position was produced first. If its
  // statement was also sent later, it gives the tighter bound and supersedes
  // the other sample: a slow reply says little about the time it was sent.
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
      at - samples_.back().at < kMinSampleInterval &&
      samples_.back().at - std::prev(samples_.end(), 2)->at <
          kMinSampleInterval) {
    samples_.back() = {at, position};
  } else {
    samples_.insert(place, Sample{at, position});
  }
  while (samples_.front().at + kRetention < samples_.back().at) {
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

std::optional<PositionHistory::Sample> PositionHistory::NewestUpTo(
    LogPosition position) const {
  const auto after =
      std::upper_bound(samples_.begin(), samples_.end(), position,
                       [](LogPosition end, const Sample& sample) {
                         return end < sample.position;
                       });
  if (after == samples_.begin()) return std::nullopt;
  return *std::prev(after);
}

}  // namespace carawayhaven
