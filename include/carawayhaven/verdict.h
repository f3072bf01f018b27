#ifndef CARAWAYHAVEN_VERDICT_H_
#define CARAWAYHAVEN_VERDICT_H_

#include <string_view>

namespace carawayhaven {

/// Whether a request may have had an effect on its database.
enum class Verdict {
  /// The request ran, and its effect is as durable as the service's
  /// configuration requires.
  kRan,
  /// The request had no effect and never will have one.
  kNotRun,
  /// Unknown; can be resolved to kRan or kNotRun by the request id.
  kMayHaveRun,
};

/// Returns the stable text form: "ran", "not_run" or "may_have_run".
std::string_view VerdictName(Verdict verdict);

}  // namespace carawayhaven

#endif  // CARAWAYHAVEN_VERDICT_H_
