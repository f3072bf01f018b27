#ifndef CARAWAYHAVEN_WIRE_JSON_FIELDS_H_
#define CARAWAYHAVEN_WIRE_JSON_FIELDS_H_

#include <cstdint>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <string_view>

namespace carawayhaven {

/// Arrays and objects within each other. nlohmann-json writes a value by
/// recursion, so that deep nesting would overflow the stack.
inline constexpr int kMaxJsonDepth = 64;

/// True when the text is nested deeper than kMaxJsonDepth.
bool IsNestedTooDeep(std::string_view text);

/// Parses a JSON object. Throws DecodeError when the text is not one, or is
/// nested deeper than kMaxJsonDepth.
nlohmann::json ParseJsonObject(std::string_view text);

/// Typed access to the fields of an object. The required forms throw
/// DecodeError when the field is missing; all throw it for a wrong type.
std::string RequiredString(const nlohmann::json& object, const char* key);
std::uint64_t RequiredNumber(const nlohmann::json& object, const char* key);
std::string OptionalString(const nlohmann::json& object, const char* key);
std::uint64_t OptionalNumber(const nlohmann::json& object, const char* key,
                             std::uint64_t fallback);
/// Returns zero when the field is missing; throws DecodeError above `most`.
std::uint64_t OptionalNumberUpTo(const nlohmann::json& object, const char* key,
                                 std::uint64_t most);
bool OptionalBool(const nlohmann::json& object, const char* key, bool fallback);

}  // namespace carawayhaven

#endif  // CARAWAYHAVEN_WIRE_JSON_FIELDS_H_
