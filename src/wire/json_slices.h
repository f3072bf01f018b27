#ifndef CARAWAYHAVEN_WIRE_JSON_SLICES_H_
#define CARAWAYHAVEN_WIRE_JSON_SLICES_H_

#include <optional>
#include <string_view>
#include <vector>

namespace carawayhaven {

/// A field of a JSON object: the key without its quotes, and the text of the
/// value. Escape sequences are not decoded.
struct JsonField {
  std::string_view key;
  std::string_view value;
};

/// Both return views of the parts of a JSON text, or nothing if the text is no
/// object or no array, respectively. Only brackets, strings and separators are
/// checked, so that a part that cannot be decoded does not affect the others.
/// Stack use does not depend on the nesting depth. Thread-safe.
std::optional<std::vector<JsonField>> SplitJsonObject(std::string_view text);
std::optional<std::vector<std::string_view>> SplitJsonArray(
    std::string_view text);

/// Returns the value of the last field with the key, or an empty text.
std::string_view FindJsonField(const std::vector<JsonField>& fields,
                               std::string_view key);

}  // namespace carawayhaven

#endif  // CARAWAYHAVEN_WIRE_JSON_SLICES_H_
