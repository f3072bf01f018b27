#include "carawayhaven/verdict.h"

namespace carawayhaven {

std::string_view VerdictName(Verdict verdict) {
  switch (verdict) {
    case Verdict::kRan:
      return "ran";
    case Verdict::kNotRun:
      return "not_run";
    case Verdict::kMayHaveRun:
      return "may_have_run";
  }
  return "";
}

}  // namespace carawayhaven
