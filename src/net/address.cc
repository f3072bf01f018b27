#include "net/address.h"

#include <arpa/inet.h>

#include <charconv>

#include "carawayhaven/error_messages.h"
#include "carawayhaven/exceptions.h"

namespace carawayhaven {
namespace {

std::optional<Address> SplitAddress(std::string_view text) {
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
  return std::nullopt;
}

}  // namespace

Address ParseAddress(std::string_view text) {
  if (std::optional<Address> address = SplitAddress(text)) return *address;
  throw NetworkError(error_messages::kMalformedAddress + std::string(text));
}

std::optional<Address> ParseIpAddress(std::string_view text) {
  std::optional<Address> address = SplitAddress(text);
  in_addr parsed{};
  if (!address || inet_pton(AF_INET, address->ip.c_str(), &parsed) != 1) {
    return std::nullopt;
  }
  return address;
}

}  // namespace carawayhaven
