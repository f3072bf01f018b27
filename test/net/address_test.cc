#include "net/address.h"

#include <map>
#include <memory>
#include <string>
#include <variant>

#include "carawayhaven/exceptions.h"
#include "loop_fixture.h"
#include "net/endpoint_connector.h"
#include "net/http_client.h"
#include "net/peer_transport.h"
#include "net/stream_connection.h"
#include "net/stream_events.h"
#include "net/stream_transport.h"

namespace carawayhaven {
namespace {

constexpr const char* kMalformedAddresses[] = {"",
                                               ":",
                                               "10.1.0.9",
                                               "10.1.0.9:",
                                               ":7000",
                                               "10.1.0.9:0",
                                               "10.1.0.9:-1",
                                               "10.1.0.9:65536",
                                               "10.1.0.9:70000",
                                               "10.1.0.9:99999999999999999999",
                                               "10.1.0.9:80x",
                                               "10.1.0.9: 80",
                                               "10.1.0.9:80\r\n",
                                               "10.1.0.9 :80",
                                               "10.1.0:80",
                                               "10.1.0.256:80",
                                               "database.example:80",
                                               "localhost:80",
                                               "[::1]:80",
                                               "1e999:80"};

TEST(AddressTest, AddressIsIpV4AndPort) {
  const Address address = ParseAddress("10.1.0.9:65535");
  EXPECT_EQ(address.ip, "10.1.0.9");
  EXPECT_EQ(address.port, 65535);
  for (const char* text : kMalformedAddresses) {
    EXPECT_THROW(ParseAddress(text), NetworkError) << text;
  }
  EXPECT_THROW(ParseAddress(std::string("10.1.0.9\0:80", 12)), NetworkError);
  EXPECT_THROW(ParseAddress(std::string(100'000, '1') + ":80"), NetworkError);
}

// Counts how connections end.
struct Ends : StreamEvents, EndpointEvents, PeerEvents {
  void OnStreamBytes(std::string_view) override {}
  void OnStreamClosed() override { ++count; }
  void OnConnectionOpened(ConnectionId, TimePoint) override {}
  void OnConnectionClosed(ConnectionId, TimePoint) override { ++count; }
  void OnAnswer(ConnectionId, const EndpointAnswer&, TimePoint) override {}
  void OnPeerMessage(const VmName&, const PeerMessage&, TimePoint) override {}
  void OnPeerLost(const VmName&, TimePoint) override { ++count; }

  int count = 0;
};

// Guards against an address of another writer that ends the process, or that
// blocks the loop with a name lookup. The connection fails instead.
class MalformedAddress : public LoopFixture {
 protected:
  void ExpectEnds(int expected) {
    EXPECT_TRUE(RunUntil([&] { return ends_.count >= expected; }));
    RunTicks(2);
    EXPECT_EQ(ends_.count, expected);
  }

  Ends ends_;
};

TEST_F(MalformedAddress, StreamIsOpenedItIsClosed) {
  StreamTransport transport(*loop_, "test", std::chrono::seconds(1));
  int expected = 0;
  for (const char* text : kMalformedAddresses) {
    SCOPED_TRACE(text);
    const auto stream = transport.Connect(text, ends_);
    ExpectEnds(++expected);
  }
  TearDown();
}

TEST_F(MalformedAddress, EndpointConnectionIsOpenedItIsClosed) {
  EndpointConnector connector(*loop_);
  int expected = 0;
  for (const char* text : kMalformedAddresses) {
    SCOPED_TRACE(text);
    connector.Open(text, ends_);
    ExpectEnds(++expected);
  }
  TearDown();
}

TEST_F(MalformedAddress, PeerGetsAMessageItIsRefused) {
  PeerTransport transport(*loop_, {"vm-1", "zrh-a", "127.0.0.1:7812", 1},
                          ends_);
  for (const char* text : kMalformedAddresses) {
    SCOPED_TRACE(text);
    transport.SetAddress("vm-2", text);
    EXPECT_FALSE(transport.Send("vm-2", ConfigUpdateMessage{"team", 1, "x"}));
    RunTicks(2);
  }
  EXPECT_EQ(ends_.count, 0);
  EXPECT_EQ(transport.connections(), 0U);
  TearDown();
}

TEST_F(MalformedAddress, RequestIsSentItFails) {
  HttpClient client(*loop_);
  int expected = 0;
  for (const char* text : kMalformedAddresses) {
    SCOPED_TRACE(text);
    client.Send(text, {"GET", "/", "", "", "", ""}, std::chrono::seconds(1),
                [&](const HttpResponse& response) {
                  EXPECT_EQ(response.status, 0);
                  ++ends_.count;
                });
    ExpectEnds(++expected);
  }
  TearDown();
}

}  // namespace
}  // namespace carawayhaven
