#ifndef CARAWAYHAVEN_CORE_QUEUE_QUEUE_POLICY_H_
#define CARAWAYHAVEN_CORE_QUEUE_QUEUE_POLICY_H_

#include <cstddef>

#include "carawayhaven/time.h"

namespace carawayhaven {

/// Mechanisms and limits of a pool's queue. Each mechanism can be switched off
/// so that experiments can measure its effect.
struct QueuePolicy {
  /// Queue short and long work separately and limit the slots of long work.
  bool limit_long_work = true;
  /// Count a running statement as long once its run time exceeds the limit.
  bool reclassify_running = true;
  /// Run statements of unknown cost within the share of long work, as long as
  /// such statements often turn out to be long.
  bool limit_unknown_cost_work = true;
  /// Allow one slot beyond the share for the first run of a statement text when
  /// several requests with this text arrive within `frequent_window`. Otherwise
  /// the first runs of short statements wait behind those of very long ones.
  bool frequent_unknown_cost_first = true;
  /// Deficit round robin between teams; otherwise the order of arrival.
  bool fair_between_teams = true;
  /// Refuse requests that cannot meet their deadline.
  bool admission_control = true;
  /// Serve the oldest long work before short work once it has waited too long.
  bool age_long_work = true;

  /// A statement is long when its P90 exceeds this multiple of the endpoint's
  /// median run time.
  double long_factor = 8.0;
  /// Share of the slots that long work may use; at least one slot.
  double long_share = 0.4;
  /// Relative safety margin that is added to the expected wait before it is
  /// compared with the deadline. With 0.25, 5 accepted long statements missed a
  /// deadline of 60 s behind a full queue, in one of five seeds.
  double admission_margin = 0.5;
  /// Long work is aged once it has waited for `ageing_factor` times its
  /// estimated run time or for `ageing_limit`, whichever is shorter.
  double ageing_factor = 10.0;
  Duration ageing_limit = std::chrono::seconds(5);
  std::size_t queue_limit = 10'000;
  /// A statement text is frequent when this many of its requests arrive within
  /// the window and wait. With two, long statements are often frequent by
  /// chance: at 20% long statements and 3 slots the P99 of short work rises
  /// from 1.2 to 1.8 times.
  std::size_t frequent_count = 3;
  Duration frequent_window = std::chrono::milliseconds(100);
  /// Share of `queue_limit` that one team may use.
  double team_queue_share = 0.5;
};

}  // namespace carawayhaven

#endif  // CARAWAYHAVEN_CORE_QUEUE_QUEUE_POLICY_H_
