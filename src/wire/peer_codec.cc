#include "wire/peer_codec.h"

#include <algorithm>
#include <cstring>
#include <string>
#include <utility>

#include "carawayhaven/error_messages.h"
#include "carawayhaven/exceptions.h"
#include "core/membership/vm_capacity.h"
#include "peer_generated.h"

namespace carawayhaven {
namespace {

constexpr std::int64_t kNoMaxAge = -1;
constexpr Duration kUnknownTime{-1};
// Upper bound of a duration in a message (about 36,000 years). Larger values
// could overflow Duration.
constexpr std::int64_t kMaxMicroseconds = 1LL << 60;

using flatbuffers::FlatBufferBuilder;
using flatbuffers::Offset;

Duration DecodeDuration(std::int64_t microseconds) {
  if (microseconds > kMaxMicroseconds || microseconds < -kMaxMicroseconds) {
    throw DecodeError(error_messages::kMalformedPeerMessage);
  }
  return Duration(microseconds);
}

std::string ToString(const flatbuffers::String* text) { return text->str(); }

wire::Position EncodePosition(const LogPosition& position) {
  return {position.term, position.index};
}

LogPosition DecodePosition(const wire::Position* position) {
  if (position == nullptr) return {};
  // The copy avoids a misaligned read: the verifier does not check the
  // alignment of the elements of a vector.
  wire::Position copy;
  std::memcpy(&copy, position, sizeof(copy));
  return {copy.term(), copy.index()};
}

// Converts an encoded enum value. Throws DecodeError if it is greater than
// `last`.
template <typename Enum>
Enum DecodeEnum(std::uint8_t value, Enum last) {
  if (value > static_cast<std::uint8_t>(last)) {
    throw DecodeError(error_messages::kMalformedPeerMessage);
  }
  return static_cast<Enum>(value);
}

// Visitor that encodes a message and returns the type and the value of its
// payload union. The schema has other names for a few concepts: RightRequest,
// GrantedRight and RightReply are the messages of primary leases, duty_version
// is the version of the leader record, and holder is the leader.
class Encoder {
 public:
  using Payload = std::pair<wire::Payload, Offset<void>>;

  Encoder(FlatBufferBuilder& builder, TimePoint now)
      : builder_(builder), now_(now) {}

  Payload operator()(const HelloMessage& hello) {
    return {wire::Payload_Hello,
            wire::CreateHello(
                builder_, AddString(hello.vm), AddString(hello.data_centre),
                AddString(hello.address), hello.incarnation, hello.capacity)
                .Union()};
  }

  Payload operator()(const ForwardMessage& forward) {
    const auto endpoint = AddString(forward.endpoint);
    const auto request = EncodeRequest(forward.request);
    return {wire::Payload_Forward,
            wire::CreateForward(builder_, forward.correlation, endpoint,
                                forward.term, request)
                .Union()};
  }

  Payload operator()(const ForwardReplyMessage& reply) {
    const Outcome& outcome = reply.outcome;
    const auto payload = AddString(outcome.payload);
    const auto served_by = AddString(outcome.served_by);
    const wire::Position position = EncodePosition(outcome.position);
    return {wire::Payload_ForwardReply,
            wire::CreateForwardReply(
                builder_, reply.correlation, reply.term,
                static_cast<std::uint8_t>(outcome.verdict),
                static_cast<std::uint8_t>(outcome.reason), payload, &position,
                served_by, outcome.from_replica, outcome.retry_after.count())
                .Union()};
  }

  Payload operator()(const HeartbeatMessage& heartbeat) {
    std::vector<Offset<wire::VmRecord>> changes;
    for (const VmRecord& record : heartbeat.changes) {
      changes.push_back(EncodeVmRecord(record));
    }
    const auto sender = EncodeVmRecord(heartbeat.sender);
    const auto change_vector = builder_.CreateVector(changes);
    return {wire::Payload_Heartbeat,
            wire::CreateHeartbeat(builder_, sender, change_vector,
                                  heartbeat.digest.count, heartbeat.digest.hash,
                                  heartbeat.reply)
                .Union()};
  }

  Payload operator()(const ConfigUpdateMessage& update) {
    const auto team = AddString(update.team);
    const auto text = AddString(update.text);
    return {
        wire::Payload_ConfigUpdate,
        wire::CreateConfigUpdate(builder_, team, update.version, text).Union()};
  }

  Payload operator()(const ConfigRequestMessage& request) {
    std::vector<Offset<wire::TeamVersion>> versions;
    for (const TeamVersion& entry : request.versions) {
      versions.push_back(wire::CreateTeamVersion(
          builder_, AddString(entry.team), entry.version));
    }
    const auto vector = builder_.CreateVector(versions);
    return {wire::Payload_ConfigRequest,
            wire::CreateConfigRequest(builder_, vector).Union()};
  }

  Payload operator()(const GroupUpdateMessage& update) {
    std::vector<wire::Position> starts;
    for (const LogPosition& start : update.term_starts) {
      starts.push_back(EncodePosition(start));
    }
    const auto service = AddString(update.service);
    const auto primary = AddString(update.primary);
    const auto vector = builder_.CreateVectorOfStructs(starts);
    return {
        wire::Payload_GroupUpdate,
        wire::CreateGroupUpdate(builder_, service, update.term, primary, vector)
            .Union()};
  }

  Payload operator()(const SuspectReportMessage& report) {
    const auto service = AddString(report.service);
    const auto primary = AddString(report.primary);
    const auto observer = AddString(report.observer);
    return {wire::Payload_SuspectReport,
            wire::CreateSuspectReport(builder_, service, report.term, primary,
                                      observer, report.suspected)
                .Union()};
  }

  Payload operator()(const LeaseRequestMessage& request) {
    std::vector<Offset<wire::PrimaryReport>> reports;
    for (const PrimaryReport& report : request.reports) {
      const auto service = AddString(report.service);
      const auto endpoint = AddString(report.endpoint);
      reports.push_back(wire::CreatePrimaryReport(builder_, service, endpoint,
                                                  report.answer_age.count(),
                                                  report.failing));
    }
    std::vector<Offset<flatbuffers::String>> services;
    for (const ServiceName& service : request.acknowledged_of) {
      services.push_back(AddString(service));
    }
    const auto vector = builder_.CreateVector(reports);
    const auto service_vector = builder_.CreateVector(services);
    return {wire::Payload_RightRequest,
            wire::CreateRightRequest(builder_, request.correlation,
                                     request.config_version,
                                     request.leader_record_version, vector,
                                     request.store_age.count(), service_vector)
                .Union()};
  }

  Payload operator()(const LeaseReplyMessage& reply) {
    std::vector<Offset<wire::GrantedRight>> lease_offsets;
    for (const LeaseGrant& lease : reply.leases) {
      const auto service = AddString(lease.service);
      const auto endpoint = AddString(lease.endpoint);
      const wire::Position position = EncodePosition(lease.position);
      lease_offsets.push_back(wire::CreateGrantedRight(
          builder_, service, endpoint, lease.term, lease.time_left.count(),
          &position, lease.position_age.count()));
    }
    std::vector<Offset<wire::PrimaryAbsence>> absences;
    for (const PrimaryAbsence& absence : reply.absences) {
      const auto service = AddString(absence.service);
      const Duration ready_in = absence.ready_in.value_or(kUnknownTime);
      absences.push_back(
          wire::CreatePrimaryAbsence(builder_, service, ready_in.count()));
    }
    std::vector<Offset<wire::AcknowledgedPosition>> acknowledged;
    for (const AcknowledgedPosition& entry : reply.acknowledged) {
      const auto service = AddString(entry.service);
      const wire::Position position = EncodePosition(entry.position);
      acknowledged.push_back(
          wire::CreateAcknowledgedPosition(builder_, service, &position));
    }
    const auto leader = AddString(reply.leader);
    const auto lease_vector = builder_.CreateVector(lease_offsets);
    const auto absence_vector = builder_.CreateVector(absences);
    const auto acknowledged_vector = builder_.CreateVector(acknowledged);
    return {wire::Payload_RightReply,
            wire::CreateRightReply(
                builder_, reply.correlation, leader, reply.leader_age.count(),
                lease_vector, absence_vector, reply.leader_record_version,
                reply.config_version, reply.config_age.count(),
                acknowledged_vector, reply.running_for.count())
                .Union()};
  }

  Payload operator()(const LimitRequestMessage& request) {
    const auto wanted = EncodeLimitAmounts(request.wanted);
    return {wire::Payload_LimitRequest,
            wire::CreateLimitRequest(builder_, request.correlation, wanted)
                .Union()};
  }

  Payload operator()(const LimitReplyMessage& reply) {
    const auto granted = EncodeLimitAmounts(reply.granted);
    return {
        wire::Payload_LimitReply,
        wire::CreateLimitReply(builder_, reply.correlation, granted).Union()};
  }

 private:
  using LimitAmounts = Offset<flatbuffers::Vector<Offset<wire::LimitAmount>>>;

  LimitAmounts EncodeLimitAmounts(const std::vector<LimitAmount>& amounts) {
    std::vector<Offset<wire::LimitAmount>> offsets;
    offsets.reserve(amounts.size());
    for (const LimitAmount& amount : amounts) {
      offsets.push_back(wire::CreateLimitAmount(
          builder_, AddString(amount.organisation), amount.thousandths));
    }
    return builder_.CreateVector(offsets);
  }

  Offset<flatbuffers::String> AddString(const std::string& text) {
    return builder_.CreateString(text);
  }

  Offset<wire::VmRecord> EncodeVmRecord(const VmRecord& record) {
    const auto vm = AddString(record.vm);
    const auto data_centre = AddString(record.data_centre);
    const auto address = AddString(record.address);
    return wire::CreateVmRecord(
        builder_, vm, data_centre, address, record.incarnation, record.sequence,
        static_cast<std::uint8_t>(record.state), record.capacity,
        record.load_ms, record.has_organisations);
  }

  Offset<wire::Request> EncodeRequest(const Request& request) {
    const auto service = AddString(request.service);
    const auto team = AddString(request.team);
    const auto statement = AddString(request.statement);
    const auto parameters = AddString(request.parameters);
    const auto id = AddString(request.id.value);
    const auto transaction = AddString(request.transaction);
    const auto traceparent = AddString(request.traceparent);
    const wire::Position min_position = EncodePosition(request.min_position);
    const std::int64_t max_age =
        request.max_age ? request.max_age->count() : kNoMaxAge;
    return wire::CreateRequest(
        builder_, service, team, statement, parameters,
        static_cast<std::uint8_t>(request.access), request.idempotent, id,
        request.id.attempt, max_age, (request.deadline - now_).count(),
        &min_position, static_cast<std::uint8_t>(request.kind), transaction,
        traceparent);
  }

  FlatBufferBuilder& builder_;
  TimePoint now_;
};

VmRecord DecodeVmRecord(const wire::VmRecord& record) {
  return {ToString(record.vm()),
          ToString(record.data_centre()),
          ToString(record.address()),
          record.incarnation(),
          record.sequence(),
          DecodeEnum(record.state(), VmState::kDead),
          std::min(record.capacity(), kMaxVmCapacity),
          record.load_ms(),
          record.has_organisations()};
}

Request DecodeRequest(const wire::Request& from, TimePoint now) {
  Request request;
  request.kind = DecodeEnum(from.kind(), RequestKind::kResolve);
  request.service = ToString(from.service());
  request.team = ToString(from.team());
  request.statement = ToString(from.statement());
  request.parameters = ToString(from.parameters());
  request.access = DecodeEnum(from.access(), AccessMode::kWrite);
  request.idempotent = from.idempotent();
  request.id = {ToString(from.request_id()), from.attempt()};
  if (from.max_age_us() >= 0) {
    request.max_age = DecodeDuration(from.max_age_us());
  }
  request.deadline = now + DecodeDuration(from.time_left_us());
  request.min_position = DecodePosition(from.min_position());
  request.transaction = ToString(from.transaction());
  request.traceparent = ToString(from.traceparent());
  return request;
}

ForwardMessage DecodeForward(const wire::Forward& forward, TimePoint now) {
  return {forward.correlation(), ToString(forward.endpoint()), forward.term(),
          DecodeRequest(*forward.request(), now)};
}

ForwardReplyMessage DecodeForwardReply(const wire::ForwardReply& reply) {
  Outcome outcome;
  outcome.verdict = DecodeEnum(reply.verdict(), Verdict::kMayHaveRun);
  outcome.reason = DecodeEnum(reply.reason(), Reason::kStatementError);
  outcome.payload = ToString(reply.payload());
  outcome.position = DecodePosition(reply.position());
  outcome.served_by = ToString(reply.served_by());
  outcome.from_replica = reply.from_replica();
  outcome.retry_after = DecodeDuration(reply.retry_after_us());
  return {reply.correlation(), reply.term(), std::move(outcome)};
}

HeartbeatMessage DecodeHeartbeat(const wire::Heartbeat& heartbeat) {
  HeartbeatMessage message;
  message.sender = DecodeVmRecord(*heartbeat.sender());
  for (const wire::VmRecord* record : *heartbeat.changes()) {
    message.changes.push_back(DecodeVmRecord(*record));
  }
  message.digest = {heartbeat.digest_count(), heartbeat.digest_hash()};
  message.reply = heartbeat.reply();
  return message;
}

ConfigRequestMessage DecodeConfigRequest(const wire::ConfigRequest& request) {
  ConfigRequestMessage message;
  for (const wire::TeamVersion* entry : *request.versions()) {
    message.versions.push_back({ToString(entry->team()), entry->version()});
  }
  return message;
}

GroupUpdateMessage DecodeGroupUpdate(const wire::GroupUpdate& update) {
  GroupUpdateMessage message{ToString(update.service()),
                             update.term(),
                             ToString(update.primary()),
                             {}};
  for (const wire::Position* start : *update.term_starts()) {
    message.term_starts.push_back(DecodePosition(start));
  }
  return message;
}

LeaseRequestMessage DecodeLeaseRequest(const wire::RightRequest& request) {
  LeaseRequestMessage message{request.correlation(),
                              request.config_version(),
                              request.duty_version(),
                              {},
                              DecodeDuration(request.store_age_us())};
  for (const wire::PrimaryReport* report : *request.reports()) {
    message.reports.push_back(
        {ToString(report->service()), ToString(report->endpoint()),
         DecodeDuration(report->answer_age_us()), report->failing()});
  }
  if (request.acknowledged_of() == nullptr) return message;
  for (const flatbuffers::String* service : *request.acknowledged_of()) {
    message.acknowledged_of.push_back(ToString(service));
  }
  return message;
}

LeaseReplyMessage DecodeLeaseReply(const wire::RightReply& reply) {
  LeaseReplyMessage message{reply.correlation(),
                            ToString(reply.holder()),
                            DecodeDuration(reply.holder_age_us()),
                            {},
                            {},
                            reply.duty_version(),
                            reply.config_version(),
                            DecodeDuration(reply.config_age_us()),
                            {},
                            DecodeDuration(reply.running_for_us())};
  for (const wire::GrantedRight* lease : *reply.rights()) {
    message.leases.push_back({ToString(lease->service()),
                              ToString(lease->endpoint()), lease->term(),
                              DecodeDuration(lease->time_left_us()),
                              DecodePosition(lease->position()),
                              DecodeDuration(lease->position_age_us())});
  }
  if (reply.acknowledged() != nullptr) {
    for (const wire::AcknowledgedPosition* entry : *reply.acknowledged()) {
      // Without a position, nothing is known; zero would mean no commit.
      if (entry->position() == nullptr) continue;
      message.acknowledged.push_back(
          {ToString(entry->service()), DecodePosition(entry->position())});
    }
  }
  if (reply.absences() == nullptr) return message;
  for (const wire::PrimaryAbsence* absence : *reply.absences()) {
    const Duration ready_in = DecodeDuration(absence->ready_in_us());
    message.absences.push_back(
        {ToString(absence->service()),
         ready_in < Duration{0} ? std::nullopt : std::optional(ready_in)});
  }
  return message;
}

std::vector<LimitAmount> DecodeLimitAmounts(
    const flatbuffers::Vector<flatbuffers::Offset<wire::LimitAmount>>&
        amounts) {
  std::vector<LimitAmount> decoded;
  for (const wire::LimitAmount* amount : amounts) {
    decoded.push_back(
        {ToString(amount->organisation()), amount->thousandths()});
  }
  return decoded;
}

}  // namespace

std::vector<std::uint8_t> EncodePeerMessage(const PeerMessage& message,
                                            TimePoint now) {
  FlatBufferBuilder builder;
  const auto [type, payload] = std::visit(Encoder(builder, now), message);
  builder.Finish(wire::CreatePeerMessage(builder, type, payload));
  return {builder.GetBufferPointer(),
          builder.GetBufferPointer() + builder.GetSize()};
}

PeerMessage DecodePeerMessage(std::span<const std::uint8_t> bytes,
                              TimePoint now) {
  flatbuffers::Verifier verifier(bytes.data(), bytes.size());
  if (!wire::VerifyPeerMessageBuffer(verifier)) {
    throw DecodeError(error_messages::kMalformedPeerMessage);
  }
  const wire::PeerMessage& message = *wire::GetPeerMessage(bytes.data());
  switch (message.payload_type()) {
    case wire::Payload_Hello: {
      const wire::Hello& hello = *message.payload_as_Hello();
      return HelloMessage{ToString(hello.vm()), ToString(hello.data_centre()),
                          ToString(hello.address()), hello.incarnation(),
                          std::min(hello.capacity(), kMaxVmCapacity)};
    }
    case wire::Payload_Forward:
      return DecodeForward(*message.payload_as_Forward(), now);
    case wire::Payload_ForwardReply:
      return DecodeForwardReply(*message.payload_as_ForwardReply());
    case wire::Payload_Heartbeat:
      return DecodeHeartbeat(*message.payload_as_Heartbeat());
    case wire::Payload_ConfigUpdate: {
      const wire::ConfigUpdate& update = *message.payload_as_ConfigUpdate();
      return ConfigUpdateMessage{ToString(update.team()), update.version(),
                                 ToString(update.text())};
    }
    case wire::Payload_ConfigRequest:
      return DecodeConfigRequest(*message.payload_as_ConfigRequest());
    case wire::Payload_GroupUpdate:
      return DecodeGroupUpdate(*message.payload_as_GroupUpdate());
    case wire::Payload_SuspectReport: {
      const wire::SuspectReport& report = *message.payload_as_SuspectReport();
      return SuspectReportMessage{
          ToString(report.service()), report.term(), ToString(report.primary()),
          ToString(report.observer()), report.suspected()};
    }
    case wire::Payload_RightRequest:
      return DecodeLeaseRequest(*message.payload_as_RightRequest());
    case wire::Payload_RightReply:
      return DecodeLeaseReply(*message.payload_as_RightReply());
    case wire::Payload_LimitRequest: {
      const wire::LimitRequest& request = *message.payload_as_LimitRequest();
      return LimitRequestMessage{request.correlation(),
                                 DecodeLimitAmounts(*request.wanted())};
    }
    case wire::Payload_LimitReply: {
      const wire::LimitReply& reply = *message.payload_as_LimitReply();
      return LimitReplyMessage{reply.correlation(),
                               DecodeLimitAmounts(*reply.granted())};
    }
    default:
      throw DecodeError(error_messages::kMalformedPeerMessage);
  }
}

}  // namespace carawayhaven
