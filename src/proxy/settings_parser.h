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

/// Where the settings of a process come from.
struct SettingsSources {
  std::string file_name;
  std::string text;
  /// All environment variables; those that start with "CARAWAYHAVEN_" count.
  std::map<std::string, std::string, std::less<>> environment;
  /// Flags that were given, by the key they set.
  std::map<std::string, std::string, std::less<>> flags;
};

/// Reads the settings of a process. A variable of the environment overrides the
/// file, a flag overrides both. Not thread-safe.
class SettingsParser {
 public:
  /// A longer text is refused.
  static constexpr std::size_t kMaxTextBytes = 256 * 1024;

  /// Throws SettingsError with every fault found, also in values that are
  /// overridden.
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
