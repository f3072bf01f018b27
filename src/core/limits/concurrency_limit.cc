#include "core/limits/concurrency_limit.h"

#include <cmath>

namespace carawayhaven {
namespace {

// Factor of one decrease: two decreases halve the use of an endpoint.
constexpr double kDecrease = 0.7;
// An answer is slow above this multiple of the recent minimum plus the slack,
// which allows for the delays of a VM with a small share of a core.
constexpr int kSlowFactor = 3;
constexpr Duration kSlowSlack = std::chrono::milliseconds(20);
// An endpoint that has become slower for good is accepted after two windows.
constexpr Duration kMinimumWindow = std::chrono::seconds(10);

}  // namespace

bool ConcurrencyLimit::Allows(unsigned outstanding, unsigned slots,
                              bool has_effect, TimePoint now) const {
  if (is_collapsed()) return outstanding == 0 && now >= NextProbe(has_effect);
  return outstanding <
         std::min(static_cast<unsigned>(limit_), std::max(slots, 1U));
}

TimePoint ConcurrencyLimit::NextProbe(bool has_effect) const {
  if (!is_collapsed()) return TimePoint::max();
  return last_failure_ + (has_effect ? kEffectProbePause : kProbePause);
}

bool ConcurrencyLimit::IsSlow(std::uint32_t statement_class,
                              Duration response) const {
  const auto found = minimums_.find(statement_class);
  return found != minimums_.end() &&
         response > found->second.value() * kSlowFactor + kSlowSlack;
}

void ConcurrencyLimit::RecordResponse(std::uint32_t statement_class,
                                      Duration response, TimePoint now) {
  Minimum& minimum = minimums_[statement_class];
  if (now - minimum.window_start >= kMinimumWindow) {
    minimum.previous = minimum.current;
    minimum.current = response;
    minimum.window_start = now;
  }
  minimum.current = std::min(minimum.current, response);
}

void ConcurrencyLimit::OnAnswer(std::uint32_t statement_class,
                                TimePoint sent_at, unsigned outstanding,
                                unsigned slots, TimePoint now) {
  failures_ = 0;
  const Duration response = now - sent_at;
  const bool slow = IsSlow(statement_class, response);
  RecordResponse(statement_class, response, now);
  if (is_collapsed()) {
    limit_ = 1;
    slow_start_ = true;
    round_ = 0;
    return;
  }
  if (slow) {
    Decrease(sent_at, now);
  } else {
    Increase(outstanding, slots);
  }
}

// A limit that is not used says nothing about the endpoint and stays.
void ConcurrencyLimit::Increase(unsigned outstanding, unsigned slots) {
  if (outstanding < static_cast<unsigned>(limit_)) return;
  const double most = std::max(slots, 1U);
  if (!slow_start_) {
    limit_ = std::min(limit_ + 1 / limit_, most);
    return;
  }
  if (++round_ < std::floor(limit_)) return;
  round_ = 0;
  limit_ = std::min(limit_ * 2, most);
}

void ConcurrencyLimit::Decrease(TimePoint sent_at, TimePoint now) {
  if (sent_at < decreased_at_ || is_collapsed()) return;
  slow_start_ = false;
  limit_ = std::max(limit_ * kDecrease, 1.0);
  decreased_at_ = now;
}

void ConcurrencyLimit::OnRefusal(TimePoint sent_at, TimePoint now) {
  Decrease(sent_at, now);
}

void ConcurrencyLimit::OnFailure(TimePoint sent_at, TimePoint now) {
  Decrease(sent_at, now);
  last_failure_ = now;
  if (++failures_ >= kFailuresToCollapse) limit_ = 0;
}

void ConcurrencyLimit::OnTimeout(std::uint32_t statement_class,
                                 TimePoint sent_at, TimePoint now) {
  if (minimums_.contains(statement_class) &&
      !IsSlow(statement_class, now - sent_at)) {
    return;
  }
  OnFailure(sent_at, now);
}

void ConcurrencyLimit::Restart() { *this = ConcurrencyLimit(); }

}  // namespace carawayhaven
