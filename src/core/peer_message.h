#ifndef CARAWAYHAVEN_CORE_PEER_MESSAGE_H_
#define CARAWAYHAVEN_CORE_PEER_MESSAGE_H_

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "carawayhaven/log_position.h"
#include "carawayhaven/names.h"
#include "carawayhaven/outcome.h"
#include "carawayhaven/request.h"

namespace carawayhaven {

/// First message on each link between proxies.
struct HelloMessage {
  VmName vm;
  DataCentreName data_centre;
  /// Address ("IP:port") on which the VM accepts links from peers.
  std::string address;
  /// Increases with each start of the process.
  std::uint64_t incarnation = 0;
  /// As VmRecord::capacity.
  std::uint32_t capacity = 0;
};

/// Forwards a request to the owner of the endpoint's pool. The deadline is sent
/// as the remaining time, and the receiver computes the deadline with its own
/// clock.
struct ForwardMessage {
  CorrelationId correlation = 0;
  EndpointName endpoint;
  /// Term of the group that the forwarding proxy knows.
  Term term = 0;
  Request request;
};

/// The final reply to a ForwardMessage.
struct ForwardReplyMessage {
  CorrelationId correlation = 0;
  /// Term of the group that the pool owner knows.
  Term term = 0;
  Outcome outcome;
};

enum class VmState : std::uint8_t { kAlive, kLeaving, kSuspected, kDead };

/// True for the states of a VM that does not answer.
inline bool IsSuspectedOrDead(VmState state) {
  return state == VmState::kSuspected || state == VmState::kDead;
}

/// State of a proxy, reported by itself or by another proxy.
struct VmRecord {
  VmName vm;
  DataCentreName data_centre;
  std::string address;
  std::uint64_t incarnation = 0;
  /// Increases with each heartbeat period of the VM that the record describes.
  std::uint64_t sequence = 0;
  VmState state = VmState::kAlive;
  /// Thousandths of a core; zero if it is not known.
  std::uint32_t capacity = 0;
  /// Smoothed delay of the event loop in ms. Current only in a record that its
  /// VM itself sent.
  std::uint32_t load_ms = 0;
  /// The routes in force on the VM list organisations, so that callers have
  /// keys. Relaying VMs do not read the routes.
  bool has_organisations = false;
};

/// Version of a team's configuration: the version of its object in the store.
struct TeamVersion {
  TeamName team;
  std::uint64_t version = 0;
};

/// Digest of all applied team versions, for anti-entropy.
struct ConfigDigest {
  std::uint64_t count = 0;
  std::uint64_t hash = 0;

  friend bool operator==(const ConfigDigest&, const ConfigDigest&) = default;
};

struct HeartbeatMessage {
  VmRecord sender;
  /// Recently changed records of other VMs.
  std::vector<VmRecord> changes;
  ConfigDigest digest;
  /// True in the reply to a heartbeat. A reply is not replied to.
  bool reply = false;
};

/// The value of a team's object with its version.
struct ConfigUpdateMessage {
  TeamName team;
  std::uint64_t version = 0;
  std::string text;
};

/// Requests every team object that is newer than the versions listed. A list
/// covers the teams from its first to its last entry; an empty list covers all.
struct ConfigRequestMessage {
  std::vector<TeamVersion> versions;
};

/// Announces a new primary of a service's group.
struct GroupUpdateMessage {
  ServiceName service;
  Term term = 0;
  EndpointName primary;
  /// Start position of each recent term, oldest first.
  std::vector<LogPosition> term_starts;
};

/// Reports whether one observer suspects a group's primary.
struct SuspectReportMessage {
  ServiceName service;
  Term term = 0;
  EndpointName primary;
  /// Endpoint whose pool is owned by the sender.
  EndpointName observer;
  bool suspected = false;
};

/// What one VM has observed of a service's primary.
struct PrimaryReport {
  ServiceName service;
  EndpointName endpoint;
  /// Time since the last answer of the endpoint to the sender.
  Duration answer_age{0};
  /// A request of the sender to the endpoint has failed since then, and not
  /// long ago.
  bool failing = false;
};

/// Requests primary leases from a peer.
struct LeaseRequestMessage {
  CorrelationId correlation = 0;
  /// Version of the sender's route table.
  std::uint64_t config_version = 0;
  /// Version of the leader record that the sender has seen.
  std::uint64_t leader_record_version = 0;
  std::vector<PrimaryReport> reports;
  /// Time since the last reply of the store to the sender; negative when
  /// unknown.
  Duration store_age{-1};
  /// Services whose AcknowledgedPosition is asked for.
  std::vector<ServiceName> acknowledged_of = {};
};

/// The highest log position of a commit that the sender's process has reported
/// to a caller; zero if there was none. The sender has no valid primary lease
/// of the service, so that it reports no further commit without a new one.
struct AcknowledgedPosition {
  ServiceName service;
  LogPosition position;
};

/// Grants a primary lease: the permission to use an endpoint as the primary of
/// its service.
struct LeaseGrant {
  ServiceName service;
  EndpointName endpoint;
  Term term = 0;
  /// Remaining duration of the lease, counted from the time at which the
  /// request was sent.
  Duration time_left{0};
  /// Log position of the primary `position_age` before the reply.
  LogPosition position;
  Duration position_age{0};
};

/// A service whose primary is being replaced.
struct PrimaryAbsence {
  ServiceName service;
  /// Time until primary leases are expected to be granted again, or nothing if
  /// that is not known.
  std::optional<Duration> ready_in;
};

/// The reply to a LeaseRequestMessage. A new leader also sends one with
/// correlation zero to each VM, which tells the era of the store.
struct LeaseReplyMessage {
  CorrelationId correlation = 0;
  /// The leader, which grants the leases, as known to the sender; and the age
  /// of the sender's latest information that it grants them.
  VmName leader;
  Duration leader_age{0};
  std::vector<LeaseGrant> leases;
  /// Set by the leader only.
  std::vector<PrimaryAbsence> absences;
  /// Version of the leader record that the sender has seen; zero if unknown.
  std::uint64_t leader_record_version = 0;
  /// Version of the sender's route table; zero if unknown.
  std::uint64_t config_version = 0;
  /// Time since that version was known to be the latest one; negative when
  /// unknown.
  Duration config_age{-1};
  /// Of the services that were asked for.
  std::vector<AcknowledgedPosition> acknowledged = {};
  /// Time since the sender's process started; negative when unknown.
  Duration running_for{-1};
};

/// An organisation and a number of operations, in thousandths.
struct LimitAmount {
  OrganisationName organisation;
  std::uint32_t thousandths = 0;
};

/// Requests operations that the receiver may admit, to be admitted by the
/// sender instead.
struct LimitRequestMessage {
  CorrelationId correlation = 0;
  std::vector<LimitAmount> wanted;
};

/// The reply to a LimitRequestMessage. Organisations for which nothing is
/// granted are left out.
struct LimitReplyMessage {
  CorrelationId correlation = 0;
  std::vector<LimitAmount> granted;
};

using PeerMessage =
    std::variant<HelloMessage, ForwardMessage, ForwardReplyMessage,
                 HeartbeatMessage, ConfigUpdateMessage, ConfigRequestMessage,
                 GroupUpdateMessage, SuspectReportMessage, LeaseRequestMessage,
                 LeaseReplyMessage, LimitRequestMessage, LimitReplyMessage>;

}  // namespace carawayhaven

#endif  // CARAWAYHAVEN_CORE_PEER_MESSAGE_H_
