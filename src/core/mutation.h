#ifndef CARAWAYHAVEN_CORE_MUTATION_H_
#define CARAWAYHAVEN_CORE_MUTATION_H_

namespace carawayhaven {

/// Deliberate faults, to show that the tests notice them. scripts/mutations
/// runs the tests with each one.
enum class Mutation {
  kNone,
  /// The promoter acts without the suspicion of a second observer.
  kSkipSecondObserver,
  /// The longest log is promoted instead of that of the highest term.
  kPromoteLongestLog,
  /// A write without an answer is sent again without a resolve.
  kRetryAfterSend,
  /// Reads carry no position of their session to the endpoint.
  kSkipTokenCheck,
  kAcknowledgeBeforeConfirm,
  kReadWithoutConfirm,
  kResolveWithoutConfirm,
  /// A confirmation releases writes that ran after it was asked for.
  kReleaseByOlderRound,
  /// A confirmation releases writes of another term.
  kReleaseByOtherTerm,
  /// A connection is used again although its transaction may be open.
  kReuseUnknownConnection,
  kApplyOlderConfig,
  /// A write that was resolved to "not run" keeps its attempt.
  kKeepAttemptAfterResolve,
  /// A caller's resolve cancels only the first attempt of its range.
  kResolveFirstAttemptOnly,
  /// A front takes a reply with an unknown correlation id for its oldest
  /// request to that owner.
  kAcceptForeignReply,
  /// A pool takes any answer on a connection for that of its statement.
  kAcceptForeignAnswer,
  /// A front takes replies of replaced primaries.
  kIgnoreHigherTerm,
  /// A request that may have run is reported as "not run".
  kReportNotRunAfterSend,
  /// A read with an age takes the answer of a primary of an older term.
  kReadFromReplacedPrimary,
  /// The correlation ids of a front start anew with each process.
  kCorrelationStartsAnew,
  /// An owner runs each copy of a forwarded request.
  kAcceptRepeatedForward,
  /// A pool waits for the confirm of a term that has ended.
  kAwaitConfirmOfOldTerm,
};

#ifdef CARAWAYHAVEN_MUTATIONS
/// The fault in force. Set by the test driver before the first test.
inline Mutation active_mutation = Mutation::kNone;

inline bool MutationEnabled(Mutation mutation) {
  return mutation == active_mutation;
}
#else
constexpr bool MutationEnabled(Mutation /*mutation*/) { return false; }
#endif

}  // namespace carawayhaven

#endif  // CARAWAYHAVEN_CORE_MUTATION_H_
