#ifndef CARAWAYHAVEN_CORE_PEER_LINK_H_
#define CARAWAYHAVEN_CORE_PEER_LINK_H_

#include <string_view>

#include "carawayhaven/names.h"
#include "carawayhaven/time.h"
#include "core/peer_message.h"

namespace carawayhaven {

/// Receives messages from other proxies.
class PeerEvents {
 public:
  virtual ~PeerEvents() = default;

  virtual void OnPeerMessage(const VmName& vm, const PeerMessage& message,
                             TimePoint now) = 0;

  /// The link broke; messages sent on it may or may not have arrived.
  virtual void OnPeerLost(const VmName& vm, TimePoint now) = 0;
};

/// Sends messages to other proxies. Not thread-safe; one loop, one thread.
class PeerLink {
 public:
  virtual ~PeerLink() = default;

  /// Queues a message for the VM, opening a link when there is none. Returns
  /// false when the VM's address is unknown or its queue is full; the message
  /// is then certain not to arrive. True does not mean that it arrives.
  virtual bool Send(const VmName& vm, const PeerMessage& message) = 0;

  /// Tells where a VM listens ("IP:port").
  virtual void SetAddress(const VmName& vm, std::string_view address) = 0;
};

}  // namespace carawayhaven

#endif  // CARAWAYHAVEN_CORE_PEER_LINK_H_
