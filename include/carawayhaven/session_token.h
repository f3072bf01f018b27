#ifndef CARAWAYHAVEN_SESSION_TOKEN_H_
#define CARAWAYHAVEN_SESSION_TOKEN_H_

#include <cstddef>
#include <map>
#include <string>
#include <string_view>

#include "carawayhaven/log_position.h"
#include "carawayhaven/names.h"

namespace carawayhaven {

/// Log positions of a session's last acknowledged write to each service.
///
/// The caller keeps the token and sends it with each request, so that any proxy
/// can serve the session. Text form: "service:term.index", joined by ",".
/// Not thread-safe.
class SessionToken {
 public:
  /// Maximum number of services that Parse accepts.
  static constexpr std::size_t kMaxServices = 64;

  /// Parses the text form; an empty text yields an empty token. Throws
  /// InvalidTokenError if the text is malformed or names more than kMaxServices
  /// services.
  static SessionToken Parse(std::string_view text);

  /// Returns the position for the service, or {0, 0} if it has none.
  LogPosition PositionOf(std::string_view service) const;

  /// Advances the position of the service; a lower position has no effect.
  void Advance(std::string_view service, LogPosition position);

  std::string Format() const;

 private:
  std::map<ServiceName, LogPosition, std::less<>> positions_;
};

}  // namespace carawayhaven

#endif  // CARAWAYHAVEN_SESSION_TOKEN_H_
