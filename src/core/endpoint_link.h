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

/// Receives the events of connections to endpoints.
class EndpointEvents {
 public:
  virtual ~EndpointEvents() = default;

  /// The connection accepts commands from now on.
  virtual void OnConnectionOpened(ConnectionId connection, TimePoint now) = 0;

  /// The connection ended or could not be opened. Commands without an answer
  /// may have run. The last event of a connection.
  virtual void OnConnectionClosed(ConnectionId connection, TimePoint now) = 0;

  /// An answer arrived. It may be late, repeated or answer nothing known.
  virtual void OnAnswer(ConnectionId connection, const EndpointAnswer& answer,
                        TimePoint now) = 0;
};

/// Opens and uses connections to endpoints. Events are delivered from the
/// loop, never from within a call. Not thread-safe; one loop, one thread.
class EndpointLink {
 public:
  virtual ~EndpointLink() = default;

  /// Starts to open a connection to `address` ("IP:port"). `events` must
  /// outlive the connection. Never fails directly; a failure is an event.
  virtual ConnectionId Open(std::string_view address,
                            EndpointEvents& events) = 0;

  /// Sends a command. Returns false when the connection is not open, in which
  /// case no byte was sent.
  virtual bool Send(ConnectionId connection,
                    const EndpointCommand& command) = 0;

  /// Closes the connection; no event of it follows. An unknown id is ignored.
  virtual void Close(ConnectionId connection) = 0;
};

}  // namespace carawayhaven

#endif  // CARAWAYHAVEN_CORE_ENDPOINT_LINK_H_
