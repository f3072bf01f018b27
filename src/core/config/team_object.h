#ifndef CARAWAYHAVEN_CORE_CONFIG_TEAM_OBJECT_H_
#define CARAWAYHAVEN_CORE_CONFIG_TEAM_OBJECT_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "carawayhaven/names.h"

namespace carawayhaven {

/// An earlier submission of a team and the version that it created.
struct EarlierSubmission {
  std::string submission;
  std::uint64_t version = 0;
};

/// The value of the store's object `teams/<team>`, a JSON text.
struct TeamObject {
  /// Bound on `earlier`: submissions that can overtake one whose answer was
  /// lost before its operator is told "conflict" instead of "accepted".
  static constexpr std::size_t kMaxEarlier = 16;
  /// Bound on the JSON text; leaves room for the frame of a peer message.
  static constexpr std::size_t kMaxBytes = 768 * 1024;

  /// Identifies the submission that wrote the object.
  std::string submission;
  std::string text;
  /// Version in which the team first declared a service that it has declared
  /// ever since. A service without an entry is new in this version.
  std::map<ServiceName, std::uint64_t, std::less<>> declared_since;
  /// The team's submissions before this one, newest first.
  std::vector<EarlierSubmission> earlier;

  /// Reads the JSON text. Returns nothing when it is malformed or too long.
  static std::optional<TeamObject> Parse(std::string_view value);

  std::string Format() const;
};

}  // namespace carawayhaven

#endif  // CARAWAYHAVEN_CORE_CONFIG_TEAM_OBJECT_H_
