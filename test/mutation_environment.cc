// Activates the deliberate fault named by the environment variable
// CARAWAYHAVEN_MUTATION. Linked into every test program of a build with
// CARAWAYHAVEN_MUTATIONS.
#include <cstdlib>
#include <iostream>
#include <string>
#include <utility>

#include "core/mutation.h"

namespace carawayhaven {
namespace {

constexpr std::pair<const char*, Mutation> kNames[] = {
    {"none", Mutation::kNone},
    {"skip_second_observer", Mutation::kSkipSecondObserver},
    {"promote_longest_log", Mutation::kPromoteLongestLog},
    {"retry_after_send", Mutation::kRetryAfterSend},
    {"skip_token_check", Mutation::kSkipTokenCheck},
    {"acknowledge_before_confirm", Mutation::kAcknowledgeBeforeConfirm},
    {"read_without_confirm", Mutation::kReadWithoutConfirm},
    {"resolve_without_confirm", Mutation::kResolveWithoutConfirm},
    {"release_by_older_round", Mutation::kReleaseByOlderRound},
    {"release_by_other_term", Mutation::kReleaseByOtherTerm},
    {"reuse_unknown_connection", Mutation::kReuseUnknownConnection},
    {"apply_older_config", Mutation::kApplyOlderConfig},
    {"keep_attempt_after_resolve", Mutation::kKeepAttemptAfterResolve},
    {"resolve_first_attempt_only", Mutation::kResolveFirstAttemptOnly},
    {"accept_foreign_reply", Mutation::kAcceptForeignReply},
    {"accept_foreign_answer", Mutation::kAcceptForeignAnswer},
    {"ignore_higher_term", Mutation::kIgnoreHigherTerm},
    {"report_not_run_after_send", Mutation::kReportNotRunAfterSend},
    {"read_from_replaced_primary", Mutation::kReadFromReplacedPrimary},
    {"correlation_starts_anew", Mutation::kCorrelationStartsAnew},
    {"accept_repeated_forward", Mutation::kAcceptRepeatedForward},
    {"await_confirm_of_old_term", Mutation::kAwaitConfirmOfOldTerm},
};

bool SetMutation() {
  const char* requested = std::getenv("CARAWAYHAVEN_MUTATION");
  if (requested == nullptr) return false;
  for (const auto& [name, mutation] : kNames) {
    if (std::string(name) != requested) continue;
    active_mutation = mutation;
    return true;
  }
  std::cerr << "unknown mutation " << requested << "; known:\n";
  for (const auto& [name, mutation] : kNames) std::cerr << name << "\n";
  std::exit(2);
}

const bool kIsSet = SetMutation();

}  // namespace
}  // namespace carawayhaven
