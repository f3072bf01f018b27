#ifndef CARAWAYHAVEN_CORE_CONFIG_ASCII_TEXT_H_
#define CARAWAYHAVEN_CORE_CONFIG_ASCII_TEXT_H_

#include <optional>
#include <string>
#include <string_view>

#include "carawayhaven/exceptions.h"

namespace carawayhaven {

// toml++ 3.3 has undefined behaviour for characters from U+00A0 to U+FEFF
// outside strings and comments, so it gets ASCII texts only. Found by the
// mutation test of the settings.

/// Returns the place of the first character beyond ASCII, or nothing.
std::optional<TextPosition> FindNonAscii(std::string_view text);

/// Returns the text with a question mark for each character beyond ASCII, so
/// that lines and columns stay.
std::string ReplaceNonAscii(std::string_view text);

}  // namespace carawayhaven

#endif  // CARAWAYHAVEN_CORE_CONFIG_ASCII_TEXT_H_
