#ifndef CARAWAYHAVEN_CORE_QUEUE_COMPLETIONS_H_
#define CARAWAYHAVEN_CORE_QUEUE_COMPLETIONS_H_

#include <utility>
#include <vector>

#include "core/queue/work.h"

namespace carawayhaven {

/// Collects outcomes and calls their callbacks in Flush, once the state of the
/// pool is consistent: a callback may submit the next request before it
/// returns. Not thread-safe.
class Completions {
 public:
  /// Moves the callback out of the work. Does nothing for work whose outcome
  /// has already been added.
  void Add(Work& work, Outcome outcome) {
    if (work.done == nullptr) return;
    pending_.emplace_back(std::exchange(work.done, nullptr),
                          std::move(outcome));
  }

  /// Calls the callbacks, including those that are added during the calls.
  void Flush() {
    while (!pending_.empty()) {
      for (const auto& [done, outcome] : std::exchange(pending_, {})) {
        done(outcome);
      }
    }
  }

 private:
  std::vector<std::pair<OutcomeCallback, Outcome>> pending_;
};

}  // namespace carawayhaven

#endif  // CARAWAYHAVEN_CORE_QUEUE_COMPLETIONS_H_
