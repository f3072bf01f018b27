#ifndef CARAWAYHAVEN_CORE_SESSION_CALLER_CHANNEL_H_
#define CARAWAYHAVEN_CORE_SESSION_CALLER_CHANNEL_H_

#include <string_view>

#include "core/session/statement.h"

namespace carawayhaven {

/// Sends replies to the caller of a session. Not thread-safe; all calls must
/// come from the thread of the event loop.
class CallerChannel {
 public:
  virtual ~CallerChannel() = default;

  /// Accepts the session.
  virtual void Accept() = 0;
  /// Reports an error that ends the session and closes the connection.
  virtual void Reject(ReplyCode code, std::string_view message) = 0;

  /// Sends the reply to one statement.
  virtual void Reply(const StatementReply& reply) = 0;

  /// Closes the connection between two operations, after all pending data has
  /// been sent. If a statement of the caller is on its way, the connection
  /// stays open, and the statement is passed to the session.
  virtual void CloseBetweenOperations() = 0;

  /// True if bytes of the caller have arrived that were not passed to the
  /// session yet.
  virtual bool HasUnreadInput() const = 0;
};

}  // namespace carawayhaven

#endif  // CARAWAYHAVEN_CORE_SESSION_CALLER_CHANNEL_H_
