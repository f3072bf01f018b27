#ifndef CARAWAYHAVEN_PROXY_SETTINGS_H_
#define CARAWAYHAVEN_PROXY_SETTINGS_H_

#include <cstdint>
#include <map>
#include <string>

#include "carawayhaven/names.h"
#include "carawayhaven/time.h"
#include "proxy/log_level.h"
#include "proxy/secret.h"

namespace carawayhaven {

/// Settings of one proxy process. Addresses are of the form "IP:port".
struct Settings {
  VmName vm;
  DataCentreName data_centre;
  std::string region;
  std::string caller_address;
  std::string peer_address;
  std::string admin_address;
  std::string platform_address;
  /// Sessions with line protocol: address of the readiness answer.
  std::string ready_address;
  /// Sessions with line protocol: where promotions are ordered.
  std::string promotion_address;
  /// Time between SIGTERM and SIGKILL.
  Duration shutdown_grace = std::chrono::seconds(6);
  Duration drain_timeout = std::chrono::seconds(10);
  Duration default_timeout = std::chrono::seconds(2);
  std::uint32_t max_sessions = 8192;
  double trace_sample_ratio = 0.01;
  LogLevel log_level = LogLevel::kInfo;
  /// Token that guards the configuration of a team. The name "operators" has
  /// the token that guards the drain of a proxy.
  std::map<TeamName, Secret, std::less<>> admin_tokens;
};

/// Settings with the place that each value came from.
struct LoadedSettings {
  Settings settings;
  /// From key to "default", "FILE:LINE:COLUMN", "environment NAME" or "flag
  /// --name".
  std::map<std::string, std::string, std::less<>> origins;

  /// Returns one line a key, value and origin; tokens are replaced.
  std::string Describe() const;
};

}  // namespace carawayhaven

#endif  // CARAWAYHAVEN_PROXY_SETTINGS_H_
