#include "core/chart/state_chart.h"

#include <utility>

namespace carawayhaven {

StateChart::StateChart(std::string initial,
                       std::set<std::string, std::less<>> finals,
                       std::map<std::string, Transitions, std::less<>> states)
    : initial_(std::move(initial)),
      finals_(std::move(finals)),
      states_(std::move(states)) {}

bool StateChart::IsFinal(std::string_view state) const {
  return finals_.contains(state);
}

const std::string* StateChart::Next(std::string_view state,
                                    std::string_view event) const {
  const auto from = states_.find(state);
  if (from == states_.end()) return nullptr;
  const auto to = from->second.find(event);
  return to == from->second.end() ? nullptr : &to->second;
}

}  // namespace carawayhaven
