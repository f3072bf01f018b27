#ifndef CARAWAYHAVEN_PROXY_CALLER_LISTENER_H_
#define CARAWAYHAVEN_PROXY_CALLER_LISTENER_H_

#include <cstddef>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "core/session/caller_channel.h"
#include "core/session/caller_session.h"

namespace carawayhaven {

/// Creates the sessions of connecting callers and decides whether they run on
/// this VM.
class SessionFactory {
 public:
  virtual ~SessionFactory() = default;

  /// Returns a new session that replies on `channel`. The channel stays valid
  /// until the OnDisconnected of the session.
  virtual std::shared_ptr<CallerSession> CreateSession(
      CallerChannel& channel) = 0;

  /// Returns the addresses ("IP:port") to which a new session should be
  /// relayed, preferred address first. The list is empty when the session
  /// should run on this VM; nothing is returned when no session can be served
  /// now. `key` is the caller's key, which is secret.
  virtual std::optional<std::vector<std::string>> RelayAddresses(
      std::string_view key) = 0;

  /// True when a session that a peer relays can run on this VM.
  virtual bool AcceptsRelayed() const = 0;
};

/// Accepts connections of callers. Not thread-safe.
class CallerListener {
 public:
  virtual ~CallerListener() = default;

  /// Sets the factory of the sessions; callers are refused while it is null.
  virtual void SetSessionFactory(SessionFactory* factory) = 0;
  virtual std::size_t session_count() const = 0;
  /// Closes relayed sessions: a session between two operations at once, any
  /// other at the end of its current operation. Returns the number of relayed
  /// sessions that are left.
  virtual std::size_t CloseIdleRelays() = 0;
  /// Replies to the statements of relayed sessions that the session VM has not
  /// answered, and closes these sessions. To be called before the process
  /// stops.
  virtual void EndRelays() = 0;
  /// Sends the buffered replies. To be called at the end of each round (event
  /// loop iteration).
  virtual void Flush() = 0;
};

}  // namespace carawayhaven

#endif  // CARAWAYHAVEN_PROXY_CALLER_LISTENER_H_
