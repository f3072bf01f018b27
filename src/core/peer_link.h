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

  /// The link to the VM was lost. Messages sent on it may or may not have been
  /// received.
  virtual void OnPeerLost(const VmName& vm, TimePoint now) = 0;
};

/// Sends messages to other proxies. Not thread-safe; all calls must come from
/// the thread of the event loop.
class PeerLink {
 public:
  virtual ~PeerLink() = default;

  /// Queues a message for the VM and opens a link when there is none. Returns
  /// false when the VM's address is unknown or malformed or its queue is full;
  /// the message is guaranteed not to be delivered then. True does not
  /// guarantee delivery.
  virtual bool Send(const VmName& vm, const PeerMessage& message) = 0;

  /// Sets the address ("IP:port") on which a VM accepts links.
  virtual void SetAddress(const VmName& vm, std::string_view address) = 0;
};

}  // namespace carawayhaven

#endif  // CARAWAYHAVEN_CORE_PEER_LINK_H_
