#include "proxy/settings_key.h"

#include <arpa/inet.h>

#include <algorithm>
#include <array>
#include <cctype>
#include <sstream>

#include "carawayhaven/exceptions.h"
#include "net/address.h"

namespace carawayhaven {
namespace {

constexpr std::size_t kMaxNameBytes = 64;

std::string Quote(const std::string& text) { return '"' + text + '"'; }

// These functions read a value that its key has accepted, so that its type is
// right.
std::string Text(const SettingsValue& value) {
  return std::get<std::string>(value);
}

std::int64_t Integer(const SettingsValue& value) {
  return std::get<std::int64_t>(value);
}

double Number(const SettingsValue& value) {
  return std::holds_alternative<double>(value)
             ? std::get<double>(value)
             : static_cast<double>(Integer(value));
}

std::string FormatMilliseconds(Duration duration) {
  return std::to_string(
      std::chrono::duration_cast<std::chrono::milliseconds>(duration).count());
}

std::string FormatNumber(double number) {
  std::ostringstream text;
  text << number;
  return text.str();
}

bool IsName(const std::string& text) {
  return !text.empty() && text.size() <= kMaxNameBytes &&
         std::all_of(text.begin(), text.end(), [](unsigned char c) {
           return std::isalnum(c) != 0 || c == '-' || c == '_' || c == '.';
         });
}

bool IsAddress(const std::string& text) {
  try {
    in_addr parsed{};
    return inet_pton(AF_INET, ParseAddress(text).ip.c_str(), &parsed) == 1;
  } catch (const NetworkError&) {
    return false;
  }
}

#define CARAWAYHAVEN_TEXT_KEY(member)                              \
  [](Settings& s, const SettingsValue& v) { s.member = Text(v); }, \
      [](const Settings& s) { return Quote(s.member); }

const std::array kKeys{
    SettingsKey{"vm", SettingsType::kName, true, 0, 0,
                "name of this VM, unique in the deployment",
                CARAWAYHAVEN_TEXT_KEY(vm)},
    SettingsKey{"data_centre", SettingsType::kName, true, 0, 0,
                "data centre of this VM", CARAWAYHAVEN_TEXT_KEY(data_centre)},
    SettingsKey{"region", SettingsType::kName, true, 0, 0,
                "region of the data centre", CARAWAYHAVEN_TEXT_KEY(region)},
    SettingsKey{"caller_address", SettingsType::kAddress, true, 0, 0,
                "address on which callers connect",
                CARAWAYHAVEN_TEXT_KEY(caller_address)},
    SettingsKey{"peer_address", SettingsType::kAddress, true, 0, 0,
                "address on which other proxies connect",
                CARAWAYHAVEN_TEXT_KEY(peer_address)},
    SettingsKey{"admin_address", SettingsType::kAddress, true, 0, 0,
                "address of the admin API",
                CARAWAYHAVEN_TEXT_KEY(admin_address)},
    SettingsKey{"platform_address", SettingsType::kAddress, true, 0, 0,
                "address of the platform's object API",
                CARAWAYHAVEN_TEXT_KEY(platform_address)},
    SettingsKey{"ready_address", SettingsType::kAddress, false, 0, 0,
                "address that tells the load balancer whether to send callers",
                CARAWAYHAVEN_TEXT_KEY(ready_address)},
    SettingsKey{"promotion_address", SettingsType::kAddress, false, 0, 0,
                "address at which promotions are ordered",
                CARAWAYHAVEN_TEXT_KEY(promotion_address)},
    SettingsKey{
        "shutdown_grace_s", SettingsType::kNumber, false, 1, 600,
        "time between SIGTERM and SIGKILL, s",
        [](Settings& s, const SettingsValue& v) {
          s.shutdown_grace = std::chrono::duration_cast<Duration>(
              std::chrono::duration<double>(Number(v)));
        },
        [](const Settings& s) {
          std::ostringstream text;
          text << std::chrono::duration<double>(s.shutdown_grace).count();
          return text.str();
        }},
    SettingsKey{
        "drain_timeout_ms", SettingsType::kInteger, false, 0, 600'000,
        "time that open transactions have after SIGTERM, ms",
        [](Settings& s, const SettingsValue& v) {
          s.drain_timeout = std::chrono::milliseconds(Integer(v));
        },
        [](const Settings& s) { return FormatMilliseconds(s.drain_timeout); }},
    SettingsKey{"default_timeout_ms", SettingsType::kInteger, false, 1, 60'000,
                "deadline of a request that states none, ms",
                [](Settings& s, const SettingsValue& v) {
                  s.default_timeout = std::chrono::milliseconds(Integer(v));
                },
                [](const Settings& s) {
                  return FormatMilliseconds(s.default_timeout);
                }},
    SettingsKey{
        "max_sessions", SettingsType::kInteger, false, 1, 8192,
        "caller sessions that are accepted at a time",
        [](Settings& s, const SettingsValue& v) {
          s.max_sessions = static_cast<std::uint32_t>(Integer(v));
        },
        [](const Settings& s) { return std::to_string(s.max_sessions); }},
    SettingsKey{"trace_sample_ratio", SettingsType::kRatio, false, 0, 1,
                "share of traces that are recorded",
                [](Settings& s, const SettingsValue& v) {
                  s.trace_sample_ratio = Number(v);
                },
                [](const Settings& s) {
                  std::ostringstream text;
                  text << s.trace_sample_ratio;
                  return text.str();
                }},
    SettingsKey{"limit_window_s", SettingsType::kNumber, false, 1, 600,
                "window in which organisations' operations are counted, s",
                [](Settings& s, const SettingsValue& v) {
                  s.limit_window = std::chrono::duration_cast<Duration>(
                      std::chrono::duration<double>(Number(v)));
                },
                [](const Settings& s) {
                  return FormatNumber(
                      std::chrono::duration<double>(s.limit_window).count());
                }},
    SettingsKey{
        "limit_excess", SettingsType::kRatio, false, 0, 1,
        "share by which an organisation's limit may be exceeded",
        [](Settings& s, const SettingsValue& v) { s.limit_excess = Number(v); },
        [](const Settings& s) { return FormatNumber(s.limit_excess); }},
    SettingsKey{
        "limit_slack", SettingsType::kInteger, false, 0, 1'000'000,
        "operations by which an organisation's limit may be exceeded "
        "in a window",
        [](Settings& s, const SettingsValue& v) {
          s.limit_slack = static_cast<std::uint32_t>(Integer(v));
        },
        [](const Settings& s) { return std::to_string(s.limit_slack); }},
    SettingsKey{
        "cpu_share", SettingsType::kNumber, false, 0, 1024,
        "processor cores of this VM; 0 if not known",
        [](Settings& s, const SettingsValue& v) { s.cpu_share = Number(v); },
        [](const Settings& s) { return FormatNumber(s.cpu_share); }},
    SettingsKey{
        "link_mbps", SettingsType::kNumber, false, 0, 10'000'000,
        "bandwidth of this VM's network link, Mbit/s; 0 if not known",
        [](Settings& s, const SettingsValue& v) { s.link_mbps = Number(v); },
        [](const Settings& s) { return FormatNumber(s.link_mbps); }},
    SettingsKey{"memory_mb", SettingsType::kInteger, false, 0, 10'000'000,
                "memory of this VM, MB; 0 if not known",
                [](Settings& s, const SettingsValue& v) {
                  s.memory_mb = static_cast<std::uint32_t>(Integer(v));
                },
                [](const Settings& s) { return std::to_string(s.memory_mb); }},
    SettingsKey{"message_timeout_s", SettingsType::kNumber, false, 1, 3600,
                "time from the first to the last byte of a caller's message, s",
                [](Settings& s, const SettingsValue& v) {
                  s.message_timeout = std::chrono::duration_cast<Duration>(
                      std::chrono::duration<double>(Number(v)));
                },
                [](const Settings& s) {
                  return FormatNumber(
                      std::chrono::duration<double>(s.message_timeout).count());
                }},
    SettingsKey{
        "endpoint_pacing", SettingsType::kBool, false, 0, 0,
        "adapt the outstanding statements of an endpoint to its answers",
        [](Settings& s, const SettingsValue& v) {
          s.endpoint_pacing = std::get<bool>(v);
        },
        [](const Settings& s) {
          return std::string(s.endpoint_pacing ? "true" : "false");
        }},
    SettingsKey{"log_level", SettingsType::kLogLevel, false, 0, 0,
                "least level that is logged",
                [](Settings& s, const SettingsValue& v) {
                  s.log_level =
                      LogLevelFromName(Text(v)).value_or(LogLevel::kInfo);
                },
                [](const Settings& s) {
                  return Quote(std::string(LogLevelName(s.log_level)));
                }},
};

#undef CARAWAYHAVEN_TEXT_KEY

}  // namespace

std::span<const SettingsKey> SettingsKeys() { return kKeys; }

std::string SettingsKey::VariableName() const {
  std::string variable = "CARAWAYHAVEN_";
  for (const char c : name) {
    variable += static_cast<char>(std::toupper(static_cast<unsigned char>(c)));
  }
  return variable;
}

std::string SettingsKey::FlagName() const {
  std::string flag(name);
  std::replace(flag.begin(), flag.end(), '_', '-');
  return flag;
}

std::string SettingsKey::Expected() const {
  switch (type) {
    case SettingsType::kName:
      return "1 to 64 letters, digits, '-', '_' or '.'";
    case SettingsType::kAddress:
      return "an address of the form IP:port, for example \"10.0.0.1:7000\"";
    case SettingsType::kInteger:
      return "an integer from " + std::to_string(min_value) + " to " +
             std::to_string(max_value);
    case SettingsType::kNumber:
      return "a number from " + std::to_string(min_value) + " to " +
             std::to_string(max_value);
    case SettingsType::kRatio:
      return "a number from 0 to 1";
    case SettingsType::kBool:
      return "true or false";
    case SettingsType::kLogLevel:
      return R"("debug", "info", "warning" or "error")";
  }
  return {};
}

bool SettingsKey::Accepts(const SettingsValue& value) const {
  const auto* text = std::get_if<std::string>(&value);
  const auto* integer = std::get_if<std::int64_t>(&value);
  switch (type) {
    case SettingsType::kName:
      return text != nullptr && IsName(*text);
    case SettingsType::kAddress:
      return text != nullptr && IsAddress(*text);
    case SettingsType::kInteger:
      return integer != nullptr && *integer >= min_value &&
             *integer <= max_value;
    case SettingsType::kNumber:
      return text == nullptr && !std::holds_alternative<bool>(value) &&
             Number(value) >= static_cast<double>(min_value) &&
             Number(value) <= static_cast<double>(max_value);
    case SettingsType::kRatio: {
      if (text != nullptr || std::holds_alternative<bool>(value)) return false;
      const double ratio = integer != nullptr ? static_cast<double>(*integer)
                                              : std::get<double>(value);
      return ratio >= 0 && ratio <= 1;
    }
    case SettingsType::kBool:
      return std::holds_alternative<bool>(value);
    case SettingsType::kLogLevel:
      return text != nullptr && LogLevelFromName(*text).has_value();
  }
  return false;
}

}  // namespace carawayhaven
