#ifndef CARAWAYHAVEN_NET_ADDRESS_H_
#define CARAWAYHAVEN_NET_ADDRESS_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace carawayhaven {

/// An IP address in text form and a TCP port.
struct Address {
  std::string ip;
  std::uint16_t port = 0;
};

/// Parses "IP:port"; the IP part is not validated. Throws NetworkError if there
/// is no IP part or the port is not a number from 1 to 65535.
Address ParseAddress(std::string_view text);

/// Parses "IP:port" with an IPv4 address. Returns nothing if it is malformed.
/// For addresses from other processes, which must not end this one.
std::optional<Address> ParseIpAddress(std::string_view text);

}  // namespace carawayhaven

#endif  // CARAWAYHAVEN_NET_ADDRESS_H_
