#ifndef CARAWAYHAVEN_CORE_CHART_STATE_CHART_H_
#define CARAWAYHAVEN_CORE_CHART_STATE_CHART_H_

#include <map>
#include <set>
#include <string>
#include <string_view>

namespace carawayhaven {

/// States and transitions of a protocol, parsed from a state chart file.
/// Immutable, so it can be shared between threads.
class StateChart {
 public:
  using Transitions = std::map<std::string, std::string, std::less<>>;

  /// Does not validate the arguments; ChartParser does.
  StateChart(std::string initial, std::set<std::string, std::less<>> finals,
             std::map<std::string, Transitions, std::less<>> states);

  const std::string& initial() const { return initial_; }
  bool IsFinal(std::string_view state) const;

  /// Returns the target of the event in the state, or null when the state has
  /// no transition for the event. The pointer is valid as long as the chart.
  const std::string* Next(std::string_view state, std::string_view event) const;

 private:
  std::string initial_;
  std::set<std::string, std::less<>> finals_;
  std::map<std::string, Transitions, std::less<>> states_;
};

}  // namespace carawayhaven

#endif  // CARAWAYHAVEN_CORE_CHART_STATE_CHART_H_
