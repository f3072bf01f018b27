#include "carawayhaven/exceptions.h"

namespace carawayhaven {

ParseError::ParseError(TextPosition position, const std::string& message)
    : Error("line " + std::to_string(position.line) + ", column " +
            std::to_string(position.column) + ": " + message),
      position_(position) {}

}  // namespace carawayhaven
