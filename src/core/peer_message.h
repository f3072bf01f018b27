#ifndef CARAWAYHAVEN_CORE_PEER_MESSAGE_H_
#define CARAWAYHAVEN_CORE_PEER_MESSAGE_H_

#include <cstdint>
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
  /// Rises with each start of the process.
  std::uint64_t incarnation = 0;
};

/// A request for the owner of the endpoint's pool. The request's deadline
/// travels as time left and is rebuilt with the receiver's clock.
struct ForwardMessage {
  CorrelationId correlation = 0;
  EndpointName endpoint;
  /// Term of the group as the front knows it.
  Term term = 0;
  Request request;
};

/// Ends the request of a ForwardMessage.
struct ForwardReplyMessage {
  CorrelationId correlation = 0;
  /// Term of the group as the owner knows it.
  Term term = 0;
  Outcome outcome;
};

enum class VmState : std::uint8_t { kAlive, kLeaving, kSuspected, kDead };

/// True when a VM in that state does not answer.
inline bool IsSuspectedOrDead(VmState state) {
  return state == VmState::kSuspected || state == VmState::kDead;
}

/// What one proxy says of another (or of itself).
struct VmRecord {
  VmName vm;
  DataCentreName data_centre;
  std::string address;
  std::uint64_t incarnation = 0;
  /// Rises with each heartbeat period of the VM that the record is about.
  std::uint64_t sequence = 0;
  VmState state = VmState::kAlive;
};

/// Version of a team's configuration: the store's version of its object.
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
  /// Recent changes about other VMs.
  std::vector<VmRecord> changes;
  ConfigDigest digest;
  /// True in the answer to a heartbeat; an answer is not answered again.
  bool reply = false;
};

/// A team's text with its version.
struct ConfigUpdateMessage {
  TeamName team;
  std::uint64_t version = 0;
  std::string text;
};

/// Asks for every team text that is newer than the versions listed.
struct ConfigRequestMessage {
  std::vector<TeamVersion> versions;
};

/// A new primary of a service's group.
struct GroupUpdateMessage {
  ServiceName service;
  Term term = 0;
  EndpointName primary;
  /// Start index of each recent term, oldest first.
  std::vector<LogPosition> term_starts;
};

/// One observer's view of a group's primary.
struct SuspectReportMessage {
  ServiceName service;
  Term term = 0;
  EndpointName primary;
  /// Endpoint whose pool the sender owns.
  EndpointName observer;
  bool suspected = false;
};

/// How one VM finds the primary of a service.
struct PrimaryReport {
  ServiceName service;
  EndpointName endpoint;
  /// Time since the endpoint last answered the sender.
  Duration answer_age{0};
  /// It has not answered what the sender asked of it since then.
  bool failing = false;
};

/// Asks a peer for rights to use primaries.
struct LeaseRequestMessage {
  CorrelationId correlation = 0;
  /// Version of the sender's route table.
  std::uint64_t config_version = 0;
  /// Version of the duty object that the sender has seen.
  std::uint64_t leader_record_version = 0;
  std::vector<PrimaryReport> reports;
  /// Time since the store last answered the sender; negative when it is not
  /// known.
  Duration store_age{-1};
};

/// A right to use an endpoint as the primary of its service.
struct LeaseGrant {
  ServiceName service;
  EndpointName endpoint;
  Term term = 0;
  /// Counted from the moment at which the request was sent.
  Duration time_left{0};
  /// Position that the primary had `position_age` before the reply.
  LogPosition position;
  Duration position_age{0};
};

/// A service whose primary is being replaced.
struct PrimaryAbsence {
  ServiceName service;
  /// Time until rights are expected to be granted again.
  Duration ready_in{0};
};

/// The answer to a LeaseRequestMessage.
struct LeaseReplyMessage {
  CorrelationId correlation = 0;
  /// The VM that grants rights, as the sender knows it, and the time since the
  /// sender last heard of it.
  VmName leader;
  Duration leader_age{0};
  std::vector<LeaseGrant> leases;
  /// Filled by the holder only.
  std::vector<PrimaryAbsence> absences;
};

using PeerMessage =
    std::variant<HelloMessage, ForwardMessage, ForwardReplyMessage,
                 HeartbeatMessage, ConfigUpdateMessage, ConfigRequestMessage,
                 GroupUpdateMessage, SuspectReportMessage, LeaseRequestMessage,
                 LeaseReplyMessage>;

}  // namespace carawayhaven

#endif  // CARAWAYHAVEN_CORE_PEER_MESSAGE_H_
