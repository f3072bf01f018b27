#ifndef CARAWAYHAVEN_CORE_SESSION_SESSION_LINK_H_
#define CARAWAYHAVEN_CORE_SESSION_SESSION_LINK_H_

#include <string_view>

#include "core/endpoint_link.h"
#include "core/session/answer_fault.h"
#include "core/session/statement.h"

namespace carawayhaven {

/// Receives the events of sessions with endpoints.
class SessionLinkEvents {
 public:
  virtual ~SessionLinkEvents() = default;

  /// The endpoint accepted the session; `reply` contains its log position.
  virtual void OnSessionOpened(ConnectionId connection,
                               const StatementReply& reply, TimePoint now) = 0;

  /// The session ended or could not be opened; `code` is the reason that the
  /// endpoint reported, if any. A statement without a reply may have run. This
  /// is the last event of a session.
  virtual void OnSessionClosed(ConnectionId connection, ReplyCode code,
                               TimePoint now) = 0;

  /// The endpoint sent what is no part of an awaited reply, and the session was
  /// closed. A statement without a reply may have run. This is the last event
  /// of a session.
  virtual void OnSessionFault(ConnectionId connection, AnswerFault fault,
                              TimePoint now) = 0;

  /// The reply to the oldest statement that has not been replied to.
  virtual void OnReply(ConnectionId connection, const StatementReply& reply,
                       TimePoint now) = 0;
};

/// Opens sessions with endpoints. Events are delivered from the loop, never
/// from within a call. Not thread-safe; all calls must come from the thread of
/// the event loop.
class SessionLink {
 public:
  virtual ~SessionLink() = default;

  /// Starts to open a session at `address` ("IP:port") with exactly this
  /// endpoint of this service, for an organisation; an empty name stands for
  /// the proxy itself. `events` must outlive the session.
  virtual ConnectionId Open(std::string_view address, std::string_view service,
                            std::string_view organisation,
                            std::string_view endpoint,
                            SessionLinkEvents& events) = 0;

  /// Sends a statement. Returns false if the session is not open, in which case
  /// no byte was sent.
  virtual bool Send(ConnectionId connection,
                    const EndpointStatement& statement) = 0;

  /// True if bytes arrived that belong to no statement sent so far. To be asked
  /// while no statement waits for a reply.
  virtual bool HasUnrequestedBytes(ConnectionId connection) const = 0;

  /// Closes the session; the endpoint rolls back an open transaction. No events
  /// of the session follow. An unknown id is ignored.
  virtual void Close(ConnectionId connection) = 0;
};

}  // namespace carawayhaven

#endif  // CARAWAYHAVEN_CORE_SESSION_SESSION_LINK_H_
