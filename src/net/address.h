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

/// Parses "IP:port". Host names are not accepted, as a name lookup would block
/// the loop. Returns nothing if the IP part is not an IPv4 address or the port
/// is not a number from 1 to 65535. Thread-safe.
std::optional<Address> TryParseAddress(std::string_view text);

/// The same, but throws NetworkError.
Address ParseAddress(std::string_view text);

}  // namespace carawayhaven

#endif  // CARAWAYHAVEN_NET_ADDRESS_H_
