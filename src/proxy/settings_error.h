#ifndef CARAWAYHAVEN_PROXY_SETTINGS_ERROR_H_
#define CARAWAYHAVEN_PROXY_SETTINGS_ERROR_H_

#include <string>
#include <vector>

#include "carawayhaven/exceptions.h"

namespace carawayhaven {

/// One fault in the settings of a process.
struct SettingsFault {
  /// Name of the file, the environment variable or the flag.
  std::string source;
  /// Position in the file; zero for a variable or flag.
  TextPosition position;
  std::string message;

  /// Returns "SOURCE:LINE:COLUMN: message", without a position when it is zero.
  std::string Format() const;
};

/// All faults found in the settings; what() has one line for each.
class SettingsError : public Error {
 public:
  explicit SettingsError(std::vector<SettingsFault> faults);

  const std::vector<SettingsFault>& faults() const { return faults_; }

 private:
  std::vector<SettingsFault> faults_;
};

}  // namespace carawayhaven

#endif  // CARAWAYHAVEN_PROXY_SETTINGS_ERROR_H_
