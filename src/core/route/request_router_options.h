#ifndef CARAWAYHAVEN_CORE_ROUTE_REQUEST_ROUTER_OPTIONS_H_
#define CARAWAYHAVEN_CORE_ROUTE_REQUEST_ROUTER_OPTIONS_H_

#include <cstdint>
#include <functional>

#include "carawayhaven/names.h"
#include "core/limits/retry_budget.h"
#include "core/route/forwarder.h"
#include "core/route/position_check.h"
#include "core/route/resolve_reserve.h"

namespace carawayhaven {

/// Rank of a data centre by distance; lower is nearer.
using DataCentreDistance = std::function<std::uint32_t(const DataCentreName&)>;

struct RequestRouterOptions {
  /// Rises with each start of the process; part of generated ids.
  std::uint64_t incarnation = 0;
  /// Empty: all data centres are equally near.
  DataCentreDistance distance;
  PositionCheck position_check = SameTermPositionCheck;
  RetryBudgetOptions retry_budget;
  ResolveReserveOptions resolve_reserve;
  /// When empty, forwards are not traced.
  ForwardTracer forward_tracer;
};

}  // namespace carawayhaven

#endif  // CARAWAYHAVEN_CORE_ROUTE_REQUEST_ROUTER_OPTIONS_H_
