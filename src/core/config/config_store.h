#ifndef CARAWAYHAVEN_CORE_CONFIG_CONFIG_STORE_H_
#define CARAWAYHAVEN_CORE_CONFIG_CONFIG_STORE_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "core/config/config_digest_source.h"
#include "core/config/service_directory.h"
#include "core/config/team_config.h"
#include "core/config/team_config_parser.h"
#include "core/config/team_object.h"
#include "core/peer_message.h"

namespace carawayhaven {

/// Result of ConfigStore::Apply.
enum class ApplyResult {
  /// The version is not newer than the known ones; nothing was changed.
  kStale,
  /// The version is in force.
  kApplied,
  /// The version is newer but its text is invalid. The last valid version stays
  /// in force, and the rejected version is recorded.
  kRejected,
  /// The version is of a later era, but the version in force has replaced its
  /// text: the store was restored from a copy. Nothing was changed; the text in
  /// force has to be written to the store again.
  kReplaced,
  /// The version is of an earlier era, but has replaced the text in force,
  /// which a restored store has brought back. Nothing was changed; the given
  /// text has to be written to the store again.
  kLost,
};

/// The configuration of all teams on this proxy. The version in force of a team
/// never decreases. The services in force depend only on the newest valid
/// version of each team, not on the order in which versions arrive. Not
/// thread-safe.
class ConfigStore : public ServiceDirectory, public ConfigDigestSource {
 public:
  /// Configuration of one team.
  struct Team {
    /// Version in force; zero when no valid version is known.
    std::uint64_t version = 0;
    /// JSON value of the version in force.
    std::string value;
    /// Highest version received; higher than `version` when it was rejected.
    std::uint64_t highest_seen = 0;
    /// JSON value of the version `highest_seen` when it was rejected; empty
    /// when the value exceeds TeamObject::kMaxBytes.
    std::string rejected_value;
    std::vector<ConfigError> errors;
    std::shared_ptr<const TeamConfig> config;
    std::map<ServiceName, std::uint64_t, std::less<>> declared_since;
  };

  /// Applies a version of the object `teams/<team>`.
  ApplyResult Apply(std::string_view team, std::uint64_t version,
                    std::string_view value);

  /// Returns the digest over `version` and `highest_seen` of all teams.
  const ConfigDigest& digest() const override { return digest_; }

  /// Returns the team, or null when no version of it is known. Valid until the
  /// next Apply.
  const Team* FindTeam(std::string_view team) const;
  const std::map<TeamName, Team, std::less<>>& teams() const { return teams_; }

  const ServiceConfig* FindService(std::string_view name) const override;
  TeamName TeamOf(std::string_view service) const override;
  EndpointEntry FindEndpoint(std::string_view name) const override;
  std::vector<ServiceName> Services() const override;

 private:
  struct StringHash {
    using is_transparent = void;
    std::size_t operator()(std::string_view text) const {
      return std::hash<std::string_view>{}(text);
    }
  };
  template <typename Value>
  using NameMap =
      std::unordered_map<std::string, Value, StringHash, std::equal_to<>>;

  struct ServiceIndexEntry {
    const ServiceConfig* service = nullptr;
    const TeamName* team = nullptr;
  };
  struct EndpointIndexEntry {
    const EndpointConfig* endpoint = nullptr;
    ServiceIndexEntry service;
  };

  void RebuildIndex() const;

  std::map<TeamName, Team, std::less<>> teams_;
  ConfigDigest digest_;
  // The index is rebuilt at the first read after a change, so that a starting
  // proxy that applies hundreds of teams in sequence builds it once.
  mutable bool index_valid_ = true;
  mutable NameMap<ServiceIndexEntry> services_;
  mutable NameMap<EndpointIndexEntry> endpoints_;
};

}  // namespace carawayhaven

#endif  // CARAWAYHAVEN_CORE_CONFIG_CONFIG_STORE_H_
