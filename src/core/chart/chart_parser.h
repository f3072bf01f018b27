#ifndef CARAWAYHAVEN_CORE_CHART_CHART_PARSER_H_
#define CARAWAYHAVEN_CORE_CHART_CHART_PARSER_H_

#include <string_view>

#include "core/chart/state_chart.h"

namespace carawayhaven {

/// Parses a state chart file, which contains the keys `initial`, `final` and
/// `events`, and for each state a table `states.NAME` of event = "target".
class ChartParser {
 public:
  /// Throws ParseError when the text is not valid TOML, a key is missing or has
  /// the wrong type, a target, initial or final state is undeclared, an event
  /// is not in `events`, a state is unreachable, or a non-final state has no
  /// transition.
  static StateChart Parse(std::string_view text);
};

}  // namespace carawayhaven

#endif  // CARAWAYHAVEN_CORE_CHART_CHART_PARSER_H_
