#ifndef CARAWAYHAVEN_CORE_SESSION_CALLER_CHANNEL_H_
#define CARAWAYHAVEN_CORE_SESSION_CALLER_CHANNEL_H_

#include <string_view>

#include "core/session/statement.h"

namespace carawayhaven {

/// The caller's end of a session. Not thread-safe; one loop, one thread.
class CallerChannel {
 public:
  virtual ~CallerChannel() = default;

  /// Answers the opening of the session.
  virtual void Accept() = 0;
  virtual void Reject(ReplyCode code, std::string_view message) = 0;

  /// Answers one statement.
  virtual void Reply(const StatementReply& reply) = 0;

  /// Closes the connection after what was sent.
  virtual void Close() = 0;
};

}  // namespace carawayhaven

#endif  // CARAWAYHAVEN_CORE_SESSION_CALLER_CHANNEL_H_
