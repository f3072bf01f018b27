#include "carawayhaven/session_token.h"

#include <charconv>
#include <cstdint>

#include "carawayhaven/error_messages.h"
#include "carawayhaven/exceptions.h"

namespace carawayhaven {
namespace {

std::uint64_t ParseNumber(std::string_view text) {
  std::uint64_t value = 0;
  const char* end = text.data() + text.size();
  const auto [stop, error] = std::from_chars(text.data(), end, value);
  if (error != std::errc() || stop != end) {
    throw InvalidTokenError(error_messages::kMalformedToken);
  }
  return value;
}

// Returns the non-empty text before the separator and removes the text and the
// separator from `rest`. Throws InvalidTokenError when there is none.
std::string_view TakeUntil(std::string_view& rest, char separator) {
  const std::size_t end = rest.find(separator);
  if (end == std::string_view::npos || end == 0) {
    throw InvalidTokenError(error_messages::kMalformedToken);
  }
  const std::string_view taken = rest.substr(0, end);
  rest.remove_prefix(end + 1);
  return taken;
}

}  // namespace

SessionToken SessionToken::Parse(std::string_view text) {
  SessionToken token;
  while (!text.empty()) {
    if (token.positions_.size() == kMaxServices) {
      throw InvalidTokenError(error_messages::kTooManyServices);
    }
    const std::size_t comma = text.find(',');
    std::string_view entry = text.substr(0, comma);
    text.remove_prefix(comma == std::string_view::npos ? text.size()
                                                       : comma + 1);
    const std::string_view service = TakeUntil(entry, ':');
    const std::string_view term = TakeUntil(entry, '.');
    token.Advance(service, {ParseNumber(term), ParseNumber(entry)});
  }
  return token;
}

LogPosition SessionToken::PositionOf(std::string_view service) const {
  const auto found = positions_.find(service);
  return found == positions_.end() ? LogPosition{} : found->second;
}

void SessionToken::Advance(std::string_view service, LogPosition position) {
  const auto found = positions_.find(service);
  if (found == positions_.end()) {
    positions_.emplace(service, position);
  } else if (found->second < position) {
    found->second = position;
  }
}

std::string SessionToken::Format() const {
  std::string text;
  for (const auto& [service, position] : positions_) {
    if (!text.empty()) text += ',';
    text += service + ':' + std::to_string(position.term) + '.' +
            std::to_string(position.index);
  }
  return text;
}

}  // namespace carawayhaven
