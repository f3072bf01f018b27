#ifndef CARAWAYHAVEN_CORE_CHART_CHART_PARSER_H_
#define CARAWAYHAVEN_CORE_CHART_CHART_PARSER_H_

#include <string_view>

#include "core/chart/state_chart.h"

namespace carawayhaven {

/// Reads a chart file: `initial`, `final` and `events`, and for each state a
/// table `states.NAME` of event = "target".
class ChartParser {
 public:
  /// Throws ParseError when the text is no TOML, a key is missing or mistyped,
  /// a target or the initial state is undeclared, an event is not in `events`,
  /// a state cannot be reached, or a non-final state has no way out.
  static StateChart Parse(std::string_view text);
};

}  // namespace carawayhaven

#endif  // CARAWAYHAVEN_CORE_CHART_CHART_PARSER_H_
