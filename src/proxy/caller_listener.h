#ifndef CARAWAYHAVEN_PROXY_CALLER_LISTENER_H_
#define CARAWAYHAVEN_PROXY_CALLER_LISTENER_H_

#include <cstddef>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "core/session/caller_channel.h"
#include "core/session/caller_session.h"

namespace carawayhaven {

/// Makes the session of each caller that connects.
class SessionFactory {
 public:
  virtual ~SessionFactory() = default;

  /// Returns a new session that answers on `channel`, which stays valid until
  /// the session's OnDisconnected.
  virtual std::shared_ptr<CallerSession> CreateSession(
      CallerChannel& channel) = 0;

  /// Returns where a new session should run instead of here, the preferred
  /// address ("IP:port") first; empty when it should run here, and nothing when
  /// sessions cannot be served now.
  virtual std::optional<std::vector<std::string>> RelayAddresses() = 0;

  /// True when a session that a peer relays can run here.
  virtual bool AcceptsRelayed() const = 0;
};

/// Accepts callers. Not thread-safe.
class CallerListener {
 public:
  virtual ~CallerListener() = default;

  /// Sets who makes sessions; null refuses callers.
  virtual void SetSessionFactory(SessionFactory* source) = 0;
  virtual std::size_t session_count() const = 0;
  /// Closes relayed sessions between two operations. Returns how many relayed
  /// sessions are left.
  virtual std::size_t CloseIdleRelays() = 0;
  /// Sends what was answered; to be called at the end of each round.
  virtual void Flush() = 0;
};

}  // namespace carawayhaven

#endif  // CARAWAYHAVEN_PROXY_CALLER_LISTENER_H_
