#ifndef CARAWAYHAVEN_CORE_QUEUE_QUEUE_POLICY_H_
#define CARAWAYHAVEN_CORE_QUEUE_QUEUE_POLICY_H_

#include <cstddef>

#include "carawayhaven/time.h"

namespace carawayhaven {

/// Mechanisms of a pool's queue. Each can be switched off, so that experiments
/// measure what it is worth.
struct QueuePolicy {
  /// Separate short from long work and limit the slots of long work.
  bool limit_long_work = true;
  /// Count a running statement as long once it has run past the limit.
  bool reclassify_running = true;
  /// Run statements seen for the first time within the share of long work,
  /// while such statements often turn out to be long.
  bool limit_unknown_work = true;
  /// Deficit round robin between teams; otherwise first in, first out.
  bool fair_between_teams = true;
  /// Refuse work that cannot meet its deadline.
  bool admission_control = true;
  /// Serve the head of the long queue before short work once it is aged.
  bool age_long_work = true;
  /// Let an aged head of the long queue take one slot beyond the share.
  bool extra_slot_when_aged = false;

  /// A statement is long above this multiple of the endpoint's median.
  double long_factor = 8.0;
  /// Share of the slots that long work may take, at least one slot.
  double long_share = 0.4;
  /// Part by which the expected wait is raised before it is compared with the
  /// deadline. Estimates of a long backlog err by more than its last request.
  double admission_margin = 0.25;
  /// Age of the long queue's head, as multiple of its estimate and at most.
  double ageing_factor = 10.0;
  Duration ageing_limit = std::chrono::seconds(5);
  std::size_t queue_limit = 10'000;
  /// Share of the queue limit that one team may use.
  double team_queue_share = 0.5;
};

}  // namespace carawayhaven

#endif  // CARAWAYHAVEN_CORE_QUEUE_QUEUE_POLICY_H_
