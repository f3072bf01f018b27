#include "proxy/settings_parser.h"

#include <toml++/toml.h>

#include <charconv>
#include <optional>
#include <utility>

#include "core/config/ascii_text.h"
#include "proxy/nearest_name.h"
#include "proxy/settings_key.h"

namespace carawayhaven {
namespace {

constexpr std::string_view kVariablePrefix = "CARAWAYHAVEN_";
constexpr std::string_view kTokensKey = "admin_tokens";
constexpr std::string_view kTokensVariable = "CARAWAYHAVEN_ADMIN_TOKENS";
// Read by the command `submit`, not a setting of the proxy.
constexpr std::string_view kClientTokenVariable = "CARAWAYHAVEN_TOKEN";
// Path of the settings file where the platform starts the proxy; not a setting
// itself.
constexpr std::string_view kSettingsFileVariable = "CARAWAYHAVEN_SETTINGS";
constexpr std::size_t kMinTokenBytes = 8;
constexpr std::size_t kMaxTokenBytes = 512;

constexpr char kTokensExpected[] =
    "a table from team to token, for example admin_tokens.kitchen = \"...\"";
constexpr char kTokenExpected[] =
    "a token must be a string of 8 to 512 characters";

TextPosition PositionOf(const toml::source_region& region) {
  return {static_cast<unsigned>(region.begin.line),
          static_cast<unsigned>(region.begin.column)};
}

const SettingsKey* FindKey(std::string_view name) {
  for (const SettingsKey& key : SettingsKeys()) {
    if (key.name == name) return &key;
  }
  return nullptr;
}

std::string UnknownKeyMessage(std::string_view name) {
  std::vector<std::string_view> names{kTokensKey};
  for (const SettingsKey& key : SettingsKeys()) names.push_back(key.name);
  return "unknown key '" + std::string(name) + "'; the nearest known key is '" +
         std::string(NearestName(name, names)) + "'";
}

std::string ExpectedMessage(const SettingsKey& key) {
  return std::string(key.name) + " must be " + key.Expected();
}

bool IsTokenLength(std::size_t size) {
  return size >= kMinTokenBytes && size <= kMaxTokenBytes;
}

std::optional<SettingsValue> ValueOf(const toml::node& node) {
  if (const auto* text = node.as_string()) return SettingsValue(text->get());
  if (const auto* integer = node.as_integer()) {
    return SettingsValue(integer->get());
  }
  if (const auto* real = node.as_floating_point()) {
    return SettingsValue(real->get());
  }
  if (const auto* boolean = node.as_boolean()) {
    return SettingsValue(boolean->get());
  }
  return std::nullopt;
}

template <typename Number>
std::optional<Number> ParseNumber(std::string_view text) {
  Number number{};
  const char* end = text.data() + text.size();
  const auto [stop, error] = std::from_chars(text.data(), end, number);
  if (error != std::errc() || stop != end) return std::nullopt;
  return number;
}

// Parses the text of a variable or flag as the type of the key. Text that is
// not a number stays text, which a numeric key rejects.
SettingsValue ParseText(SettingsType type, const std::string& text) {
  if (type == SettingsType::kInteger) {
    if (const auto number = ParseNumber<std::int64_t>(text)) return *number;
  }
  if (type == SettingsType::kRatio || type == SettingsType::kNumber) {
    if (const auto number = ParseNumber<double>(text)) return *number;
  }
  if (type == SettingsType::kBool && (text == "true" || text == "false")) {
    return text == "true";
  }
  return text;
}

}  // namespace

// Reads the TOML table of the settings file.
class SettingsParser::FileReader {
 public:
  explicit FileReader(SettingsParser& parser) : parser_(parser) {}

  void Read(const toml::table& table) {
    for (const auto& [toml_key, node] : table) {
      const std::string name(toml_key.str());
      if (name == kTokensKey) {
        ReadTokens(node);
      } else if (const SettingsKey* key = FindKey(name)) {
        ReadValue(*key, node);
      } else {
        ReportFault(toml_key.source(), UnknownKeyMessage(name));
      }
    }
  }

 private:
  void ReadValue(const SettingsKey& key, const toml::node& node) {
    const std::optional<SettingsValue> value = ValueOf(node);
    if (!value || !key.Accepts(*value)) {
      ReportFault(node.source(), ExpectedMessage(key));
      return;
    }
    key.store(parser_.loaded_.settings, *value);
    SetOrigin(std::string(key.name), node);
  }

  void ReadTokens(const toml::node& node) {
    const toml::table* tokens = node.as_table();
    if (tokens == nullptr) {
      ReportFault(node.source(),
                  std::string("admin_tokens must be ") + kTokensExpected);
      return;
    }
    for (const auto& [team, token] : *tokens) {
      const auto* text = token.as_string();
      if (text == nullptr || !IsTokenLength(text->get().size())) {
        ReportFault(token.source(), kTokenExpected);
        continue;
      }
      const std::string name(team.str());
      parser_.loaded_.settings.admin_tokens.insert_or_assign(
          name, Secret(text->get()));
      SetOrigin("admin_tokens." + name, token);
    }
  }

  void SetOrigin(const std::string& key, const toml::node& node) {
    const TextPosition position = PositionOf(node.source());
    parser_.loaded_.origins[key] = parser_.sources_.file_name + ':' +
                                   std::to_string(position.line) + ':' +
                                   std::to_string(position.column);
  }

  void ReportFault(const toml::source_region& region, std::string message) {
    parser_.AddFault(parser_.sources_.file_name, PositionOf(region),
                     std::move(message));
  }

  SettingsParser& parser_;
};

LoadedSettings SettingsParser::Parse(const SettingsSources& sources) {
  SettingsParser parser(sources);
  parser.ReadFile();
  parser.ReadEnvironment();
  parser.ReadFlags();
  parser.CheckMissing();
  parser.CheckDistinctAddresses();
  if (!parser.faults_.empty()) throw SettingsError(std::move(parser.faults_));
  return std::move(parser.loaded_);
}

void SettingsParser::ReadFile() {
  if (sources_.text.size() > kMaxTextBytes) {
    AddFault(sources_.file_name, {1, 1},
             "the file must have at most " + std::to_string(kMaxTextBytes) +
                 " bytes");
    return;
  }
  if (const auto position = FindNonAscii(sources_.text)) {
    AddFault(sources_.file_name, *position,
             "the file must have ASCII characters only");
    return;
  }
  try {
    const std::string_view text = sources_.text;
    FileReader(*this).Read(toml::parse(text));
  } catch (const toml::parse_error& error) {
    // toml++ stops at the first syntax error.
    AddFault(sources_.file_name, PositionOf(error.source()),
             std::string(error.description()));
  }
}

void SettingsParser::ReadEnvironment() {
  for (const auto& [variable, text] : sources_.environment) {
    if (!variable.starts_with(kVariablePrefix) ||
        variable == kClientTokenVariable || variable == kSettingsFileVariable) {
      continue;
    }
    if (variable == kTokensVariable) {
      ReadTokenVariable(text);
      continue;
    }
    const SettingsKey* known = nullptr;
    for (const SettingsKey& key : SettingsKeys()) {
      if (key.VariableName() == variable) known = &key;
    }
    if (known != nullptr) {
      ReadText(*known, text, variable, "environment " + variable);
      continue;
    }
    std::vector<std::string> variables{std::string(kTokensVariable)};
    for (const SettingsKey& key : SettingsKeys()) {
      variables.push_back(key.VariableName());
    }
    const std::vector<std::string_view> names(variables.begin(),
                                              variables.end());
    AddFault(variable, {},
             "unknown variable; the nearest known one is " +
                 std::string(NearestName(variable, names)));
  }
}

void SettingsParser::ReadFlags() {
  for (const auto& [name, text] : sources_.flags) {
    if (const SettingsKey* key = FindKey(name)) {
      const std::string flag = "--" + key->FlagName();
      ReadText(*key, text, flag, "flag " + flag);
    } else {
      AddFault("--" + name, {}, UnknownKeyMessage(name));
    }
  }
}

void SettingsParser::ReadText(const SettingsKey& key, const std::string& text,
                              const std::string& source,
                              const std::string& origin) {
  const SettingsValue value = ParseText(key.type, text);
  if (!key.Accepts(value)) {
    AddFault(source, {}, ExpectedMessage(key));
    return;
  }
  key.store(loaded_.settings, value);
  loaded_.origins[std::string(key.name)] = origin;
}

// Reads "team=token" pairs separated by commas. They are added to the tokens of
// the file and replace those of the same team.
void SettingsParser::ReadTokenVariable(const std::string& text) {
  std::string_view rest = text;
  while (!rest.empty()) {
    const std::size_t comma = rest.find(',');
    const std::string_view pair = rest.substr(0, comma);
    rest = comma == std::string_view::npos ? std::string_view()
                                           : rest.substr(comma + 1);
    const std::size_t equals = pair.find('=');
    if (equals == std::string_view::npos || equals == 0) {
      AddFault(std::string(kTokensVariable), {},
               "must be team=token pairs separated by commas");
      continue;
    }
    const std::string team(pair.substr(0, equals));
    const std::string_view token = pair.substr(equals + 1);
    if (!IsTokenLength(token.size())) {
      AddFault(std::string(kTokensVariable), {}, kTokenExpected);
      continue;
    }
    loaded_.settings.admin_tokens.insert_or_assign(team,
                                                   Secret(std::string(token)));
    loaded_.origins["admin_tokens." + team] =
        "environment " + std::string(kTokensVariable);
  }
}

void SettingsParser::CheckMissing() {
  for (const SettingsKey& key : SettingsKeys()) {
    if (!key.required || loaded_.origins.contains(key.name)) continue;
    bool already_reported = false;
    for (const SettingsFault& fault : faults_) {
      already_reported =
          already_reported || fault.message == ExpectedMessage(key);
    }
    if (already_reported) continue;
    AddFault(sources_.file_name, {1, 1},
             "missing key '" + std::string(key.name) + "' (" +
                 std::string(key.description) + "); it must be " +
                 key.Expected());
  }
}

void SettingsParser::CheckDistinctAddresses() {
  const Settings& settings = loaded_.settings;
  const std::pair<std::string_view, const std::string*> listeners[] = {
      {"caller_address", &settings.caller_address},
      {"peer_address", &settings.peer_address},
      {"admin_address", &settings.admin_address}};
  for (std::size_t i = 0; i < std::size(listeners); ++i) {
    for (std::size_t j = 0; j < i; ++j) {
      if (listeners[i].second->empty() ||
          *listeners[i].second != *listeners[j].second) {
        continue;
      }
      AddFault(loaded_.origins[std::string(listeners[i].first)], {},
               std::string(listeners[i].first) + " must differ from " +
                   std::string(listeners[j].first));
    }
  }
}

void SettingsParser::AddFault(std::string source, TextPosition position,
                              std::string message) {
  faults_.push_back({std::move(source), position, std::move(message)});
}

}  // namespace carawayhaven
