#ifndef CARAWAYHAVEN_CORE_MUTATION_H_
#define CARAWAYHAVEN_CORE_MUTATION_H_

namespace carawayhaven {

/// Deliberate faults for mutation testing. scripts/mutations runs the tests
/// with each fault to check that they detect it.
enum class Mutation {
  kNone,
  /// The promoter acts without the suspicion of a second observer.
  kSkipSecondObserver,
  /// The replica with the longest log is promoted instead of the one whose log
  /// has the highest term.
  kPromoteLongestLog,
  /// A write without an answer is retried without a resolve.
  kRetryAfterSend,
  /// Requests are sent to the endpoint without their minimum log position.
  kSkipTokenCheck,
  kAcknowledgeBeforeConfirm,
  kReadWithoutConfirm,
  kResolveWithoutConfirm,
  /// A confirmation acknowledges writes that were executed after it was
  /// requested.
  kReleaseByOlderRound,
  /// A confirmation acknowledges writes of another term.
  kReleaseByOtherTerm,
  /// A connection is reused although its transaction may still be open.
  kReuseUnknownConnection,
  kApplyOlderConfig,
  /// A write that was resolved to "not run" is retried with the same attempt
  /// number.
  kKeepAttemptAfterResolve,
  /// A resolve by a caller cancels only the first attempt of its range.
  kResolveFirstAttemptOnly,
  /// The forwarding proxy assigns a reply with an unknown correlation id to its
  /// oldest request to that pool owner.
  kAcceptForeignReply,
  /// A pool accepts any answer on a connection as the answer to the statement
  /// running on it.
  kAcceptForeignAnswer,
  /// The forwarding proxy accepts replies of replaced primaries.
  kIgnoreHigherTerm,
  /// A request that may have been executed is reported as "not run".
  kReportNotRunAfterSend,
  /// A read with a maximum age accepts the answer of a primary of an older
  /// term.
  kReadFromReplacedPrimary,
  /// The correlation ids of a forwarding proxy restart at the same value with
  /// each process.
  kCorrelationStartsAnew,
  /// The pool owner executes every copy of a forwarded request.
  kAcceptRepeatedForward,
  /// A pool waits for a confirmation in a term that has ended.
  kAwaitConfirmOfOldTerm,
};

#ifdef CARAWAYHAVEN_MUTATIONS
/// The active fault. Set before the first test from the environment.
inline Mutation active_mutation = Mutation::kNone;

inline bool MutationEnabled(Mutation mutation) {
  return mutation == active_mutation;
}
#else
constexpr bool MutationEnabled(Mutation /*mutation*/) { return false; }
#endif

}  // namespace carawayhaven

#endif  // CARAWAYHAVEN_CORE_MUTATION_H_
