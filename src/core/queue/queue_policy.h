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
  bool limit_unknown_cost_work = true;
  /// Let a first run take one slot beyond the share when several requests with
  /// its text arrive within `frequent_window`. Otherwise the first runs of
  /// short texts wait behind those of stragglers.
  bool frequent_unknown_cost_first = true;
  /// Deficit round robin between teams; otherwise first in, first out.
  bool fair_between_teams = true;
  /// Refuse work that cannot meet its deadline.
  bool admission_control = true;
  /// Serve the head of the long queue before short work once it is aged.
  bool age_long_work = true;

  /// A statement is long above this multiple of the endpoint's median.
  double long_factor = 8.0;
  /// Share of the slots that long work may take, at least one slot.
  double long_share = 0.4;
  /// Part by which the expected wait is raised before it is compared with the
  /// deadline. With 0.25, 5 accepted stragglers of one seed in five missed a
  /// deadline of 60 s behind a full queue.
  double admission_margin = 0.5;
  /// Age of the long queue's head, as multiple of its estimate and at most.
  double ageing_factor = 10.0;
  Duration ageing_limit = std::chrono::seconds(5);
  std::size_t queue_limit = 10'000;
  /// A text is frequent when that many of its requests arrive in the window
  /// and wait. With two, long texts are often frequent by chance: P99 of short
  /// work at 20% stragglers and 3 slots rises from 1.2 to 1.8 times.
  std::size_t frequent_count = 3;
  Duration frequent_window = std::chrono::milliseconds(100);
  /// Share of the queue limit that one team may use.
  double team_queue_share = 0.5;
};

}  // namespace carawayhaven

#endif  // CARAWAYHAVEN_CORE_QUEUE_QUEUE_POLICY_H_
