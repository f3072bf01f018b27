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
  /// Session proxy only: address of the readiness check.
  std::string ready_address;
  /// Session proxy only: address to which promotions are ordered.
  std::string promotion_address;
  /// Time between SIGTERM and SIGKILL.
  Duration shutdown_grace = std::chrono::seconds(6);
  Duration drain_timeout = std::chrono::seconds(10);
  Duration default_timeout = std::chrono::seconds(2);
  std::uint32_t max_sessions = 8192;
  double trace_sample_ratio = 0.01;
  /// Session proxy only: the tolerance of the organisations' limits. In each
  /// window, (rate x window + burst) x (1 + excess) + slack operations may run.
  Duration limit_window = std::chrono::seconds(5);
  double limit_excess = 0;
  std::uint32_t limit_slack = 0;
  /// Session proxy only: capacity of this VM; zero if it is not known.
  double cpu_share = 0;
  double link_mbps = 0;
  std::uint32_t memory_mb = 0;
  /// Session proxy only: a message that is not complete this long after its
  /// first byte ends its connection.
  Duration message_timeout = std::chrono::seconds(30);
  /// Session proxy only: adapt the number of outstanding statements of each
  /// endpoint to its answers.
  bool endpoint_pacing = false;
  LogLevel log_level = LogLevel::kInfo;
  /// Tokens by team: each permits changing the configuration of its team. The
  /// token under the name "operators" permits draining a proxy.
  std::map<TeamName, Secret, std::less<>> admin_tokens;
};

/// Settings with the origin of each value.
struct LoadedSettings {
  Settings settings;
  /// Origin of each key that was set: "FILE:LINE:COLUMN", "environment NAME" or
  /// "flag --name". The other keys have their defaults.
  std::map<std::string, std::string, std::less<>> origins;

  /// Returns one line per key, with value and origin; tokens are replaced by a
  /// placeholder.
  std::string Describe() const;
};

}  // namespace carawayhaven

#endif  // CARAWAYHAVEN_PROXY_SETTINGS_H_
