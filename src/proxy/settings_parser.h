#ifndef CARAWAYHAVEN_PROXY_SETTINGS_PARSER_H_
#define CARAWAYHAVEN_PROXY_SETTINGS_PARSER_H_

#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "proxy/settings.h"
#include "proxy/settings_error.h"

namespace carawayhaven {

struct SettingsKey;

/// The sources of the settings of a process.
struct SettingsSources {
  std::string file_name;
  std::string text;
  /// All environment variables; only those that start with "CARAWAYHAVEN_" are
  /// read.
  std::map<std::string, std::string, std::less<>> environment;
  /// Command-line flags by the key that they set.
  std::map<std::string, std::string, std::less<>> flags;
};

/// Parses the settings of a process. An environment variable overrides the
/// file, and a flag overrides both. Not thread-safe.
class SettingsParser {
 public:
  /// Longer texts are rejected.
  static constexpr std::size_t kMaxTextBytes = 256 * 1024;

  /// Throws SettingsError with every fault found, including those in values
  /// that are overridden.
  static LoadedSettings Parse(const SettingsSources& sources);

 private:
  explicit SettingsParser(const SettingsSources& sources) : sources_(sources) {}

  void ReadFile();
  void ReadEnvironment();
  void ReadFlags();
  void ReadText(const SettingsKey& key, const std::string& text,
                const std::string& source, const std::string& origin);
  void ReadTokenVariable(const std::string& text);
  void CheckMissing();
  void CheckDistinctAddresses();
  void AddFault(std::string source, TextPosition position, std::string message);

  class FileReader;

  const SettingsSources& sources_;
  LoadedSettings loaded_;
  std::vector<SettingsFault> faults_;
};

}  // namespace carawayhaven

#endif  // CARAWAYHAVEN_PROXY_SETTINGS_PARSER_H_
