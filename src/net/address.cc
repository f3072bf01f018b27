#include "net/address.h"

#include <arpa/inet.h>

#include <charconv>
#include <utility>

#include "carawayhaven/error_messages.h"
#include "carawayhaven/exceptions.h"

namespace carawayhaven {

std::optional<Address> TryParseAddress(std::string_view text) {
  const std::size_t colon = text.rfind(':');
  if (colon == std::string_view::npos) return std::nullopt;
  Address address;
  const std::string_view port = text.substr(colon + 1);
  const char* end = port.data() + port.size();
  const auto [stop, error] = std::from_chars(port.data(), end, address.port);
  if (error != std::errc() || stop != end || address.port == 0) {
    return std::nullopt;
  }
  address.ip = std::string(text.substr(0, colon));
  in_addr parsed{};
  // inet_pton would stop at a null byte.
  if (address.ip.find('\0') != std::string::npos ||
      inet_pton(AF_INET, address.ip.c_str(), &parsed) != 1) {
    return std::nullopt;
  }
  return address;
}

Address ParseAddress(std::string_view text) {
  if (auto address = TryParseAddress(text)) return *std::move(address);
  throw NetworkError(error_messages::kMalformedAddress + std::string(text));
}

}  // namespace carawayhaven
