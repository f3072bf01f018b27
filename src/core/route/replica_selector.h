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

/// Where a read goes.
struct ReadChoice {
  enum class Kind { kReplica, kWait, kPrimary };

  Kind kind = Kind::kPrimary;
  /// Set for kReplica.
  EndpointName endpoint;
  /// kWait: time after which the choice is to be made again.
  Duration wait{0};
};

/// Chooses the endpoint of a read that accepts an age, by section 7 of the
/// design page. What it expects may be wrong, since the endpoint checks
/// position and age again. Not thread-safe.
class ReplicaSelector {
 public:
  /// `groups` and `random` must outlive the selector.
  ReplicaSelector(GroupDirectory& groups, const RequestRouterOptions& options,
                  std::mt19937_64& random);

  /// Preconditions: `request` has a max_age and its deadline is after `now`.
  /// `excluded_endpoints` holds endpoints that are out of question for this
  /// request. A wait is returned only if `may_wait`.
  ReadChoice Choose(const ServiceConfig& service, const EndpointName& primary,
                    const Request& request,
                    const std::set<EndpointName>& excluded_endpoints,
                    bool may_wait, TimePoint now);

  /// Counts a request as outstanding on the endpoint until OnForwardEnded.
  void OnForwardSent(const EndpointName& endpoint) { ++outstanding_[endpoint]; }
  void OnForwardEnded(const EndpointName& endpoint);

  /// Learns from an outcome. Outcomes carry no age: it is estimated from the
  /// time at which the primary had the replica's position, and bounded by the
  /// max_age that the replica accepted or refused.
  void OnOutcome(const Request& request, const Outcome& outcome, TimePoint now);

 private:
  /// A position that the primary had at the latest at that time.
  struct PrimarySample {
    TimePoint at;
    LogPosition position;
  };
  /// Progress of one replica.
  struct Progress {
    LogPosition position;
    TimePoint at;
    /// Entries a second; zero when unknown.
    double rate = 0;
    std::optional<TimePoint> probed_at;
  };
  enum class Fit { kServes, kWillServe, kUncertain, kUnfit };
  struct Candidate {
    const EndpointConfig* endpoint = nullptr;
    Fit fit = Fit::kUnfit;
    Duration wait{0};
    Duration probe_interval{0};
  };

  bool RefusedForAge(const Request& request, const Outcome& outcome) const;
  Candidate Assess(const ServiceConfig& service, const EndpointConfig& endpoint,
                   const Request& request, TimePoint now);
  Progress& UpdateProgress(const EndpointName& endpoint,
                           const EndpointObservation& seen);
  bool TryStartProbe(const Candidate& candidate, TimePoint now);
  const EndpointConfig& ChooseOfTwo(const std::vector<Candidate>& serving);
  bool IsBetter(const EndpointConfig& left, const EndpointConfig& right) const;
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
  std::map<ServiceName, std::deque<PrimarySample>> history_;
};

}  // namespace carawayhaven

#endif  // CARAWAYHAVEN_CORE_ROUTE_REPLICA_SELECTOR_H_
