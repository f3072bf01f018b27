#ifndef CARAWAYHAVEN_VERDICT_H_
#define CARAWAYHAVEN_VERDICT_H_

#include <string_view>

namespace carawayhaven {

/// Says whether a request may have had an effect on its database.
enum class Verdict {
  /// The request ran and its effect is durable under the service's setting.
  kRan,
  /// The request had no effect and never will have one.
  kNotRun,
  /// Unknown; can be resolved to one of the other two by the request id.
  kMayHaveRun,
};

/// Returns the stable text form: "ran", "not_run" or "may_have_run".
std::string_view VerdictName(Verdict verdict);

}  // namespace carawayhaven

#endif  // CARAWAYHAVEN_VERDICT_H_
