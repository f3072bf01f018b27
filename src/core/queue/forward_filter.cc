#include "core/queue/forward_filter.h"

#include "core/mutation.h"

namespace carawayhaven {

bool ForwardFilter::Accept(const VmName& forwarding_proxy,
                           CorrelationId correlation) {
  if (MutationEnabled(Mutation::kAcceptRepeatedForward)) return true;
  Seen& seen = forwarding_proxies_[forwarding_proxy];
  if (correlation <= seen.floor || !seen.ids.insert(correlation).second) {
    return false;
  }
  if (seen.ids.size() > kWindow) {
    seen.floor = *seen.ids.begin();
    seen.ids.erase(seen.ids.begin());
  }
  return true;
}

}  // namespace carawayhaven
