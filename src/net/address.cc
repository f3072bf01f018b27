#include "net/address.h"

#include <charconv>

#include "carawayhaven/error_messages.h"
#include "carawayhaven/exceptions.h"

namespace carawayhaven {

Address ParseAddress(std::string_view text) {
  const std::size_t colon = text.rfind(':');
  Address address;
  if (colon != std::string_view::npos && colon > 0) {
    const std::string_view port = text.substr(colon + 1);
    const char* end = port.data() + port.size();
    const auto [stop, error] = std::from_chars(port.data(), end, address.port);
    if (error == std::errc() && stop == end && address.port != 0) {
      address.ip = std::string(text.substr(0, colon));
      return address;
    }
  }
  throw NetworkError(error_messages::kMalformedAddress + std::string(text));
}

}  // namespace carawayhaven
