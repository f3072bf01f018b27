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

/// Value of the object `teams/<team>` in the store, a JSON text.
struct TeamObject {
  /// Maximum size of `earlier`. A submission whose reply was lost is still
  /// reported as accepted after this many further submissions; after more of
  /// them it is reported as a conflict.
  static constexpr std::size_t kMaxEarlier = 16;
  /// Maximum size of the JSON text; leaves room in the frame of a peer message.
  static constexpr std::size_t kMaxBytes = 768 * 1024;

  /// Id of the submission that wrote the object.
  std::string submission;
  std::string text;
  /// For each service the version since which the team has declared it without
  /// interruption. A service without an entry is new in this version.
  std::map<ServiceName, std::uint64_t, std::less<>> declared_since;
  /// Earlier submissions of the team, newest first.
  std::vector<EarlierSubmission> earlier;

  /// Parses the JSON text. Returns nothing when it is malformed or too long.
  static std::optional<TeamObject> Parse(std::string_view value);

  std::string Format() const;
};

}  // namespace carawayhaven

#endif  // CARAWAYHAVEN_CORE_CONFIG_TEAM_OBJECT_H_
