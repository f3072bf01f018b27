// Stand-in for a database endpoint; docs/platform.md lists its assumptions.
// Usage: endpoint_standin NAME IP PORT ADMIN_PORT SLOTS CONNECTIONS PRIMARY
//                         [PEER=IP:PORT...]
// PEER=IP:PORT gives the name and address of another endpoint of the group.
// Faults: POST /faults on the admin port with any of {"cut": bool,
// "frozen": bool, "silent": true, "crash_ms": n, "lag_ms": n,
// "link_delay_us": n, "statement_us": n, "leaving": bool}.

#include <cstdlib>
#include <iostream>
#include <string>

#include "net/event_loop.h"
#include "net/http_server.h"
#include "net/websocket_server.h"
#include "standins/endpoint_server.h"

namespace {

std::uint16_t Port(const char* text) {
  return static_cast<std::uint16_t>(std::atoi(text));
}

}  // namespace

int main(int argc, char** argv) {
  if (argc < 8) {
    std::cerr << "usage: endpoint_standin NAME IP PORT ADMIN_PORT SLOTS "
                 "CONNECTIONS PRIMARY [PEER=IP:PORT...]\n";
    return 2;
  }
  try {
    carawayhaven::standins::EndpointServerOptions options;
    options.name = argv[1];
    options.slots = static_cast<std::uint32_t>(std::atoi(argv[5]));
    options.connections = static_cast<std::uint32_t>(std::atoi(argv[6]));
    for (int i = 8; i < argc; ++i) {
      const std::string peer = argv[i];
      const std::size_t separator = peer.find('=');
      if (separator == std::string::npos) return 2;
      options.peers[peer.substr(0, separator)] = peer.substr(separator + 1);
    }
    carawayhaven::EventLoop loop;
    carawayhaven::standins::EndpointServer server(loop, options);
    if (options.name == argv[7]) {
      server.replication().BecomeInitialPrimary();
    } else {
      server.replication().FollowInitialPrimary(argv[7]);
    }
    const carawayhaven::WebSocketServer websocket(loop, argv[2], Port(argv[3]),
                                                  server);
    const carawayhaven::HttpServer http(loop, argv[2], Port(argv[4]), server);
    loop.OnTerminationSignal([&loop] { loop.Stop(); });
    loop.Run();
  } catch (const std::exception& error) {
    std::cerr << "endpoint_standin: " << error.what() << "\n";
    return 1;
  }
  return 0;
}
