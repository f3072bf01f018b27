#include "core/config/config_store.h"

#include <xxhash.h>

#include <algorithm>
#include <array>
#include <tuple>
#include <utility>

#include "carawayhaven/error_messages.h"
#include "core/mutation.h"
#include "core/platform_store.h"

namespace carawayhaven {
namespace {

// The claim of a team to the names of a service and its endpoints. Claims are
// ordered by the version in which the team first declared the service.
struct Claim {
  std::uint64_t declared_since = 0;
  const TeamName* team = nullptr;
  const ServiceConfig* service = nullptr;
};

std::uint64_t HashTeamVersions(std::string_view team,
                               std::uint64_t highest_seen,
                               std::uint64_t version) {
  const std::array<std::uint64_t, 2> versions{highest_seen, version};
  return XXH3_64bits_withSeed(team.data(), team.size(),
                              XXH3_64bits(versions.data(), sizeof(versions)));
}

// Returns whether `object` is based on the submission, directly or through
// other submissions.
bool HasReplaced(const TeamObject& object, std::string_view submission) {
  return object.submission != submission &&
         std::any_of(object.earlier.begin(), object.earlier.end(),
                     [&](const EarlierSubmission& earlier) {
                       return earlier.submission == submission;
                     });
}

}  // namespace

ApplyResult ConfigStore::Apply(std::string_view team, std::uint64_t version,
                               std::string_view value) {
  const auto found = teams_.find(team);
  if (version == 0 ||
      (found != teams_.end() && version <= found->second.version &&
       !MutationEnabled(Mutation::kApplyOlderConfig))) {
    if (version == 0 || EraOf(version) == EraOf(found->second.version)) {
      return ApplyResult::kStale;
    }
    const auto lost = TeamObject::Parse(value);
    const auto in_force = TeamObject::Parse(found->second.value);
    return lost.has_value() && in_force.has_value() &&
                   HasReplaced(*lost, in_force->submission)
               ? ApplyResult::kLost
               : ApplyResult::kStale;
  }
  const std::uint64_t highest_seen =
      found == teams_.end() ? 0 : found->second.highest_seen;
  std::vector<ConfigError> errors;
  std::optional<TeamObject> object = TeamObject::Parse(value);
  if (object.has_value() && found != teams_.end() &&
      EraOf(version) > EraOf(found->second.version)) {
    const auto in_force = TeamObject::Parse(found->second.value);
    if (in_force.has_value() && HasReplaced(*in_force, object->submission)) {
      return ApplyResult::kReplaced;
    }
  }
  TeamConfigResult parsed;
  if (!object.has_value()) {
    errors.push_back({{}, error_messages::kMalformedTeamObject});
  } else {
    parsed = TeamConfigParser::Parse(object->text);
    errors = std::move(parsed.errors);
    if (parsed.config.has_value() && parsed.config->team != team) {
      errors.push_back(
          {{1, 1}, error_messages::kTeamMismatch + parsed.config->team});
    }
  }
  // A valid version lower than a rejected one is still applied when it is
  // higher than the version in force, because the rejected version may arrive
  // first.
  if (!errors.empty() && version <= highest_seen) return ApplyResult::kStale;

  Team& entry = found == teams_.end() ? teams_[TeamName(team)] : found->second;
  if (entry.highest_seen != 0) {
    digest_.hash ^= HashTeamVersions(team, entry.highest_seen, entry.version);
  } else {
    ++digest_.count;
  }
  entry.highest_seen = std::max(highest_seen, version);
  const bool is_valid = errors.empty();
  if (is_valid) {
    entry.version = version;
    entry.value = value;
    entry.config =
        std::make_shared<const TeamConfig>(*std::move(parsed.config));
    entry.declared_since = std::move(object->declared_since);
    if (entry.highest_seen == version) {
      entry.rejected_value.clear();
      entry.errors.clear();
    }
    index_valid_ = false;
  } else {
    // A value that exceeds the limit does not fit a peer message, so it is not
    // stored.
    entry.rejected_value = value.size() > TeamObject::kMaxBytes ? "" : value;
    entry.errors = std::move(errors);
  }
  digest_.hash ^= HashTeamVersions(team, entry.highest_seen, entry.version);
  return is_valid ? ApplyResult::kApplied : ApplyResult::kRejected;
}

const ConfigStore::Team* ConfigStore::FindTeam(std::string_view team) const {
  const auto found = teams_.find(team);
  return found == teams_.end() ? nullptr : &found->second;
}

const ServiceConfig* ConfigStore::FindService(std::string_view name) const {
  RebuildIndex();
  const auto found = services_.find(name);
  return found == services_.end() ? nullptr : found->second.service;
}

TeamName ConfigStore::TeamOf(std::string_view service) const {
  RebuildIndex();
  const auto found = services_.find(service);
  return found == services_.end() ? TeamName() : *found->second.team;
}

EndpointEntry ConfigStore::FindEndpoint(std::string_view name) const {
  RebuildIndex();
  const auto found = endpoints_.find(name);
  if (found == endpoints_.end()) return {};
  const EndpointIndexEntry& indexed = found->second;
  return {indexed.endpoint, indexed.service.service, *indexed.service.team};
}

std::vector<ServiceName> ConfigStore::Services() const {
  RebuildIndex();
  std::vector<ServiceName> names;
  names.reserve(services_.size());
  for (const auto& [name, entry] : services_) names.push_back(name);
  std::sort(names.begin(), names.end());
  return names;
}

void ConfigStore::RebuildIndex() const {
  if (index_valid_) return;
  index_valid_ = true;
  services_.clear();
  endpoints_.clear();
  std::vector<Claim> claims;
  for (const auto& [name, team] : teams_) {
    if (team.config == nullptr) continue;
    for (const ServiceConfig& service : team.config->services) {
      const auto declared_since = team.declared_since.find(service.name);
      // A claim cannot be newer than the version that contains it.
      claims.push_back({declared_since == team.declared_since.end()
                            ? team.version
                            : std::min(declared_since->second, team.version),
                        &name, &service});
    }
  }
  // The oldest claim wins. The order depends only on the versions in force, so
  // all proxies with the same versions derive the same services.
  std::sort(claims.begin(), claims.end(), [](const Claim& a, const Claim& b) {
    return std::tie(a.declared_since, *a.team, a.service->name) <
           std::tie(b.declared_since, *b.team, b.service->name);
  });
  for (const Claim& claim : claims) {
    const ServiceConfig& service = *claim.service;
    const bool name_taken =
        services_.contains(service.name) ||
        std::any_of(service.endpoints.begin(), service.endpoints.end(),
                    [this](const EndpointConfig& endpoint) {
                      return endpoints_.contains(endpoint.name);
                    });
    if (name_taken) continue;
    const ServiceIndexEntry entry{&service, claim.team};
    services_.emplace(service.name, entry);
    for (const EndpointConfig& endpoint : service.endpoints) {
      endpoints_.emplace(endpoint.name, EndpointIndexEntry{&endpoint, entry});
    }
  }
}

}  // namespace carawayhaven
