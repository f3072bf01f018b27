#include "core/config/team_object.h"

#include <nlohmann/json.hpp>

namespace carawayhaven {

using nlohmann::json;

std::optional<TeamObject> TeamObject::Parse(std::string_view value) {
  if (value.size() > kMaxBytes) return std::nullopt;
  const json root = json::parse(value, nullptr, /*allow_exceptions=*/false);
  if (!root.is_object()) return std::nullopt;
  const auto submission = root.find("submission");
  const auto text = root.find("text");
  if (submission == root.end() || !submission->is_string() ||
      text == root.end() || !text->is_string()) {
    return std::nullopt;
  }
  TeamObject object;
  object.submission = submission->get<std::string>();
  object.text = text->get<std::string>();
  if (const auto declared_since = root.find("since");
      declared_since != root.end() && declared_since->is_object()) {
    for (const auto& [service, version] : declared_since->items()) {
      if (version.is_number_unsigned()) {
        object.declared_since.emplace(service, version.get<std::uint64_t>());
      }
    }
  }
  if (const auto earlier = root.find("earlier");
      earlier != root.end() && earlier->is_array()) {
    for (const json& entry : *earlier) {
      if (!entry.is_object()) continue;
      const auto id = entry.find("submission");
      const auto version = entry.find("version");
      if (id != entry.end() && id->is_string() && version != entry.end() &&
          version->is_number_unsigned()) {
        object.earlier.push_back(
            {id->get<std::string>(), version->get<std::uint64_t>()});
      }
    }
  }
  return object;
}

std::string TeamObject::Format() const {
  json root{{"submission", submission}, {"text", text}};
  if (!declared_since.empty()) root["since"] = declared_since;
  for (const EarlierSubmission& entry : earlier) {
    root["earlier"].push_back(
        {{"submission", entry.submission}, {"version", entry.version}});
  }
  return root.dump(-1, ' ', false, json::error_handler_t::replace);
}

}  // namespace carawayhaven
