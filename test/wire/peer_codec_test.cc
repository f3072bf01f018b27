#include "wire/peer_codec.h"

#include <gtest/gtest.h>

#include <limits>
#include <sstream>
#include <string>

#include "carawayhaven/exceptions.h"
#include "fuzz_loop.h"
#include "peer_generated.h"

namespace carawayhaven {
namespace {

using Bytes = std::vector<std::uint8_t>;
using std::chrono::milliseconds;

constexpr TimePoint kNow{Duration{5'000'000}};
constexpr int kIterations = 20'000;
constexpr std::mt19937_64::result_type kRandomSeed = 20'263;

// Writes the fields of a message as text, so that the texts differ if the codec
// loses a field.
class FieldWriter {
 public:
  template <typename... Fields>
  void Add(const Fields&... fields) {
    ((text_ << fields << '|'), ...);
  }
  void operator()(const HelloMessage& m) {
    Add("hello", m.vm, m.data_centre, m.address, m.incarnation, m.capacity);
  }
  void operator()(const ForwardMessage& m) {
    const Request& r = m.request;
    Add("forward", m.correlation, m.endpoint, m.term, static_cast<int>(r.kind),
        r.service, r.team, r.statement, r.parameters,
        static_cast<int>(r.access), r.idempotent, r.id.value, r.id.attempt,
        r.max_age ? r.max_age->count() : -1,
        r.deadline.time_since_epoch().count(), r.min_position.term,
        r.min_position.index, r.transaction, r.traceparent);
  }
  void operator()(const ForwardReplyMessage& m) {
    const Outcome& o = m.outcome;
    Add("reply", m.correlation, m.term, static_cast<int>(o.verdict),
        static_cast<int>(o.reason), o.payload, o.position.term,
        o.position.index, o.served_by, o.from_replica, o.retry_after.count());
  }
  void operator()(const VmRecord& r) {
    Add(r.vm, r.data_centre, r.address, r.incarnation, r.sequence,
        static_cast<int>(r.state), r.capacity, r.load_ms, r.has_organisations);
  }
  void operator()(const HeartbeatMessage& m) {
    Add("heartbeat", m.digest.count, m.digest.hash, m.reply);
    (*this)(m.sender);
    for (const VmRecord& record : m.changes) (*this)(record);
  }
  void operator()(const ConfigUpdateMessage& m) {
    Add("config", m.team, m.version, m.text);
  }
  void operator()(const ConfigRequestMessage& m) {
    Add("wanted");
    for (const TeamVersion& v : m.versions) Add(v.team, v.version);
  }
  void operator()(const GroupUpdateMessage& m) {
    Add("group", m.service, m.term, m.primary);
    for (const LogPosition& p : m.term_starts) Add(p.term, p.index);
  }
  void operator()(const SuspectReportMessage& m) {
    Add("suspect", m.service, m.term, m.primary, m.observer, m.suspected);
  }
  void operator()(const LeaseRequestMessage& m) {
    Add("lease request", m.correlation, m.config_version,
        m.leader_record_version, m.reports.size());
    for (const ServiceName& service : m.acknowledged_of) Add(service);
    for (const PrimaryReport& r : m.reports) {
      Add(r.service, r.endpoint, r.answer_age.count(), r.failing);
    }
  }
  void operator()(const LeaseReplyMessage& m) {
    Add("lease reply", m.correlation, m.leader, m.leader_age.count(),
        m.leases.size(), m.leader_record_version, m.config_version,
        m.config_age.count());
    for (const LeaseGrant& r : m.leases) {
      Add(r.service, r.endpoint, r.term, r.time_left.count(), r.position.term,
          r.position.index, r.position_age.count());
    }
    for (const PrimaryAbsence& a : m.absences) {
      Add(a.service, a.ready_in ? a.ready_in->count() : -1);
    }
    for (const AcknowledgedPosition& a : m.acknowledged) {
      Add(a.service, a.position.term, a.position.index);
    }
    Add(m.running_for.count());
  }
  void operator()(const LimitRequestMessage& m) {
    Add("limit request", m.correlation);
    for (const LimitAmount& a : m.wanted) Add(a.organisation, a.thousandths);
  }
  void operator()(const LimitReplyMessage& m) {
    Add("limit reply", m.correlation);
    for (const LimitAmount& a : m.granted) Add(a.organisation, a.thousandths);
  }
  std::string text() const { return text_.str(); }

 private:
  std::ostringstream text_;
};

std::string FieldsOf(const PeerMessage& message) {
  FieldWriter writer;
  std::visit(writer, message);
  return writer.text();
}

Request FullRequest() {
  Request request;
  request.kind = RequestKind::kResolve;
  request.service = "registro-1";
  request.team = "registro";
  request.statement = "put";
  request.parameters = R"(["a",1])";
  request.access = AccessMode::kWrite;
  request.idempotent = true;
  request.id = {"id-1", 0x00030002};
  request.max_age = milliseconds(250);
  request.deadline = kNow + milliseconds(1500);
  request.min_position = {3, 40};
  request.transaction = "t/vm-1/7";
  request.traceparent = "00-aa-bb-01";
  return request;
}

const VmRecord kRecord{
    "vm-1", "zrh-a", "127.0.0.1:7001", 4, 9, VmState::kDead, 500, 35, true};

// A message of each kind with all fields set, and empty messages of some kinds.
const std::vector<PeerMessage>& Messages() {
  static const std::vector<PeerMessage> messages = {
      HelloMessage{"vm-1", "zrh-a", "127.0.0.1:7001", 12, 500},
      ForwardMessage{7, "registro-1-mdz", 3, FullRequest()},
      ForwardMessage{},
      ForwardReplyMessage{8,
                          4,
                          {Verdict::kMayHaveRun,
                           Reason::kStatementError,
                           "[1,2]",
                           {4, 55},
                           "registro-1-cor",
                           true,
                           milliseconds(20)}},
      HeartbeatMessage{kRecord, {kRecord, VmRecord{}}, {5, 77}, true},
      HeartbeatMessage{},
      ConfigUpdateMessage{"kitchen", 9, "team = \"kitchen\""},
      ConfigRequestMessage{{{"kitchen", 9}, {"registro", 2}}},
      ConfigRequestMessage{},
      GroupUpdateMessage{"registro-1", 5, "registro-1-par", {{4, 1}, {5, 80}}},
      SuspectReportMessage{"registro-1", 5, "registro-1-par", "registro-1-mdz",
                           true},
      LeaseRequestMessage{
          7,
          12,
          40,
          {{"registro-1", "registro-1-par", milliseconds(30), true}},
          milliseconds(250),
          {"registro-1", "registro-2"}},
      LeaseReplyMessage{
          9,
          "vm-1",
          milliseconds(40),
          {{"registro-1",
            "registro-1-par",
            5,
            milliseconds(900),
            {5, 80},
            milliseconds(20)}},
          {{"registro-2", milliseconds(1800)}, {"registro-3", std::nullopt}},
          41,
          12,
          milliseconds(2500),
          {{"registro-1", {5, 79}}},
          milliseconds(90000)},
      LimitRequestMessage{10, {{"lombard", 1250}, {"ferro", 1}}},
      LimitRequestMessage{},
      LimitReplyMessage{11, {{"lombard", 500}}}};
  return messages;
}

// Returns false if the decoder throws DecodeError. Other exceptions propagate
// and fail the test.
bool Decodes(const Bytes& bytes) {
  try {
    DecodePeerMessage(bytes, kNow);
    return true;
  } catch (const DecodeError&) {
    return false;
  }
}

// Guards against a field that the encoder or the decoder omits or confuses with
// another.
TEST(PeerCodec, EveryMessageKindKeepsItsFields) {
  for (const PeerMessage& message : Messages()) {
    const PeerMessage decoded =
        DecodePeerMessage(EncodePeerMessage(message, kNow), kNow);
    EXPECT_EQ(decoded.index(), message.index());
    EXPECT_EQ(FieldsOf(decoded), FieldsOf(message));
  }
}

// Guards against deadlines that are sent as times of the sender's clock, since
// the clocks of two VMs differ.
TEST(PeerCodec, DeadlineIsSentAsTimeLeft) {
  const TimePoint other_clock{Duration{900'000'000}};
  for (const auto left :
       {milliseconds(1500), milliseconds(0), milliseconds(-20)}) {
    ForwardMessage forward;
    forward.request.deadline = kNow + left;
    const auto decoded = std::get<ForwardMessage>(
        DecodePeerMessage(EncodePeerMessage(forward, kNow), other_clock));
    EXPECT_EQ(decoded.request.deadline, other_clock + left);
  }
}

// Guards against unknown enum values, such as those of another version, and
// out-of-range durations that are used without validation.
TEST(PeerCodec, ValuesOutOfRangeAreRefused) {
  const auto forward_with = [](auto change) {
    ForwardMessage message{7, "e", 3, FullRequest()};
    change(message.request);
    return EncodePeerMessage(message, kNow);
  };
  const auto reply_with = [](Verdict verdict, Reason reason) {
    ForwardReplyMessage message;
    message.outcome.verdict = verdict;
    message.outcome.reason = reason;
    return EncodePeerMessage(message, kNow);
  };
  HeartbeatMessage heartbeat;
  heartbeat.sender.state = static_cast<VmState>(4);
  const Duration endless{std::numeric_limits<std::int64_t>::max() / 2};
  const std::vector<Bytes> refused = {
      forward_with([](Request& r) { r.kind = static_cast<RequestKind>(5); }),
      forward_with([](Request& r) { r.access = static_cast<AccessMode>(2); }),
      forward_with([&](Request& r) { r.deadline = kNow + endless; }),
      forward_with([&](Request& r) { r.deadline = kNow - endless; }),
      forward_with([&](Request& r) { r.max_age = endless; }),
      reply_with(static_cast<Verdict>(3), Reason::kNone),
      reply_with(Verdict::kRan, static_cast<Reason>(16)),
      EncodePeerMessage(heartbeat, kNow)};
  for (const Bytes& bytes : refused) {
    EXPECT_THROW(DecodePeerMessage(bytes, kNow), DecodeError);
  }
}

// Guards against a payload type of a later version that is not refused.
TEST(PeerCodec, UnknownPayloadTypeIsRefused) {
  flatbuffers::FlatBufferBuilder builder;
  const auto text = builder.CreateString("x");
  const auto hello = wire::CreateHello(builder, text, text, text, 1);
  builder.Finish(wire::CreatePeerMessage(
      builder, static_cast<wire::Payload>(200), hello.Union()));
  EXPECT_FALSE(Decodes({builder.GetBufferPointer(),
                        builder.GetBufferPointer() + builder.GetSize()}));
}

// Guards against reads beyond the end of a truncated or corrupted buffer, which
// the sanitizers detect, and against exceptions other than DecodeError.
TEST(PeerCodec, TruncatedAndBitFlippedBuffersAreDecodedOrRefused) {
  for (const PeerMessage& message : Messages()) {
    const Bytes whole = EncodePeerMessage(message, kNow);
    for (std::size_t size = 0; size < whole.size(); ++size) {
      Decodes(Bytes(whole.begin(),
                    whole.begin() + static_cast<std::ptrdiff_t>(size)));
    }
    EXPECT_FALSE(Decodes(Bytes(whole.begin(), whole.begin() + 4)));
    for (std::size_t bit = 0; bit < whole.size() * 8; ++bit) {
      Bytes flipped = whole;
      flipped[bit / 8] ^= static_cast<std::uint8_t>(1 << (bit % 8));
      Decodes(flipped);
    }
  }
}

// Guards against a buffer that is accepted but whose message changes when it is
// encoded and decoded again.
TEST(PeerCodecMutations, AnyBufferIsRefusedOrSurvivesARoundTrip) {
  int accepted = 0;
  RunFuzzLoop("test/wire/peer_corpus", kIterations, kRandomSeed,
              [&accepted](const std::string& text) {
                const Bytes bytes(text.begin(), text.end());
                if (!Decodes(bytes)) return;
                ++accepted;
                const PeerMessage message = DecodePeerMessage(bytes, kNow);
                ASSERT_EQ(FieldsOf(DecodePeerMessage(
                              EncodePeerMessage(message, kNow), kNow)),
                          FieldsOf(message));
              });
  EXPECT_GE(accepted, 8);
  EXPECT_LT(accepted, kIterations);
}

}  // namespace
}  // namespace carawayhaven
