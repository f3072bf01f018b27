#ifndef CARAWAYHAVEN_CORE_ROUTE_FORWARDER_H_
#define CARAWAYHAVEN_CORE_ROUTE_FORWARDER_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <unordered_map>
#include <vector>

#include "carawayhaven/names.h"
#include "carawayhaven/request.h"
#include "carawayhaven/time.h"

namespace carawayhaven {

class OwnerResolver;
class PeerLink;
struct EndpointConfig;

/// Identifies a request within its request router.
using RequestKey = std::uint64_t;

/// A message to a pool owner that has not been answered.
struct PendingForward {
  CorrelationId correlation = 0;
  RequestKey request = 0;
  VmName owner;
  EndpointName endpoint;
  Term term = 0;
  /// True when the message is a resolve.
  bool resolves = false;
  TimePoint sent_at;
  /// Result of the ForwardTracer.
  std::shared_ptr<void> trace;
};

/// Called before a request is sent to a pool owner; may replace its
/// traceparent. The result is kept until the answer arrives or the request is
/// given up.
using ForwardTracer =
    std::function<std::shared_ptr<void>(const VmName& owner, Request& request)>;

/// Sends requests to pool owners and matches the replies to them. Correlation
/// ids increase and are never reused, also not by a later process of the VM.
/// Not thread-safe.
class Forwarder {
 public:
  /// Both references must outlive the forwarder. The first correlation id is
  /// `incarnation` + 1. Replies are addressed to a VM, so a reply to an earlier
  /// process of this VM must not match. When the incarnation is a time in
  /// microseconds, a process never reaches the ids of its successor.
  Forwarder(const OwnerResolver& owners, PeerLink& peers,
            std::uint64_t incarnation, ForwardTracer tracer = {});

  /// Sends to the first owner in rendezvous order that accepts the message and
  /// is not in `excluded_owners`. Returns nothing when there is none; no
  /// message was sent then.
  std::optional<PendingForward> Forward(RequestKey key,
                                        const EndpointConfig& endpoint,
                                        Term term, const Request& request,
                                        const std::set<VmName>& excluded_owners,
                                        TimePoint now);

  /// Sends to that owner only. Returns nothing when the message could not be
  /// sent.
  std::optional<PendingForward> ForwardTo(const VmName& owner, RequestKey key,
                                          const EndpointName& endpoint,
                                          Term term, const Request& request,
                                          TimePoint now);

  /// Removes and returns the pending forward; returns nothing when the
  /// correlation id is unknown or belongs to a message to another VM.
  std::optional<PendingForward> Take(CorrelationId correlation,
                                     const VmName& from);

  /// Returns the pending forward, or null when it has been answered or removed.
  const PendingForward* Find(CorrelationId correlation) const;

  /// Removes and returns the pending forward; a later reply to it is unknown.
  std::optional<PendingForward> Remove(CorrelationId correlation);

  /// Removes and returns the pending forwards to that VM, oldest first.
  std::vector<PendingForward> TakeAllTo(const VmName& owner);

 private:
  const OwnerResolver& owners_;
  PeerLink& peers_;
  ForwardTracer tracer_;
  CorrelationId next_correlation_;
  std::unordered_map<CorrelationId, PendingForward> forwards_;
  std::map<VmName, std::set<CorrelationId>> forwards_of_owner_;
};

}  // namespace carawayhaven

#endif  // CARAWAYHAVEN_CORE_ROUTE_FORWARDER_H_
