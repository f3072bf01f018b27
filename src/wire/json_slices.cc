#include "wire/json_slices.h"

#include <algorithm>
#include <string>

namespace carawayhaven {
namespace {

constexpr std::size_t kNone = std::string_view::npos;
constexpr char kSpace[] = " \t\r\n";
constexpr char kEndOfScalar[] = " \t\r\n,:\"[]{}";

std::size_t SkipSpace(std::string_view text, std::size_t at) {
  return std::min(text.find_first_not_of(kSpace, at), text.size());
}

// The functions EndOf... return the position after the value that starts at
// `at`, or kNone if it does not end.
std::size_t EndOfString(std::string_view text, std::size_t at) {
  for (std::size_t i = at + 1; i < text.size(); ++i) {
    if (text[i] == '\\') {
      ++i;
    } else if (text[i] == '"') {
      return i + 1;
    }
  }
  return kNone;
}

std::size_t EndOfContainer(std::string_view text, std::size_t at) {
  std::string closing;
  while (at < text.size()) {
    const char c = text[at];
    if (c == '"') {
      at = EndOfString(text, at);
      if (at == kNone) return kNone;
      continue;
    }
    ++at;
    if (c == '{') {
      closing += '}';
    } else if (c == '[') {
      closing += ']';
    } else if (c == '}' || c == ']') {
      if (closing.back() != c) return kNone;
      closing.pop_back();
      if (closing.empty()) return at;
    }
  }
  return kNone;
}

std::size_t EndOfValue(std::string_view text, std::size_t at) {
  if (at >= text.size()) return kNone;
  if (text[at] == '"') return EndOfString(text, at);
  if (text[at] == '{' || text[at] == '[') return EndOfContainer(text, at);
  const std::size_t end =
      std::min(text.find_first_of(kEndOfScalar, at), text.size());
  return end == at ? kNone : end;
}

// Calls `take_part` at the start of each part between the brackets. It returns
// the position after the part, or kNone.
template <typename TakePart>
bool Split(std::string_view text, char open, char close, TakePart take_part) {
  std::size_t at = SkipSpace(text, 0);
  if (at == text.size() || text[at] != open) return false;
  at = SkipSpace(text, at + 1);
  bool first = true;
  while (at < text.size() && (text[at] != close || !first)) {
    at = take_part(at);
    if (at == kNone) return false;
    at = SkipSpace(text, at);
    if (at == text.size()) return false;
    if (text[at] == close) break;
    if (text[at] != ',') return false;
    at = SkipSpace(text, at + 1);
    first = false;
  }
  return at < text.size() && SkipSpace(text, at + 1) == text.size();
}

}  // namespace

std::optional<std::vector<JsonField>> SplitJsonObject(std::string_view text) {
  std::vector<JsonField> fields;
  const bool valid = Split(text, '{', '}', [&](std::size_t key) {
    if (text[key] != '"') return kNone;
    const std::size_t key_end = EndOfString(text, key);
    if (key_end == kNone) return kNone;
    const std::size_t colon = SkipSpace(text, key_end);
    if (colon == text.size() || text[colon] != ':') return kNone;
    const std::size_t value = SkipSpace(text, colon + 1);
    const std::size_t end = EndOfValue(text, value);
    if (end == kNone) return kNone;
    fields.push_back({text.substr(key + 1, key_end - key - 2),
                      text.substr(value, end - value)});
    return end;
  });
  if (!valid) return std::nullopt;
  return fields;
}

std::optional<std::vector<std::string_view>> SplitJsonArray(
    std::string_view text) {
  std::vector<std::string_view> items;
  const bool valid = Split(text, '[', ']', [&](std::size_t at) {
    const std::size_t end = EndOfValue(text, at);
    if (end != kNone) items.push_back(text.substr(at, end - at));
    return end;
  });
  if (!valid) return std::nullopt;
  return items;
}

std::string_view FindJsonField(const std::vector<JsonField>& fields,
                               std::string_view key) {
  const auto found =
      std::find_if(fields.rbegin(), fields.rend(),
                   [key](const JsonField& field) { return field.key == key; });
  return found == fields.rend() ? std::string_view() : found->value;
}

}  // namespace carawayhaven
