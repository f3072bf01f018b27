#ifndef CARAWAYHAVEN_CORE_CONFIG_ASCII_TEXT_H_
#define CARAWAYHAVEN_CORE_CONFIG_ASCII_TEXT_H_

#include <optional>
#include <string>
#include <string_view>

#include "carawayhaven/exceptions.h"

namespace carawayhaven {

// toml++ 3.3 has undefined behaviour for characters from U+00A0 to U+FEFF
// outside strings and comments, so only ASCII texts are passed to it. The fuzz
// test of the settings detected this.

/// Returns the position of the first non-ASCII character, or nothing.
std::optional<TextPosition> FindNonAscii(std::string_view text);

/// Replaces each non-ASCII character of a UTF-8 text by a question mark, which
/// preserves lines and columns.
std::string ReplaceNonAscii(std::string_view text);

}  // namespace carawayhaven

#endif  // CARAWAYHAVEN_CORE_CONFIG_ASCII_TEXT_H_
