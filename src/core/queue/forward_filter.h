#ifndef CARAWAYHAVEN_CORE_QUEUE_FORWARD_FILTER_H_
#define CARAWAYHAVEN_CORE_QUEUE_FORWARD_FILTER_H_

#include <cstddef>
#include <map>
#include <set>

#include "carawayhaven/names.h"

namespace carawayhaven {

/// Accepts each forwarded request once. A repeated write outside a transaction
/// is harmless because of its request id, but a repeated step of a transaction
/// would run twice, and a repeated request could run after its first copy was
/// refused. Not thread-safe.
class ForwardFilter {
 public:
  /// Number of correlation ids kept for each forwarding proxy. The messages of
  /// one proxy arrive nearly in order. A message with an id below the window is
  /// treated as lost, and the proxy that sent it resolves the request. Bounds
  /// the memory to about 16 KB for each proxy.
  static constexpr std::size_t kWindow = 256;

  /// Returns false for a message that was accepted before or whose id is below
  /// the window. The correlation ids of a proxy must increase, also across
  /// restarts of its process.
  bool Accept(const VmName& forwarding_proxy, CorrelationId correlation);

 private:
  struct Seen {
    /// All ids up to and including this one are refused.
    CorrelationId floor = 0;
    std::set<CorrelationId> ids;
  };
  std::map<VmName, Seen> forwarding_proxies_;
};

}  // namespace carawayhaven

#endif  // CARAWAYHAVEN_CORE_QUEUE_FORWARD_FILTER_H_
