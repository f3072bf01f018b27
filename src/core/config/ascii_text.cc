#include "core/config/ascii_text.h"

namespace carawayhaven {
namespace {

bool IsAscii(char c) { return static_cast<unsigned char>(c) < 0x80; }

bool IsUtf8ContinuationByte(char c) {
  return (static_cast<unsigned char>(c) & 0xC0U) == 0x80U;
}

}  // namespace

std::optional<TextPosition> FindNonAscii(std::string_view text) {
  TextPosition position{1, 1};
  for (const char c : text) {
    if (!IsAscii(c)) return position;
    ++position.column;
    if (c == '\n') position = {position.line + 1, 1};
  }
  return std::nullopt;
}

std::string ReplaceNonAscii(std::string_view text) {
  std::string replaced;
  replaced.reserve(text.size());
  for (const char c : text) {
    if (IsAscii(c)) {
      replaced += c;
    } else if (!IsUtf8ContinuationByte(c)) {
      replaced += '?';
    }
  }
  return replaced;
}

}  // namespace carawayhaven
