#include "wire/json_fields.h"

#include "carawayhaven/error_messages.h"
#include "carawayhaven/exceptions.h"

namespace carawayhaven {
namespace {

[[noreturn]] void ThrowBadField(const char* key) {
  throw DecodeError(std::string(error_messages::kMissingField) + key);
}

}  // namespace

// Counts only the brackets outside strings. ParseJsonObject leaves all other
// syntax checks to the parser.
bool IsNestedTooDeep(std::string_view text) {
  int depth = 0;
  bool in_string = false;
  for (std::size_t i = 0; i < text.size(); ++i) {
    const char c = text[i];
    if (in_string) {
      if (c == '\\') ++i;
      if (c == '"') in_string = false;
    } else if (c == '"') {
      in_string = true;
    } else if (c == '[' || c == '{') {
      if (++depth > kMaxJsonDepth) return true;
    } else if (c == ']' || c == '}') {
      --depth;
    }
  }
  return false;
}

nlohmann::json ParseJsonObject(std::string_view text) {
  if (IsNestedTooDeep(text)) throw DecodeError(error_messages::kNestingTooDeep);
  nlohmann::json parsed =
      nlohmann::json::parse(text, nullptr, /*allow_exceptions=*/false);
  if (!parsed.is_object()) throw DecodeError(error_messages::kMalformedJson);
  return parsed;
}

std::string RequiredString(const nlohmann::json& object, const char* key) {
  const auto found = object.find(key);
  if (found == object.end() || !found->is_string()) ThrowBadField(key);
  return found->get<std::string>();
}

std::uint64_t RequiredNumber(const nlohmann::json& object, const char* key) {
  const auto found = object.find(key);
  if (found == object.end() || !found->is_number_unsigned()) ThrowBadField(key);
  return found->get<std::uint64_t>();
}

std::string OptionalString(const nlohmann::json& object, const char* key) {
  return object.contains(key) ? RequiredString(object, key) : std::string();
}

std::uint64_t OptionalNumber(const nlohmann::json& object, const char* key,
                             std::uint64_t fallback) {
  return object.contains(key) ? RequiredNumber(object, key) : fallback;
}

std::uint64_t OptionalNumberUpTo(const nlohmann::json& object, const char* key,
                                 std::uint64_t max_value) {
  const std::uint64_t value = OptionalNumber(object, key, 0);
  if (value > max_value) ThrowBadField(key);
  return value;
}

bool OptionalBool(const nlohmann::json& object, const char* key,
                  bool fallback) {
  const auto found = object.find(key);
  if (found == object.end()) return fallback;
  if (!found->is_boolean()) ThrowBadField(key);
  return found->get<bool>();
}

}  // namespace carawayhaven
