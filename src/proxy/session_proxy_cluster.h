#ifndef CARAWAYHAVEN_PROXY_SESSION_PROXY_CLUSTER_H_
#define CARAWAYHAVEN_PROXY_SESSION_PROXY_CLUSTER_H_

#include <set>

#include "core/config/config_digest_source.h"
#include "core/membership/session_placement.h"
#include "net/event_loop.h"
#include "proxy/session_proxy.h"

namespace carawayhaven {

// The connections to the other proxies and the components that coordinate with
// them: membership, failover and session placement. Exists once this VM is
// registered.
struct SessionProxy::Cluster {
  Cluster(SessionProxy& proxy, ObjectVersion version)
      : peers(proxy.deps_.loop,
              HelloMessage{proxy.settings_.vm, proxy.settings_.data_centre,
                           proxy.settings_.peer_address, version,
                           proxy.entry_.capacity.value_or(0)},
              proxy),
        membership(
            MembershipOptions{proxy.settings_.vm, proxy.settings_.data_centre,
                              proxy.settings_.peer_address, version,
                              proxy.entry_.capacity.value_or(0)},
            peers, digest, proxy.random_),
        failover(
            FailoverManager::Dependencies{proxy.deps_.link, proxy.deps_.store,
                                          proxy.deps_.promotions, proxy.router_,
                                          membership, peers, proxy.log_,
                                          proxy.random_, &EventLoop::Now},
            proxy.settings_.vm, proxy.entry_, version),
        placement(membership.table()) {}

  // The routes have a single version. Heartbeats carry it as the configuration
  // digest, so that a VM with older routes detects the difference.
  struct RoutesDigest : ConfigDigestSource {
    const ConfigDigest& digest() const override { return value; }
    ConfigDigest value;
  };

  RoutesDigest digest;
  PeerTransport peers;
  Membership membership;
  FailoverManager failover;
  SessionPlacement placement;
  std::set<VmName> lost_peers;
};

}  // namespace carawayhaven

#endif  // CARAWAYHAVEN_PROXY_SESSION_PROXY_CLUSTER_H_
