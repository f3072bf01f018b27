#ifndef CARAWAYHAVEN_PROXY_STATE_LOG_H_
#define CARAWAYHAVEN_PROXY_STATE_LOG_H_

#include <initializer_list>
#include <map>
#include <string>
#include <string_view>

#include "proxy/log_field.h"
#include "proxy/log_level.h"

namespace carawayhaven {

/// Logs the state of subjects, such as endpoints or peers, only when it
/// changes. Not thread-safe.
class StateLog {
 public:
  /// `event` names the log lines, `subject_field` their field with the subject.
  StateLog(std::string event, std::string subject_field);

  /// Logs the event with the subject, `state`, `previous` (when there is one)
  /// and the fields. Does nothing and returns false when the state equals the
  /// one recorded last.
  bool Record(LogLevel level, std::string_view subject, std::string_view state,
              std::initializer_list<LogField> fields = {});

  /// Removes the recorded state of a subject that no longer exists.
  void Forget(std::string_view subject);

 private:
  std::string event_;
  std::string subject_field_;
  std::map<std::string, std::string, std::less<>> states_;
};

}  // namespace carawayhaven

#endif  // CARAWAYHAVEN_PROXY_STATE_LOG_H_
