// Serves many groups of three endpoints from one process, for measurements with
// more databases than the machine can run as separate processes.
// Usage: endpoint_fleet IP FIRST_PORT GROUPS SLOTS CONNECTIONS
// Group N (from 0) has the endpoints db-N-a, db-N-b and db-N-c on the ports
// FIRST_PORT + 3N to FIRST_PORT + 3N + 2; db-N-a is the primary of term 1.

#include <array>
#include <cstdlib>
#include <iostream>
#include <memory>
#include <string>
#include <vector>

#include "net/event_loop.h"
#include "net/websocket_server.h"
#include "standins/endpoint_server.h"

namespace {

constexpr std::array<const char*, 3> kSuffixes = {"-a", "-b", "-c"};

std::string NameOf(int group, std::size_t member) {
  return "db-" + std::to_string(group) + kSuffixes[member];
}

}  // namespace

int main(int argc, char** argv) {
  using namespace carawayhaven;  // NOLINT(google-build-using-namespace)
  if (argc != 6) {
    std::cerr << "usage: endpoint_fleet IP FIRST_PORT GROUPS SLOTS "
                 "CONNECTIONS\n";
    return 2;
  }
  try {
    const std::string ip = argv[1];
    const int first_port = std::atoi(argv[2]);
    EventLoop loop;
    std::vector<std::unique_ptr<standins::EndpointServer>> servers;
    std::vector<std::unique_ptr<WebSocketServer>> sockets;
    for (int group = 0; group < std::atoi(argv[3]); ++group) {
      const int port = first_port + 3 * group;
      for (std::size_t member = 0; member < kSuffixes.size(); ++member) {
        standins::EndpointServerOptions options;
        options.name = NameOf(group, member);
        options.slots = static_cast<std::uint32_t>(std::atoi(argv[4]));
        options.connections = static_cast<std::uint32_t>(std::atoi(argv[5]));
        for (std::size_t other = 0; other < kSuffixes.size(); ++other) {
          if (other == member) continue;
          options.peers[NameOf(group, other)] =
              ip + ":" + std::to_string(port + static_cast<int>(other));
        }
        auto& server = *servers.emplace_back(
            std::make_unique<standins::EndpointServer>(loop, options));
        if (member == 0) {
          server.replication().BecomeInitialPrimary();
        } else {
          server.replication().FollowInitialPrimary(NameOf(group, 0));
        }
        sockets.push_back(std::make_unique<WebSocketServer>(
            loop, ip,
            static_cast<std::uint16_t>(port + static_cast<int>(member)),
            server));
      }
    }
    loop.OnTerminationSignal([&loop] { loop.Stop(); });
    loop.Run();
  } catch (const std::exception& error) {
    std::cerr << "endpoint_fleet: " << error.what() << "\n";
    return 1;
  }
  return 0;
}
