#ifndef CARAWAYHAVEN_WIRE_JSON_FIELDS_H_
#define CARAWAYHAVEN_WIRE_JSON_FIELDS_H_

#include <cstdint>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <string_view>

namespace carawayhaven {

/// Maximum nesting depth of arrays and objects. nlohmann-json serialises values
/// recursively, so deeper nesting could overflow the stack.
inline constexpr int kMaxJsonDepth = 64;

/// Returns true if the nesting depth of the JSON text exceeds kMaxJsonDepth.
bool IsNestedTooDeep(std::string_view text);

/// Parses a JSON object. Throws DecodeError if the text is not a JSON object or
/// its nesting depth exceeds kMaxJsonDepth.
nlohmann::json ParseJsonObject(std::string_view text);

/// Typed access to the fields of an object. Each function throws DecodeError if
/// the field has the wrong type. A missing field makes Required... throw
/// DecodeError and Optional... return an empty string or `fallback`.
std::string RequiredString(const nlohmann::json& object, const char* key);
std::uint64_t RequiredNumber(const nlohmann::json& object, const char* key);
std::string OptionalString(const nlohmann::json& object, const char* key);
std::uint64_t OptionalNumber(const nlohmann::json& object, const char* key,
                             std::uint64_t fallback);
/// Returns zero if the field is missing. Throws DecodeError if its value is
/// greater than `max_value`.
std::uint64_t OptionalNumberUpTo(const nlohmann::json& object, const char* key,
                                 std::uint64_t max_value);
bool OptionalBool(const nlohmann::json& object, const char* key, bool fallback);

}  // namespace carawayhaven

#endif  // CARAWAYHAVEN_WIRE_JSON_FIELDS_H_
