#ifndef CARAWAYHAVEN_CORE_ROUTE_REPLICA_SELECTOR_H_
#define CARAWAYHAVEN_CORE_ROUTE_REPLICA_SELECTOR_H_

#include <cstddef>
#include <deque>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <vector>

#include "carawayhaven/log_position.h"
#include "carawayhaven/names.h"
#include "carawayhaven/outcome.h"
#include "carawayhaven/request.h"
#include "carawayhaven/time.h"
#include "core/route/request_router_options.h"

namespace carawayhaven {

class GroupDirectory;
struct EndpointConfig;
struct EndpointObservation;
struct ServiceConfig;

/// Target of a read.
struct ReadChoice {
  enum class Kind { kReplica, kWait, kPrimary };

  Kind kind = Kind::kPrimary;
  /// The chosen endpoint; set for kReplica.
  EndpointName endpoint;
  /// For kWait, the time after which Choose is to be called again.
  Duration wait{0};
};

/// Chooses the endpoint of a read that accepts data of a limited age
/// (docs/design.md, section 7). The choice rests on estimates, which may be
/// wrong: the endpoint checks position and age again. Not thread-safe.
class ReplicaSelector {
 public:
  /// `groups` and `random` must outlive the selector.
  ReplicaSelector(GroupDirectory& groups, const RequestRouterOptions& options,
                  std::mt19937_64& random);

  /// Preconditions: `request` has a max_age and its deadline is after `now`.
  /// Endpoints in `excluded_endpoints` are not chosen. A wait is returned only
  /// when `may_wait` is set.
  ReadChoice Choose(const ServiceConfig& service, const EndpointName& primary,
                    const Request& request,
                    const std::set<EndpointName>& excluded_endpoints,
                    bool may_wait, TimePoint now);

  /// Counts a request as outstanding on the endpoint until OnForwardEnded.
  void OnForwardSent(const EndpointName& endpoint) { ++outstanding_[endpoint]; }
  void OnForwardEnded(const EndpointName& endpoint);

  /// Records the replica's position from an outcome. Outcomes contain no age.
  /// The age is estimated from the time at which the primary had the replica's
  /// position, and bounded by the max_age that the replica accepted or refused.
  void OnOutcome(const Request& request, const Outcome& outcome, TimePoint now);

 private:
  /// A position that the primary had reached by the time `at`.
  struct PrimarySample {
    TimePoint at;
    LogPosition position;
  };
  /// Replication progress of one replica.
  struct Progress {
    LogPosition position;
    TimePoint at;
    /// Log entries per second; zero when unknown.
    double rate = 0;
    std::optional<TimePoint> probed_at;
  };
  enum class Suitability { kSuitable, kSuitableSoon, kUnknown, kUnsuitable };
  struct Candidate {
    const EndpointConfig* endpoint = nullptr;
    Suitability suitability = Suitability::kUnsuitable;
    Duration wait{0};
    Duration probe_interval{0};
  };

  bool RefusedForAge(const Request& request, const Outcome& outcome) const;
  Candidate Assess(const ServiceConfig& service, const EndpointConfig& endpoint,
                   const Request& request, TimePoint now);
  Progress& UpdateProgress(const EndpointName& endpoint,
                           const EndpointObservation& seen);
  /// Returns true when a probe read may be sent to the candidate now, and
  /// records the time of the probe.
  bool TryStartProbe(const Candidate& candidate, TimePoint now);
  /// Returns the better one of two candidates that are chosen at random.
  const EndpointConfig& ChooseOfTwo(const std::vector<Candidate>& suitable);
  /// Compares the numbers of outstanding requests, then the distances.
  bool IsPreferred(const EndpointConfig& left,
                   const EndpointConfig& right) const;
  std::size_t OutstandingOn(const EndpointName& endpoint) const;
  std::optional<Duration> TimeToReach(const Request& request,
                                      const EndpointObservation& seen,
                                      const Progress& progress,
                                      TimePoint now) const;
  std::optional<TimePoint> TimePrimaryReached(const ServiceName& service,
                                              LogPosition position) const;

  GroupDirectory& groups_;
  const RequestRouterOptions& options_;
  std::mt19937_64& random_;
  std::map<EndpointName, std::size_t> outstanding_;
  std::map<EndpointName, Progress> progress_;
  std::map<ServiceName, std::deque<PrimarySample>> primary_samples_;
};

}  // namespace carawayhaven

#endif  // CARAWAYHAVEN_CORE_ROUTE_REPLICA_SELECTOR_H_
