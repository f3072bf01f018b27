#ifndef CARAWAYHAVEN_NET_ADDRESS_H_
#define CARAWAYHAVEN_NET_ADDRESS_H_

#include <cstdint>
#include <string>
#include <string_view>

namespace carawayhaven {

/// An IP number and a TCP port.
struct Address {
  std::string ip;
  std::uint16_t port = 0;
};

/// Reads "IP:port". Throws NetworkError when the text has another form.
Address ParseAddress(std::string_view text);

}  // namespace carawayhaven

#endif  // CARAWAYHAVEN_NET_ADDRESS_H_
