#ifndef CARAWAYHAVEN_CORE_ROUTE_FRONT_H_
#define CARAWAYHAVEN_CORE_ROUTE_FRONT_H_

#include <functional>
#include <map>
#include <random>
#include <string>

#include "carawayhaven/names.h"
#include "carawayhaven/outcome.h"
#include "carawayhaven/request.h"
#include "carawayhaven/time.h"
#include "core/peer_message.h"

namespace carawayhaven {

class GroupDirectory;
class OwnerResolver;
class PeerLink;
class ServiceDirectory;

/// Takes the requests of callers, selects an endpoint for each, forwards it to
/// the owner of that endpoint's pool and settles its verdict. Not thread-safe;
/// one loop, one thread.
class Front {
 public:
  using OutcomeCallback = std::function<void(const Outcome&)>;

  /// All arguments must outlive the front. A message to this VM itself is sent
  /// through `peers` like any other.
  Front(const ServiceDirectory& services, GroupDirectory& groups,
        const OwnerResolver& owners, PeerLink& peers, std::mt19937_64& random);

  /// Takes a request; `done` is called exactly once, at the latest shortly
  /// after the request's deadline, possibly from within the call.
  void Submit(Request request, OutcomeCallback done, TimePoint now);

  void OnForwardReply(const VmName& from, const ForwardReplyMessage& reply,
                      TimePoint now);
  void OnPeerLost(const VmName& vm, TimePoint now);

  /// Number of requests without an outcome.
  std::size_t in_flight() const { return requests_.size(); }

  void Tick(TimePoint now);
  TimePoint NextTick() const;

 private:
  struct Pending {
    Request request;
    OutcomeCallback done;
    VmName owner;
  };

  EndpointName SelectEndpoint(const Request& request) const;
  void End(CorrelationId correlation, const Outcome& outcome);

  const ServiceDirectory& services_;
  GroupDirectory& groups_;
  const OwnerResolver& owners_;
  PeerLink& peers_;
  std::mt19937_64& random_;
  CorrelationId next_correlation_ = 1;
  std::map<CorrelationId, Pending> requests_;
};

}  // namespace carawayhaven

#endif  // CARAWAYHAVEN_CORE_ROUTE_FRONT_H_
