#ifndef CARAWAYHAVEN_CORE_SESSION_ANSWER_CHECK_H_
#define CARAWAYHAVEN_CORE_SESSION_ANSWER_CHECK_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "core/session/answer_fault.h"
#include "core/session/statement.h"

namespace carawayhaven {

/// True if an endpoint signs the successful reply to such a statement.
bool IsSigned(EndpointStatementKind kind);

/// Compares the reply with what an endpoint can reply to the statement, given
/// the transaction state of the connection before it. Returns the first
/// difference, or kNone.
AnswerFault CheckAnswer(const EndpointStatement& statement,
                        TransactionState before, const StatementReply& reply);

/// The statements and answers of one connection to an endpoint. Replies carry
/// no statement id, so a late second answer to an earlier statement is
/// recognised by what it repeats. Not thread-safe.
class AnswerHistory {
 public:
  /// The latest answered statements of callers that are kept for the log.
  static constexpr std::size_t kRecentStatements = 8;
  /// The latest signatures that are compared.
  static constexpr std::size_t kSignatures = 256;
  /// The latest answers whose rows are compared.
  static constexpr std::size_t kComparedRows = 16;

  /// As CheckAnswer; also compares the reply with earlier ones. A reply that
  /// starts with the first row of an earlier one may contain rows of that one:
  /// a fault unless both replies to the same subject have the same rows. So is
  /// a reply that contains its first row twice. Neither is with
  /// `rows_are_distinct` false: rows of the service are often equal.
  AnswerFault Check(const EndpointStatement& statement, TransactionState before,
                    const StatementReply& reply, bool rows_are_distinct) const;

  /// Adds a reply that was accepted.
  void Record(const EndpointStatement& statement, const StatementReply& reply,
              TimePoint now);

  /// Adds the position of a reply, for example of the one that opened the
  /// connection.
  void RecordPosition(const StatementReply& reply);

  /// Adds the signature of a reply that was not accepted.
  void RecordSignature(const StatementReply& reply);

  /// Ids of the latest answered statements of callers, oldest first.
  std::vector<std::string_view> RecentIds() const;
  std::uint64_t answers() const { return answers_; }
  TimePoint last_answer() const { return last_answer_; }

 private:
  /// Hashes of the rows of an answer and of what its statement was about.
  struct Rows {
    std::uint64_t first = 0;
    std::uint64_t all = 0;
    std::uint64_t subject = 0;
  };

  bool MayContainEarlierRows(const EndpointStatement& statement,
                             const StatementReply& reply,
                             bool rows_are_distinct) const;

  std::vector<std::uint64_t> signatures_;
  std::size_t next_signature_ = 0;
  std::vector<Rows> rows_;
  std::size_t next_rows_ = 0;
  std::array<std::string, kRecentStatements> recent_ids_;
  std::size_t next_recent_id_ = 0;
  /// End of the endpoint's log in the latest reply that states it.
  LogPosition position_;
  std::uint64_t answers_ = 0;
  TimePoint last_answer_;
};

/// Hash of all rows.
std::uint64_t HashRows(const std::vector<std::string>& rows);

}  // namespace carawayhaven

#endif  // CARAWAYHAVEN_CORE_SESSION_ANSWER_CHECK_H_
