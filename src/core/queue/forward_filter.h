#ifndef CARAWAYHAVEN_CORE_QUEUE_FORWARD_FILTER_H_
#define CARAWAYHAVEN_CORE_QUEUE_FORWARD_FILTER_H_

#include <cstddef>
#include <map>
#include <set>

#include "carawayhaven/names.h"

namespace carawayhaven {

/// Passes each forwarded request once. A write outside a transaction is safe by
/// its request id, but a repeated step of a transaction would run twice, and a
/// repeated request could run after its first copy was refused. Not
/// thread-safe.
class ForwardFilter {
 public:
  /// Correlation ids kept for each front. Messages of one front arrive nearly
  /// in order; one that is older than these counts as lost, and its front
  /// resolves it. Bounds the memory to about 16 KB a front.
  static constexpr std::size_t kWindow = 256;

  /// Returns false for a message that was passed before, or that is older than
  /// the window. The ids of a front rise, also over restarts of its process.
  bool Accept(const VmName& front, CorrelationId correlation);

 private:
  struct Seen {
    /// All ids up to this one are refused.
    CorrelationId floor = 0;
    std::set<CorrelationId> ids;
  };
  std::map<VmName, Seen> fronts_;
};

}  // namespace carawayhaven

#endif  // CARAWAYHAVEN_CORE_QUEUE_FORWARD_FILTER_H_
