#include "net/peer_transport.h"

#include <map>
#include <memory>
#include <vector>

#include "loop_fixture.h"
#include "net/peer_connection.h"
#include "wire/frame_decoder.h"
#include "wire/peer_codec.h"

namespace carawayhaven {
namespace {

constexpr std::uint16_t kFirstPort = 7810;

ConfigUpdateMessage Update(std::uint64_t version, std::size_t bytes = 1) {
  return {"team", version, std::string(bytes, 'x')};
}

// One VM and its side of the links: records the messages that arrive.
struct Vm : PeerEvents {
  Vm(EventLoop& loop, int number)
      : name("vm-" + std::to_string(number)),
        port(static_cast<std::uint16_t>(kFirstPort + number)),
        address("127.0.0.1:" + std::to_string(port)),
        transport(loop, {name, "zrh-a", address, 1}, *this) {}

  void OnPeerMessage(const VmName& vm, const PeerMessage& message,
                     TimePoint) override {
    if (const auto* update = std::get_if<ConfigUpdateMessage>(&message)) {
      received[vm].push_back(update->version);
      if (replies) transport.Send(vm, Update(update->version + 1'000));
    }
  }
  void OnPeerLost(const VmName& vm, TimePoint) override { ++lost[vm]; }

  std::string name;
  std::uint16_t port;
  std::string address;
  std::map<VmName, std::vector<std::uint64_t>> received;
  std::map<VmName, int> lost;
  bool replies = false;
  PeerTransport transport;
};

class PeerTransports : public LoopFixture {
 protected:
  PeerTransports() {
    for (Vm* from : {&a_, &b_, &c_}) {
      for (Vm* to : {&a_, &b_, &c_}) {
        from->transport.SetAddress(to->name, to->address);
      }
    }
  }

  // Sends a message and waits until it arrives.
  void ExpectArrives(Vm& from, Vm& to, std::uint64_t version) {
    EXPECT_TRUE(from.transport.Send(to.name, Update(version)));
    EXPECT_TRUE(RunUntil([&] {
      const auto& got = to.received[from.name];
      return !got.empty() && got.back() == version;
    }));
  }

  Vm a_{*loop_, 0};
  Vm b_{*loop_, 1};
  Vm c_{*loop_, 2};
};

// Guards against messages that are lost or reordered while the link is opened.
TEST_F(PeerTransports, MessagesQueuedBeforeTheLinkIsOpenArriveInOrder) {
  std::vector<std::uint64_t> sent;
  for (std::uint64_t version = 1; version <= 200; ++version) {
    sent.push_back(version);
    ASSERT_TRUE(a_.transport.Send("vm-1", Update(version, 3'000)));
  }
  EXPECT_TRUE(RunUntil([&] { return b_.received["vm-0"].size() >= 200; }));
  EXPECT_EQ(b_.received["vm-0"], sent);
}

TEST_F(PeerTransports, MessageToItselfArrivesFromTheLoop) {
  EXPECT_TRUE(a_.transport.Send("vm-0", Update(1)));
  EXPECT_TRUE(a_.received.empty());
  EXPECT_TRUE(RunUntil([&] { return a_.received["vm-0"].size() == 1; }));
  EXPECT_FALSE(a_.transport.Send("unknown", Update(1)));
}

// Guards against a second connection between two VMs that is opened for
// replies.
TEST_F(PeerTransports, RepliesShareTheLinkOfTheRequests) {
  b_.replies = true;
  a_.transport.Send("vm-1", Update(1));
  ASSERT_TRUE(RunUntil([&] { return !a_.received["vm-1"].empty(); }));
  ExpectArrives(b_, a_, 7);
  EXPECT_EQ(a_.transport.connections(), 1U);
  EXPECT_EQ(b_.transport.connections(), 1U);
}

// Guards against messages that are lost if both sides open a link at the same
// time.
TEST_F(PeerTransports, LinksOpenedFromBothSidesAtOnceBothDeliver) {
  a_.transport.Send("vm-1", Update(1));
  b_.transport.Send("vm-0", Update(2));
  EXPECT_TRUE(RunUntil([&] {
    return !a_.received["vm-1"].empty() && !b_.received["vm-0"].empty();
  }));
  ExpectArrives(a_, b_, 3);
  ExpectArrives(b_, a_, 4);
  EXPECT_TRUE(a_.lost.empty() && b_.lost.empty());
}

// Guards against malformed frames of one peer that affect the links of others.
TEST_F(PeerTransports, MalformedFrameClosesOnlyItsLinkAndIsCounted) {
  ExpectArrives(a_, b_, 1);
  const auto hello = EncodeFrame(EncodePeerMessage(
      HelloMessage{"vm-9", "zrh-a", "127.0.0.1:1", 1}, TimePoint{}));
  const std::string greeting(hello.begin(), hello.end());
  const std::string faults[] = {std::string(8, '\0'), "\xff\xff\xff\xff",
                                std::string("\0\0\0\4abcd", 8),
                                greeting + std::string("\0\0\0\1a", 5)};
  std::uint64_t counted = 0;
  for (const std::string& bytes : faults) {
    RawSocket faulty(b_.port);
    ASSERT_TRUE(faulty.connected());
    faulty.Write(bytes);
    EXPECT_TRUE(RunUntil([&] { return faulty.IsClosed(); }));
    EXPECT_EQ(b_.transport.stats().malformed_frames, ++counted);
  }
  ExpectArrives(a_, b_, 2);
  EXPECT_EQ(b_.lost, (std::map<VmName, int>{{"vm-9", 1}}));
  EXPECT_TRUE(a_.lost.empty());
}

// Guards against a peer that does not read and thereby exhausts the memory.
TEST_F(PeerTransports, MessagesBeyondTheBacklogLimitAreRefused) {
  RawListener silent;
  a_.transport.SetAddress("silent", silent.address());
  constexpr std::size_t kBytes = 512 * 1024;
  constexpr std::size_t kMaxMessages =
      PeerConnection::kMaxBacklogBytes / kBytes;
  std::size_t accepted = 0;
  while (accepted <= kMaxMessages &&
         a_.transport.Send("silent", Update(1, kBytes))) {
    ++accepted;
  }
  EXPECT_EQ(accepted, kMaxMessages - 1);
  RunTicks(10);
  ExpectArrives(a_, b_, 5);
  EXPECT_TRUE(a_.lost.empty());
}

// Guards against a lost link that is not reported, or that is reported once for
// each unsent message.
TEST_F(PeerTransports, LostPeerIsReportedOnce) {
  RawListener listener;
  a_.transport.SetAddress("gone", listener.address());
  for (std::uint64_t i = 0; i < 5; ++i) a_.transport.Send("gone", Update(i));
  RunTicks(4);
  listener.AcceptAndClose();
  EXPECT_TRUE(RunUntil([&] { return a_.lost["gone"] > 0; }));
  listener.Close();
  RunTicks(4);
  EXPECT_EQ(a_.lost["gone"], 1);
  for (std::uint64_t i = 0; i < 5; ++i) a_.transport.Send("gone", Update(i));
  EXPECT_TRUE(RunUntil([&] { return a_.lost["gone"] > 1; }));
  RunTicks(4);
  EXPECT_EQ(a_.lost["gone"], 2);
}

// Returns the frames of a Hello and of a configuration update, to be sent
// through a raw socket whose connection the test can break.
std::string EncodeHelloAndUpdate(std::uint64_t version) {
  std::string bytes;
  for (const PeerMessage& message :
       {PeerMessage(HelloMessage{"raw", "zrh-a", "127.0.0.1:1", 1}),
        PeerMessage(Update(version))}) {
    const auto frame = EncodeFrame(EncodePeerMessage(message, TimePoint{}));
    bytes.append(frame.begin(), frame.end());
  }
  return bytes;
}

// Guards against a reply that is sent on a link that the peer has abandoned.
TEST_F(PeerTransports, ReplyAfterAReconnectArrivesAndTheLossIsReportedOnce) {
  RawSocket first(b_.port);
  first.Write(EncodeHelloAndUpdate(1));
  ASSERT_TRUE(RunUntil([&] { return b_.received["raw"].size() == 1; }));
  // The new link is opened before the end of the old one is detected.
  RawSocket second(b_.port);
  second.Write(EncodeHelloAndUpdate(2));
  ASSERT_TRUE(RunUntil([&] { return b_.received["raw"].size() == 2; }));
  EXPECT_TRUE(RunUntil([&] { return first.IsClosed(); }));
  EXPECT_EQ(b_.lost["raw"], 1);
  const std::uint64_t sent = b_.transport.stats().bytes_sent;
  EXPECT_TRUE(b_.transport.Send("raw", Update(3)));
  EXPECT_TRUE(RunUntil([&] { return b_.transport.stats().bytes_sent > sent; }));
  EXPECT_FALSE(second.IsClosed());
  EXPECT_EQ(b_.lost["raw"], 1);
  EXPECT_EQ(b_.transport.connections(), 1U);
}

// Guards against a process that ends because of the address of one peer, which
// comes from an entry of the store or from another peer.
TEST_F(PeerTransports, PeerWithAMalformedAddressIsUnreachable) {
  for (const char* address : {"127.0.0.1:70000", "127.0.0.1", "", ":1",
                              "127.0.0.1:0", "not an address:7811"}) {
    SCOPED_TRACE(address);
    a_.transport.SetAddress("vm-9", address);
    EXPECT_FALSE(a_.transport.Send("vm-9", Update(1)));
    RunTicks(2);
  }
  ExpectArrives(a_, b_, 2);
}

}  // namespace
}  // namespace carawayhaven
