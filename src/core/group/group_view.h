#ifndef CARAWAYHAVEN_CORE_GROUP_GROUP_VIEW_H_
#define CARAWAYHAVEN_CORE_GROUP_GROUP_VIEW_H_

#include <vector>

#include "carawayhaven/log_position.h"
#include "carawayhaven/names.h"
#include "carawayhaven/time.h"

namespace carawayhaven {

/// The state of one endpoint when a proxy last observed it.
struct EndpointObservation {
  LogPosition position;
  /// Age of the endpoint's data when it was observed.
  Duration age{0};
  TimePoint observed_at;
};

/// A group's term and primary as known to one proxy.
struct GroupView {
  ServiceName service;
  Term term = 1;
  EndpointName primary;
  /// Start of each recent term, oldest first: {term, index of its first log
  /// entry}.
  std::vector<LogPosition> term_starts;
};

}  // namespace carawayhaven

#endif  // CARAWAYHAVEN_CORE_GROUP_GROUP_VIEW_H_
