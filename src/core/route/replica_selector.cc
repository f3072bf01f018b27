#include "core/route/replica_selector.h"

#include <algorithm>
#include <chrono>
#include <utility>

#include "core/config/team_config.h"
#include "core/group/group_directory.h"
#include "core/route/deadline_split.h"

namespace carawayhaven {
namespace {

using std::chrono::milliseconds;

// A probe read costs at most one extra hop. Ten per second for each replica
// keep the positions known at negligible load.
constexpr Duration kProbeInterval = milliseconds(100);
// Interval for replicas that were unsuitable when last observed; they may have
// caught up.
constexpr Duration kUnsuitableProbeInterval = milliseconds(1000);
// A rate is not used when the replica was last observed longer ago than this.
constexpr Duration kMaxRateAge = milliseconds(1000);
// Rates over shorter intervals are dominated by the jitter of the answers.
constexpr Duration kMinRateInterval = milliseconds(20);
// Time without an observation after which the age of a replica is assumed to
// grow.
constexpr Duration kMaxObservationGap = milliseconds(500);
// A replica may be ahead of the estimate by up to a fifth of its age.
constexpr int kAgeVariationDivisor = 5;
// 400 samples for each service cover replicas that are up to 10 s behind.
constexpr Duration kSampleInterval = milliseconds(25);
constexpr std::size_t kMaxSamples = 400;

}  // namespace

ReplicaSelector::ReplicaSelector(GroupDirectory& groups,
                                 const RequestRouterOptions& options,
                                 std::mt19937_64& random)
    : groups_(groups), options_(options), random_(random) {}

ReadChoice ReplicaSelector::Choose(
    const ServiceConfig& service, const EndpointName& primary,
    const Request& request, const std::set<EndpointName>& excluded_endpoints,
    bool may_wait, TimePoint now) {
  std::vector<Candidate> suitable;
  std::vector<Candidate> remaining;
  for (const EndpointConfig& endpoint : service.endpoints) {
    if (endpoint.name == primary || endpoint.leaving ||
        excluded_endpoints.contains(endpoint.name)) {
      continue;
    }
    const Candidate candidate = Assess(service, endpoint, request, now);
    (candidate.suitability == Suitability::kSuitable ? suitable : remaining)
        .push_back(candidate);
  }
  const auto replica = [](const EndpointConfig& endpoint) {
    return ReadChoice{ReadChoice::Kind::kReplica, endpoint.name, Duration(0)};
  };
  if (!suitable.empty()) return replica(ChooseOfTwo(suitable));
  if (may_wait) {
    const Candidate* soonest = nullptr;
    for (const Candidate& candidate : remaining) {
      const bool sooner = candidate.suitability == Suitability::kSuitableSoon &&
                          (!soonest || candidate.wait < soonest->wait);
      if (sooner) soonest = &candidate;
    }
    if (soonest != nullptr) {
      return {ReadChoice::Kind::kWait, {}, soonest->wait};
    }
  }
  for (const Candidate& candidate : remaining) {
    if (TryStartProbe(candidate, now)) return replica(*candidate.endpoint);
  }
  return {};
}

void ReplicaSelector::OnForwardEnded(const EndpointName& endpoint) {
  const auto found = outstanding_.find(endpoint);
  if (found == outstanding_.end()) return;
  if (--found->second == 0) outstanding_.erase(found);
}

void ReplicaSelector::OnOutcome(const Request& request, const Outcome& outcome,
                                TimePoint now) {
  if (outcome.served_by.empty() || outcome.position == LogPosition{}) return;
  if (!outcome.from_replica) {
    if (outcome.verdict != Verdict::kRan) return;
    std::deque<PrimarySample>& samples = primary_samples_[request.service];
    const bool due =
        samples.empty() || (now - samples.back().at >= kSampleInterval &&
                            outcome.position >= samples.back().position);
    if (due) samples.push_back({now, outcome.position});
    if (samples.size() > kMaxSamples) samples.pop_front();
    return;
  }
  const EndpointObservation* last = groups_.ObservationOf(outcome.served_by);
  if (last != nullptr && last->observed_at >= now &&
      last->position >= outcome.position) {
    return;
  }
  // Without an estimate the age of the replica is assumed to be zero: a refusal
  // costs one hop and raises the estimate, whereas an estimate that is too high
  // would never be corrected, since no read would be sent.
  Duration age = last != nullptr ? last->age : Duration(0);
  if (const auto passed_at =
          TimePrimaryReached(request.service, outcome.position)) {
    age = now - *passed_at;
  }
  if (outcome.verdict == Verdict::kRan && request.max_age) {
    age = std::min(age, *request.max_age);
  }
  if (outcome.verdict != Verdict::kRan && request.max_age &&
      RefusedForAge(request, outcome)) {
    age = std::max(age, *request.max_age + Duration(1));
  }
  groups_.RecordObservation(outcome.served_by, {outcome.position, age, now});
}

// A replica that has the required position and still refuses is too old.
bool ReplicaSelector::RefusedForAge(const Request& request,
                                    const Outcome& outcome) const {
  const bool holds = request.min_position.term == outcome.position.term &&
                     request.min_position.index <= outcome.position.index;
  return outcome.reason == Reason::kBehind &&
         (request.min_position == LogPosition{} || holds);
}

ReplicaSelector::Candidate ReplicaSelector::Assess(
    const ServiceConfig& service, const EndpointConfig& endpoint,
    const Request& request, TimePoint now) {
  Candidate candidate{&endpoint, Suitability::kUnknown, Duration(0),
                      kProbeInterval};
  const EndpointObservation* seen = groups_.ObservationOf(endpoint.name);
  if (seen == nullptr) return candidate;
  const Duration since = now - seen->observed_at;
  const Progress& progress = UpdateProgress(endpoint.name, *seen);
  // The age of a replica stays the same while it replicates at the rate of the
  // primary. Without a recent observation it may have stopped.
  const Duration age =
      seen->age + std::max(since - kMaxObservationGap, Duration(0));
  if (age > *request.max_age) {
    const bool was_fresh = seen->age <= *request.max_age;
    candidate.suitability =
        was_fresh ? Suitability::kUnknown : Suitability::kUnsuitable;
    if (!was_fresh) candidate.probe_interval = kUnsuitableProbeInterval;
    return candidate;
  }
  if (options_.position_check(service, seen->position, request.min_position)) {
    candidate.suitability = Suitability::kSuitable;
    return candidate;
  }
  candidate.suitability = Suitability::kUnsuitable;
  candidate.probe_interval = kUnsuitableProbeInterval;
  const std::optional<Duration> wait =
      TimeToReach(request, *seen, progress, now);
  if (!wait) return candidate;
  if (*wait <= Duration(0)) {
    candidate.suitability = Suitability::kSuitable;
  } else if (*wait <= MaxReplicaWait(request.deadline - now)) {
    candidate.suitability = Suitability::kSuitableSoon;
    candidate.wait = *wait;
  } else if (*wait <= seen->age / kAgeVariationDivisor) {
    candidate.probe_interval = kProbeInterval;
  }
  return candidate;
}

// Estimates the time until the replica reaches the token: from the time at
// which the primary passed the token and the age of the replica's data, or,
// when that time is unknown, from the replica's rate.
std::optional<Duration> ReplicaSelector::TimeToReach(
    const Request& request, const EndpointObservation& seen,
    const Progress& progress, TimePoint now) const {
  const LogPosition token = request.min_position;
  if (seen.position.term != token.term) return std::nullopt;
  if (const auto passed_at = TimePrimaryReached(request.service, token)) {
    return *passed_at + seen.age - now;
  }
  const Duration since = now - seen.observed_at;
  if (progress.rate <= 0 || since > kMaxRateAge) return std::nullopt;
  const std::chrono::duration<double> needed(
      static_cast<double>(token.index - seen.position.index) / progress.rate);
  return std::chrono::duration_cast<Duration>(needed) - since;
}

ReplicaSelector::Progress& ReplicaSelector::UpdateProgress(
    const EndpointName& endpoint, const EndpointObservation& seen) {
  constexpr double kWeight = 0.2;
  const auto [found, added] = progress_.try_emplace(endpoint);
  Progress& progress = found->second;
  if (progress.position.term != seen.position.term ||
      seen.position < progress.position) {
    progress.position = seen.position;
    progress.at = seen.observed_at;
    progress.rate = 0;
    return progress;
  }
  if (seen.observed_at - progress.at < kMinRateInterval) return progress;
  const std::chrono::duration<double> elapsed = seen.observed_at - progress.at;
  const double rate =
      static_cast<double>(seen.position.index - progress.position.index) /
      elapsed.count();
  progress.rate = progress.rate == 0
                      ? rate
                      : progress.rate + kWeight * (rate - progress.rate);
  progress.position = seen.position;
  progress.at = seen.observed_at;
  return progress;
}

bool ReplicaSelector::TryStartProbe(const Candidate& candidate, TimePoint now) {
  std::optional<TimePoint>& probed_at =
      progress_[candidate.endpoint->name].probed_at;
  if (probed_at && now - *probed_at < candidate.probe_interval) return false;
  probed_at = now;
  return true;
}

const EndpointConfig& ReplicaSelector::ChooseOfTwo(
    const std::vector<Candidate>& suitable) {
  if (suitable.size() == 1) return *suitable.front().endpoint;
  const std::size_t first = random_() % suitable.size();
  const std::size_t offset = 1 + random_() % (suitable.size() - 1);
  const EndpointConfig& left = *suitable[first].endpoint;
  const EndpointConfig& right =
      *suitable[(first + offset) % suitable.size()].endpoint;
  return IsPreferred(right, left) ? right : left;
}

bool ReplicaSelector::IsPreferred(const EndpointConfig& left,
                                  const EndpointConfig& right) const {
  const std::size_t left_load = OutstandingOn(left.name);
  const std::size_t right_load = OutstandingOn(right.name);
  if (left_load != right_load) return left_load < right_load;
  if (!options_.distance) return false;
  return options_.distance(left.data_centre) <
         options_.distance(right.data_centre);
}

std::size_t ReplicaSelector::OutstandingOn(const EndpointName& endpoint) const {
  const auto found = outstanding_.find(endpoint);
  return found == outstanding_.end() ? 0 : found->second;
}

// Interpolates linearly between samples. A position above the newest sample was
// reached at an unknown later time, and times before the oldest sample are
// unknown.
std::optional<TimePoint> ReplicaSelector::TimePrimaryReached(
    const ServiceName& service, LogPosition position) const {
  const auto found = primary_samples_.find(service);
  if (found == primary_samples_.end()) return std::nullopt;
  const std::deque<PrimarySample>& samples = found->second;
  const auto after =
      std::lower_bound(samples.begin(), samples.end(), position,
                       [](const PrimarySample& sample, LogPosition value) {
                         return sample.position < value;
                       });
  if (after == samples.end()) return std::nullopt;
  if (after->position == position) return after->at;
  if (after == samples.begin()) return std::nullopt;
  const PrimarySample& before = *std::prev(after);
  if (before.position.term != after->position.term) return before.at;
  const double part =
      static_cast<double>(position.index - before.position.index) /
      static_cast<double>(after->position.index - before.position.index);
  return before.at +
         std::chrono::duration_cast<Duration>(part * (after->at - before.at));
}

}  // namespace carawayhaven
