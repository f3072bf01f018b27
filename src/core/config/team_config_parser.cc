#include "core/config/team_config_parser.h"

#include <arpa/inet.h>
#include <toml++/toml.h>

#include <algorithm>
#include <array>
#include <charconv>
#include <initializer_list>
#include <numeric>
#include <set>
#include <utility>

#include "carawayhaven/error_messages.h"
#include "core/config/ascii_text.h"

namespace carawayhaven {
namespace {

using error_messages::kMissingKey;

// Maximum edit distance at which a known key is suggested for an unknown one.
constexpr std::size_t kMaxEditDistance = 4;

TextPosition PositionOf(const toml::source_region& region) {
  return {region.begin.line, region.begin.column};
}

TextPosition PositionOf(const toml::node& node) {
  return PositionOf(node.source());
}

std::size_t EditDistance(std::string_view a, std::string_view b) {
  std::vector<std::size_t> row(b.size() + 1);
  std::iota(row.begin(), row.end(), std::size_t{0});
  for (std::size_t i = 0; i < a.size(); ++i) {
    std::size_t diagonal = row[0];
    row[0] = i + 1;
    for (std::size_t j = 0; j < b.size(); ++j) {
      const std::size_t substituted = diagonal + (a[i] == b[j] ? 0 : 1);
      diagonal = row[j + 1];
      row[j + 1] = std::min({substituted, row[j] + 1, diagonal + 1});
    }
  }
  return row.back();
}

bool IsName(std::string_view text) {
  return !text.empty() && text.size() <= TeamConfigParser::kMaxNameLength &&
         std::all_of(text.begin(), text.end(), [](char c) {
           return (c >= 'a' && c <= 'z') || (c >= '0' && c <= '9') ||
                  c == '-' || c == '_';
         });
}

// Accepts "IPv4:port" with a port from 1 to 65535.
bool IsAddress(std::string_view text) {
  const std::size_t colon = text.rfind(':');
  if (colon == std::string_view::npos) return false;
  const std::string ip(text.substr(0, colon));
  const std::string_view port = text.substr(colon + 1);
  in_addr parsed{};
  if (inet_pton(AF_INET, ip.c_str(), &parsed) != 1) return false;
  std::uint16_t number = 0;
  const char* end = port.data() + port.size();
  const auto [stop, error] = std::from_chars(port.data(), end, number);
  return error == std::errc() && stop == end && number != 0;
}

// Reads the parsed tables of one text and collects the errors.
class Reader {
 public:
  TeamConfigResult Read(const toml::table& root) {
    TeamConfig config;
    CheckKeys(root, {"team", "service"});
    config.team = ReadName(root, "team");
    if (const toml::node* services = root.get("service")) {
      ReadServices(*services, config);
    }
    TeamConfigResult result;
    if (errors_.empty()) {
      result.config = std::move(config);
      return result;
    }
    std::stable_sort(errors_.begin(), errors_.end(),
                     [](const ConfigError& a, const ConfigError& b) {
                       return std::pair(a.position.line, a.position.column) <
                              std::pair(b.position.line, b.position.column);
                     });
    result.errors = std::move(errors_);
    return result;
  }

 private:
  void AddError(TextPosition position, std::string message) {
    errors_.push_back({position, std::move(message)});
  }

  void CheckKeys(const toml::table& table,
                 std::initializer_list<std::string_view> known) {
    for (const auto& [key, value] : table) {
      const std::string_view name = key.str();
      if (std::find(known.begin(), known.end(), name) != known.end()) continue;
      std::string message = error_messages::kUnknownKey;
      // A long key is truncated to limit the size of the message.
      message += name.substr(0, TeamConfigParser::kMaxNameLength);
      std::string_view nearest;
      std::size_t smallest_distance = kMaxEditDistance + 1;
      if (name.size() <= TeamConfigParser::kMaxNameLength) {
        for (const std::string_view candidate : known) {
          const std::size_t distance = EditDistance(name, candidate);
          if (distance < smallest_distance) {
            smallest_distance = distance;
            nearest = candidate;
          }
        }
      }
      if (!nearest.empty()) {
        message += error_messages::kSuggestedKey;
        message.append("\"").append(nearest).append("\"?");
      }
      AddError(PositionOf(key.source()), std::move(message));
    }
  }

  // Returns the node, or null after adding an error.
  const toml::node* Require(const toml::table& table, std::string_view key) {
    const toml::node* node = table.get(key);
    if (node == nullptr) {
      AddError(PositionOf(table), kMissingKey + std::string(key));
    }
    return node;
  }

  void AddWrongType(const toml::node& node, std::string_view key,
                    std::string_view expected) {
    AddError(PositionOf(node), std::string(error_messages::kWrongType)
                                   .append(key)
                                   .append(": expected ")
                                   .append(expected));
  }

  // Returns an empty string after adding an error.
  std::string ReadString(const toml::table& table, std::string_view key) {
    const toml::node* node = Require(table, key);
    if (node == nullptr) return {};
    const auto* value = node->as_string();
    if (value == nullptr) {
      AddWrongType(*node, key, "a string");
      return {};
    }
    return value->get();
  }

  std::string ReadName(const toml::table& table, std::string_view key) {
    const toml::node* node = table.get(key);
    std::string name = ReadString(table, key);
    if (node == nullptr || !node->is_string() || IsName(name)) return name;
    AddError(PositionOf(*node),
             error_messages::kMalformedName +
                 name.substr(0, TeamConfigParser::kMaxNameLength));
    return {};
  }

  void ReadCount(const toml::table& table, std::string_view key,
                 std::uint32_t max, std::uint32_t& value) {
    const toml::node* node = table.get(key);
    if (node == nullptr) return;
    const auto* integer = node->as_integer();
    if (integer == nullptr) {
      AddWrongType(*node, key, "an integer");
    } else if (integer->get() < 1 || integer->get() > max) {
      AddError(PositionOf(*node), std::string(error_messages::kOutOfRange)
                                      .append(key)
                                      .append(" must be from 1 to ")
                                      .append(std::to_string(max)));
    } else {
      value = static_cast<std::uint32_t>(integer->get());
    }
  }

  // Returns the tables of an array of tables; adds an error for other types.
  std::vector<const toml::table*> ReadTables(const toml::node& node,
                                             std::string_view key) {
    std::vector<const toml::table*> tables;
    const toml::array* array = node.as_array();
    if (array == nullptr) {
      AddWrongType(node, key, "an array of tables");
      return tables;
    }
    for (const toml::node& element : *array) {
      if (element.is_table()) {
        tables.push_back(element.as_table());
      } else {
        AddWrongType(element, key, "a table");
      }
    }
    return tables;
  }

  void ReadServices(const toml::node& node, TeamConfig& config) {
    const std::vector<const toml::table*> tables = ReadTables(node, "service");
    if (tables.size() > TeamConfigParser::kMaxServices) {
      AddError(PositionOf(node), error_messages::kTooManyDeclaredServices);
      return;
    }
    for (const toml::table* table : tables) {
      config.services.push_back(ReadService(*table));
    }
  }

  ServiceConfig ReadService(const toml::table& table) {
    ServiceConfig service;
    CheckKeys(table,
              {"name", "acknowledge", "slots", "connections", "endpoint"});
    service.name = ReadName(table, "name");
    CheckUnique(table, "name", service.name, service_names_,
                error_messages::kDuplicateName);
    ReadAcknowledge(table, service);
    ReadCount(table, "slots", TeamConfigParser::kMaxSlots, service.slots);
    ReadCount(table, "connections", TeamConfigParser::kMaxConnections,
              service.connections);
    if (service.connections <
        service.slots + TeamConfigParser::kReservedConnections) {
      const toml::node* place = table.get("connections");
      AddError(PositionOf(place != nullptr ? *place : table),
               error_messages::kTooFewConnections);
    }
    if (const toml::node* endpoints = table.get("endpoint")) {
      ReadEndpoints(*endpoints, service);
    } else {
      AddError(PositionOf(table), error_messages::kNoEndpoint);
    }
    return service;
  }

  void ReadAcknowledge(const toml::table& table, ServiceConfig& service) {
    const toml::node* node = table.get("acknowledge");
    if (node == nullptr) return;
    const auto* value = node->as_string();
    if (value == nullptr) {
      AddWrongType(*node, "acknowledge", "a string");
    } else if (value->get() == "primary") {
      service.acknowledge = AcknowledgeMode::kPrimary;
    } else if (value->get() != "replica") {
      AddError(PositionOf(*node),
               std::string(error_messages::kInvalidAcknowledge)
                   .append("\"")
                   .append(value->get(), 0, TeamConfigParser::kMaxNameLength)
                   .append("\""));
    }
  }

  void ReadEndpoints(const toml::node& node, ServiceConfig& service) {
    const std::vector<const toml::table*> tables = ReadTables(node, "endpoint");
    if (const toml::array* array = node.as_array();
        array != nullptr && array->empty()) {
      AddError(PositionOf(node), error_messages::kNoEndpoint);
    }
    if (tables.size() > TeamConfigParser::kMaxEndpoints) {
      AddError(PositionOf(node), error_messages::kTooManyEndpoints);
      return;
    }
    for (const toml::table* table : tables) {
      service.endpoints.push_back(ReadEndpoint(*table));
    }
  }

  EndpointConfig ReadEndpoint(const toml::table& table) {
    EndpointConfig endpoint;
    CheckKeys(table, {"name", "address", "data_centre", "leaving"});
    endpoint.name = ReadName(table, "name");
    CheckUnique(table, "name", endpoint.name, endpoint_names_,
                error_messages::kDuplicateName);
    endpoint.address = ReadString(table, "address");
    const toml::node* address = table.get("address");
    if (address != nullptr && address->is_string() &&
        !IsAddress(endpoint.address)) {
      AddError(
          PositionOf(*address),
          error_messages::kMalformedAddress +
              endpoint.address.substr(0, TeamConfigParser::kMaxNameLength));
    } else {
      CheckUnique(table, "address", endpoint.address, addresses_,
                  error_messages::kDuplicateAddress);
    }
    endpoint.data_centre = ReadName(table, "data_centre");
    if (const toml::node* leaving = table.get("leaving")) {
      if (const auto* value = leaving->as_boolean()) {
        endpoint.leaving = value->get();
      } else {
        AddWrongType(*leaving, "leaving", "true or false");
      }
    }
    return endpoint;
  }

  void CheckUnique(const toml::table& table, std::string_view key,
                   const std::string& value, std::set<std::string>& seen,
                   const char* message) {
    if (value.empty() || seen.insert(value).second) return;
    AddError(PositionOf(*table.get(key)), message + value);
  }

  std::vector<ConfigError> errors_;
  std::set<std::string> service_names_;
  std::set<std::string> endpoint_names_;
  std::set<std::string> addresses_;
};

}  // namespace

std::string ConfigError::Format() const {
  if (position.line == 0) return message;
  return "line " + std::to_string(position.line) + ", column " +
         std::to_string(position.column) + ": " + message;
}

TeamConfigResult TeamConfigParser::Parse(std::string_view text) {
  TeamConfigResult result;
  if (text.size() > kMaxTextBytes) {
    result.errors.push_back({{1, 1}, error_messages::kConfigTooLarge});
    return result;
  }
  try {
    // All values are names and addresses, which must be ASCII. A question mark
    // in a value is reported as an error, and comments are ignored.
    const toml::table root = toml::parse(ReplaceNonAscii(text));
    return Reader().Read(root);
  } catch (const toml::parse_error& error) {
    result.errors.push_back(
        {PositionOf(error.source()), std::string(error.description())});
  }
  return result;
}

}  // namespace carawayhaven
