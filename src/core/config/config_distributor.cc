#include "core/config/config_distributor.h"

#include <algorithm>
#include <limits>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <variant>

#include "core/membership/member_view.h"

namespace carawayhaven {
namespace {

// Minimum time between two watches, in case the store answers them at once.
constexpr Duration kMinWatchInterval = std::chrono::milliseconds(20);
// Sorts after every team name; marks the end of the last request.
constexpr char kEndOfTeamNames[] = "~";
constexpr std::uint64_t kNothingNewer =
    std::numeric_limits<std::uint64_t>::max();

// Services without an entry are claimed since the version that was lost, not
// since the one that writing the value again creates.
std::string WithClaims(const ConfigStore::Team& team) {
  std::optional<TeamObject> object = TeamObject::Parse(team.value);
  if (!object.has_value()) return team.value;
  for (const ServiceConfig& service : team.config->services) {
    object->declared_since.emplace(service.name, team.version);
  }
  std::string value = object->Format();
  return value.size() > TeamObject::kMaxBytes ? team.value : value;
}

}  // namespace

ConfigDistributor::ConfigDistributor(ConfigStore& configs,
                                     PlatformStore& platform, PeerLink& link,
                                     const MemberView& members,
                                     std::mt19937_64& random)
    : configs_(configs),
      platform_(platform),
      link_(link),
      members_(members),
      random_(random),
      alive_(std::make_shared<ConfigDistributor*>(this)) {}

void ConfigDistributor::OnSubmissionAccepted(std::string_view team,
                                             std::uint64_t version,
                                             std::string_view value,
                                             TimePoint now) {
  now_ = now;
  if (Apply(team, version, value, now)) Disseminate(team, version, value, {});
}

void ConfigDistributor::OnPeerMessage(const VmName& vm,
                                      const PeerMessage& message,
                                      TimePoint now) {
  now_ = now;
  if (const auto* update = std::get_if<ConfigUpdateMessage>(&message)) {
    OnConfigUpdate(vm, *update, now);
  } else if (const auto* request =
                 std::get_if<ConfigRequestMessage>(&message)) {
    OnConfigRequest(vm, *request);
  } else if (const auto* heartbeat = std::get_if<HeartbeatMessage>(&message)) {
    OnDigest(vm, heartbeat->digest, now);
  }
}

void ConfigDistributor::OnPeerLost(const VmName& vm, TimePoint /*now*/) {
  if (vm == requested_peer_) next_request_allowed_ = TimePoint::min();
}

void ConfigDistributor::Tick(TimePoint now) {
  now_ = now;
  next_tick_ = now + kWatcherRoleCheckPeriod;
  WriteLostTexts(now);
  if (watch_in_flight_) return;
  if (initial_list_done_ && !IsWatcher()) return;
  if (now < next_watch_allowed_) {
    next_tick_ = std::min(next_tick_, next_watch_allowed_);
    return;
  }
  StartWatch();
}

void ConfigDistributor::OnConfigUpdate(const VmName& from,
                                       const ConfigUpdateMessage& update,
                                       TimePoint now) {
  if (!Apply(update.team, update.version, update.text, now)) return;
  // The replies to a request can be hundreds of versions that the other peers
  // already have, so they are not forwarded. A new version from the same peer
  // during this time reaches the other peers after a digest mismatch.
  if (from == requested_peer_ && now < reply_window_end_) return;
  Disseminate(update.team, update.version, update.text, from);
}

void ConfigDistributor::OnConfigRequest(const VmName& from,
                                        const ConfigRequestMessage& request) {
  const auto& teams = configs_.teams();
  auto entry = teams.begin();
  auto end = teams.end();
  if (!request.versions.empty()) {
    entry = teams.lower_bound(request.versions.front().team);
    end = teams.upper_bound(request.versions.back().team);
  }
  std::map<std::string_view, std::uint64_t> known;
  for (const TeamVersion& version : request.versions) {
    known[version.team] = version.version;
  }
  std::size_t bytes = 0;
  for (; entry != end && bytes < kMaxReplyBytes; ++entry) {
    const TeamName& name = entry->first;
    const ConfigStore::Team& team = entry->second;
    const auto requested = known.find(name);
    const std::uint64_t version =
        requested == known.end() ? 0 : requested->second;
    const auto send = [&](std::uint64_t new_version, const std::string& value) {
      bytes += value.size();
      if (link_.Send(from, ConfigUpdateMessage{name, new_version, value})) {
        ++counters_.updates_sent;
      }
    };
    // The valid version is sent before a newer rejected one, so that a proxy
    // that starts while the newest version is a rejected one gets the same
    // version in force as the other proxies.
    if (team.version > version) send(team.version, team.value);
    if (team.highest_seen > team.version && team.highest_seen > version) {
      send(team.highest_seen, team.rejected_value);
    }
  }
}

void ConfigDistributor::OnDigest(const VmName& from, const ConfigDigest& digest,
                                 TimePoint now) {
  if (digest == configs_.digest()) {
    digest_mismatch_since_ = TimePoint::max();
    // A starting proxy whose digest equals that of a peer needs no initial
    // list. This reduces the load on the store when a rack of VMs starts at
    // once.
    if (digest.count > 0) initial_list_done_ = true;
    return;
  }
  if (digest.count == 0) return;
  digest_mismatch_since_ = std::min(digest_mismatch_since_, now);
  const bool in_grace_period =
      last_change_at_ != TimePoint::min() &&
      now - last_change_at_ < kDigestMismatchGracePeriod &&
      now - digest_mismatch_since_ < kMinRequestInterval;
  if (in_grace_period || now < next_request_allowed_) return;
  SendRequest(from, now);
}

bool ConfigDistributor::Apply(std::string_view team, std::uint64_t version,
                              std::string_view value, TimePoint now) {
  switch (configs_.Apply(team, version, value)) {
    case ApplyResult::kStale:
      return false;
    case ApplyResult::kReplaced:
      AddLostText(team, version, WithClaims(*configs_.FindTeam(team)), now);
      return false;
    case ApplyResult::kLost:
      AddLostText(team, configs_.FindTeam(team)->version, value, now);
      return false;
    case ApplyResult::kApplied:
      ++counters_.applied;
      break;
    case ApplyResult::kRejected:
      ++counters_.rejected;
      break;
  }
  last_change_at_ = now;
  const auto lost = lost_texts_.find(team);
  if (lost != lost_texts_.end() && lost->second.expected < version) {
    lost_texts_.erase(lost);
  }
  return true;
}

void ConfigDistributor::Disseminate(std::string_view team,
                                    std::uint64_t version,
                                    std::string_view value,
                                    const VmName& except) {
  // A value that does not fit a frame is distributed by the store only.
  const bool too_long = value.size() > TeamObject::kMaxBytes;
  const ConfigUpdateMessage update{TeamName(team), version,
                                   std::string(too_long ? "" : value)};
  std::vector<VmName> peers = members_.Peers();
  std::erase(peers, except);
  const std::size_t count = std::min(kUpdateFanOut, peers.size());
  for (std::size_t i = 0; i < count; ++i) {
    std::swap(peers[i], peers[i + random_() % (peers.size() - i)]);
    if (link_.Send(peers[i], update)) ++counters_.updates_sent;
  }
}

void ConfigDistributor::SendRequest(const VmName& to, TimePoint now) {
  ConfigRequestMessage request;
  const auto& teams = configs_.teams();
  const bool split = teams.size() > kMaxTeamsPerRequest;
  // A request covers the names from its first to its last entry. A last entry
  // with the version kNothingNewer requests nothing and only ends the range.
  if (split) request.versions.push_back({"", 0});
  bool sent = true;
  for (const auto& [name, team] : teams) {
    if (request.versions.size() >= kMaxTeamsPerRequest) {
      request.versions.push_back({name, kNothingNewer});
      sent = link_.Send(to, request) && sent;
      ++counters_.requests_sent;
      request.versions.clear();
    }
    request.versions.push_back({name, team.version});
  }
  if (split) {
    request.versions.push_back({kEndOfTeamNames, kNothingNewer});
  } else if (!teams.empty()) {
    request.versions.insert(request.versions.begin(), {"", 0});
    request.versions.push_back({kEndOfTeamNames, kNothingNewer});
  }
  sent = link_.Send(to, request) && sent;
  ++counters_.requests_sent;
  if (!sent) return;
  next_request_allowed_ = now + kMinRequestInterval;
  requested_peer_ = to;
  reply_window_end_ = now + kRequestReplyWindow;
}

void ConfigDistributor::StartWatch() {
  watch_in_flight_ = true;
  ++counters_.store_calls;
  next_watch_allowed_ = now_ + kMinWatchInterval;
  const std::weak_ptr<ConfigDistributor*> alive = alive_;
  platform_.Watch(kTeamsPrefix, revision_, [alive](const StoreReply& reply) {
    const auto self = alive.lock();
    if (self != nullptr) (*self)->OnWatchReply(reply);
  });
}

void ConfigDistributor::OnWatchReply(const StoreReply& reply) {
  watch_in_flight_ = false;
  next_tick_ = TimePoint::min();
  if (reply.status == StoreStatus::kRevisionTooOld) {
    revision_ = 0;
    return;
  }
  if (reply.status != StoreStatus::kOk) {
    const auto jitter = static_cast<Duration::rep>(
        random_() % static_cast<std::uint64_t>(backoff_.count()));
    // The callback gets no current time, and now_ can be up to
    // kWatcherRoleCheckPeriod old.
    next_watch_allowed_ = now_ + kWatcherRoleCheckPeriod +
                          std::max(Duration(jitter), kMinWatchInterval);
    backoff_ = std::min(backoff_ * 2, kWatchBackoffMax);
    return;
  }
  backoff_ = kWatchBackoffMin;
  const bool first = !initial_list_done_;
  initial_list_done_ = true;
  revision_ = std::max(revision_, reply.revision);
  const std::string_view prefix = kTeamsPrefix;
  for (const StoredObject& object : reply.objects) {
    if (!object.path.starts_with(prefix)) continue;
    std::string_view team = object.path;
    team.remove_prefix(prefix.size());
    if (!Apply(team, object.version, object.value, now_)) continue;
    // The initial list of a starting proxy is not disseminated.
    if (!first) Disseminate(team, object.version, object.value, {});
  }
  if (reply.complete) FindMissingTeams(reply);
}

void ConfigDistributor::FindMissingTeams(const StoreReply& list) {
  std::set<std::string_view> listed;
  for (const StoredObject& object : list.objects) listed.insert(object.path);
  for (const auto& [name, team] : configs_.teams()) {
    if (team.version == 0 || EraOf(team.version) >= EraOf(list.revision) ||
        listed.contains(kTeamsPrefix + name)) {
      continue;
    }
    AddLostText(name, 0, WithClaims(team), now_);
  }
}

void ConfigDistributor::AddLostText(std::string_view team,
                                    ObjectVersion expected,
                                    std::string_view value, TimePoint now) {
  LostText& lost = lost_texts_[TeamName(team)];
  if (!lost.value.empty() && lost.expected >= expected) return;
  lost = {expected, std::string(value), now, false};
  if (IsWatcher()) return;
  const auto jitter = static_cast<Duration::rep>(
      random_() % static_cast<std::uint64_t>(kLostTextDelay.count()));
  lost.write_at += kLostTextDelay + Duration(jitter);
}

void ConfigDistributor::WriteLostTexts(TimePoint now) {
  for (auto& [team, lost] : lost_texts_) {
    if (lost.in_flight || lost.write_at > now) continue;
    lost.in_flight = true;
    ++counters_.store_calls;
    platform_.Put(
        kTeamsPrefix + team, lost.value, lost.expected,
        [alive = std::weak_ptr(alive_), team = team](const StoreReply& reply) {
          const auto self = alive.lock();
          if (self != nullptr) (*self)->OnLostTextWritten(team, reply);
        });
  }
}

void ConfigDistributor::OnLostTextWritten(const TeamName& team,
                                          const StoreReply& reply) {
  const auto found = lost_texts_.find(team);
  if (found == lost_texts_.end()) return;
  if (reply.status == StoreStatus::kOk) {
    const std::string value = std::move(found->second.value);
    lost_texts_.erase(found);
    if (Apply(team, reply.object.version, value, now_)) {
      Disseminate(team, reply.object.version, value, {});
    }
  } else if (reply.status == StoreStatus::kConflict) {
    // The watch delivers the present object.
    lost_texts_.erase(found);
  } else {
    found->second.in_flight = false;
    found->second.write_at = now_ + kLostTextRetryDelay;
  }
}

bool ConfigDistributor::IsWatcher() const {
  return members_.IsAmongFirstInDataCentre(kWatcherRendezvousKey,
                                           kWatchersPerDataCentre);
}

}  // namespace carawayhaven
