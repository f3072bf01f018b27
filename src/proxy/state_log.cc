#include "proxy/state_log.h"

#include <utility>
#include <vector>

#include "proxy/logging.h"

namespace carawayhaven {

StateLog::StateLog(std::string event, std::string subject_field)
    : event_(std::move(event)), subject_field_(std::move(subject_field)) {}

bool StateLog::Record(LogLevel level, std::string_view subject,
                      std::string_view state,
                      std::initializer_list<LogField> fields) {
  const auto found = states_.find(subject);
  if (found != states_.end() && found->second == state) return false;
  std::vector<LogField> line{{subject_field_, subject}, {"state", state}};
  if (found != states_.end()) {
    const std::string_view previous = found->second;
    line.emplace_back("previous", previous);
  }
  line.insert(line.end(), fields.begin(), fields.end());
  Log(level, event_, line);
  states_.insert_or_assign(std::string(subject), std::string(state));
  return true;
}

void StateLog::Forget(std::string_view subject) {
  const auto found = states_.find(subject);
  if (found != states_.end()) states_.erase(found);
}

}  // namespace carawayhaven
