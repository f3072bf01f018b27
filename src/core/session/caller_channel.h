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

  /// Closes the connection after all pending data has been sent.
  virtual void Close() = 0;
};

}  // namespace carawayhaven

#endif  // CARAWAYHAVEN_CORE_SESSION_CALLER_CHANNEL_H_
