#ifndef CARAWAYHAVEN_SESSION_TOKEN_H_
#define CARAWAYHAVEN_SESSION_TOKEN_H_

#include <cstddef>
#include <map>
#include <string>
#include <string_view>

#include "carawayhaven/log_position.h"
#include "carawayhaven/names.h"

namespace carawayhaven {

/// Positions of a session's last acknowledged write, one for each service.
///
/// The caller holds the token and sends it with each request, so that any proxy
/// can serve the session. Text form: "service:term.index", joined by ",".
/// Not thread-safe.
class SessionToken {
 public:
  /// Bound on the text that Parse accepts.
  static constexpr std::size_t kMaxServices = 64;

  /// Reads the text form; the empty text is the empty token. Throws
  /// InvalidTokenError when the text is malformed or names too many services.
  static SessionToken Parse(std::string_view text);

  /// Returns the position for the service, or {0, 0} when it has none.
  LogPosition PositionOf(std::string_view service) const;

  /// Raises the position of the service; a lower position changes nothing.
  void Advance(std::string_view service, LogPosition position);

  std::string Format() const;

 private:
  std::map<ServiceName, LogPosition, std::less<>> positions_;
};

}  // namespace carawayhaven

#endif  // CARAWAYHAVEN_SESSION_TOKEN_H_
