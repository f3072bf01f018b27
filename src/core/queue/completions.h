#ifndef CARAWAYHAVEN_CORE_QUEUE_COMPLETIONS_H_
#define CARAWAYHAVEN_CORE_QUEUE_COMPLETIONS_H_

#include <utility>
#include <vector>

#include "core/queue/work.h"

namespace carawayhaven {

/// Collects outcomes and reports them once the pool's state is consistent,
/// since a callback may submit the next request from within. Not thread-safe.
class Completions {
 public:
  /// Takes the callback out of the work; ended work is left alone.
  void Add(Work& work, Outcome outcome) {
    if (work.done == nullptr) return;
    pending_.emplace_back(std::exchange(work.done, nullptr),
                          std::move(outcome));
  }

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
