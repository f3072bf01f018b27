#ifndef CARAWAYHAVEN_CORE_ENDPOINT_LINK_H_
#define CARAWAYHAVEN_CORE_ENDPOINT_LINK_H_

#include <cstdint>
#include <string_view>

#include "carawayhaven/names.h"
#include "carawayhaven/time.h"

namespace carawayhaven {

struct EndpointAnswer;
struct EndpointCommand;

/// Identifies a connection of one EndpointLink. Never reused; zero is invalid.
using ConnectionId = std::uint64_t;

/// Receives events of connections to endpoints.
class EndpointEvents {
 public:
  virtual ~EndpointEvents() = default;

  /// The connection is open and accepts commands.
  virtual void OnConnectionOpened(ConnectionId connection, TimePoint now) = 0;

  /// The connection was closed or could not be opened. Commands without an
  /// answer may have been executed. This is the last event of a connection.
  virtual void OnConnectionClosed(ConnectionId connection, TimePoint now) = 0;

  /// An answer was received. It may be late, a duplicate, or have an unknown
  /// correlation id.
  virtual void OnAnswer(ConnectionId connection, const EndpointAnswer& answer,
                        TimePoint now) = 0;
};

/// Opens connections to endpoints and sends commands on them. Events are
/// delivered by the event loop, never from within a call. Not thread-safe; all
/// calls must come from the thread of the event loop.
class EndpointLink {
 public:
  virtual ~EndpointLink() = default;

  /// Starts to open a connection to `address` ("IP:port"). `events` must
  /// outlive the connection. Failures are reported by OnConnectionClosed.
  virtual ConnectionId Open(std::string_view address,
                            EndpointEvents& events) = 0;

  /// Sends a command. Returns false when the connection is not open; no byte
  /// has been sent then.
  virtual bool Send(ConnectionId connection,
                    const EndpointCommand& command) = 0;

  /// Closes the connection without a further event for it. Ignores unknown ids.
  virtual void Close(ConnectionId connection) = 0;
};

}  // namespace carawayhaven

#endif  // CARAWAYHAVEN_CORE_ENDPOINT_LINK_H_
