#include "core/session/answer_check.h"

#include <xxhash.h>

#include <algorithm>

namespace carawayhaven {
namespace {

std::uint64_t Hash(std::string_view text) {
  return XXH3_64bits(text.data(), text.size());
}

bool IsBegin(EndpointStatementKind kind) {
  return kind == EndpointStatementKind::kBegin ||
         kind == EndpointStatementKind::kBeginReadOnly;
}

bool IsAboutReplication(EndpointStatementKind kind) {
  return kind == EndpointStatementKind::kStatus ||
         kind == EndpointStatementKind::kStepDown;
}

bool IsRead(const EndpointStatement& statement) {
  return IsSigned(statement.kind) && statement.access == AccessMode::kRead &&
         !statement.commits;
}

// What the statement is about, without the name of the prepared statement.
std::string_view Subject(const EndpointStatement& statement) {
  if (statement.kind == EndpointStatementKind::kExecute) return statement.value;
  const std::string_view text = statement.text;
  const std::size_t blank = text.find(' ');
  return blank == std::string_view::npos ? text : text.substr(blank + 1);
}

bool IsPossibleError(const EndpointStatement& statement,
                     TransactionState before, ReplyCode code) {
  switch (code) {
    case ReplyCode::kBusy:
    case ReplyCode::kFailed:
    case ReplyCode::kTimeout:
    case ReplyCode::kMalformed:
    case ReplyCode::kTooLarge:
      return true;
    case ReplyCode::kBehind:
      return statement.min_position.has_value();
    case ReplyCode::kNotPrimary:
      return before != TransactionState::kIdle ||
             statement.kind == EndpointStatementKind::kBegin ||
             (IsSigned(statement.kind) &&
              statement.access == AccessMode::kWrite);
    case ReplyCode::kUnknownStatement:
      return statement.kind == EndpointStatementKind::kExecute;
    default:
      return false;
  }
}

bool IsPossibleState(const EndpointStatement& statement,
                     TransactionState before, const StatementReply& reply) {
  if (reply.code != ReplyCode::kOk) {
    return statement.commits || (before == TransactionState::kIdle) ==
                                    (reply.state == TransactionState::kIdle);
  }
  if (IsBegin(statement.kind)) return reply.state == TransactionState::kOpen;
  if (statement.commits || statement.kind == EndpointStatementKind::kRollback) {
    return reply.state == TransactionState::kIdle;
  }
  return reply.state == before;
}

}  // namespace

bool IsSigned(EndpointStatementKind kind) {
  return kind == EndpointStatementKind::kCaller ||
         kind == EndpointStatementKind::kExecute;
}

AnswerFault CheckAnswer(const EndpointStatement& statement,
                        TransactionState before, const StatementReply& reply) {
  // The last of several replies may be the right one, unless the first is
  // signed.
  if (reply.is_followed && reply.signature.empty()) {
    return AnswerFault::kUnrequested;
  }
  if (reply.code != ReplyCode::kOk) {
    if (!IsPossibleError(statement, before, reply.code)) {
      return AnswerFault::kUnexpectedCode;
    }
    if (!reply.rows.empty() && !IsRead(statement)) {
      return AnswerFault::kUnexpectedRows;
    }
  } else {
    if (IsSigned(statement.kind) && reply.signature.empty()) {
      return AnswerFault::kUnsigned;
    }
    if (!IsSigned(statement.kind) && !reply.signature.empty()) {
      return AnswerFault::kUnexpectedSignature;
    }
    if (IsAboutReplication(statement.kind)
            ? !reply.replication.has_value()
            : !reply.rows.empty() && !IsRead(statement)) {
      return AnswerFault::kUnexpectedRows;
    }
    if (reply.has_joined_rows) return AnswerFault::kJoinedRows;
  }
  if (!IsPossibleState(statement, before, reply)) {
    return AnswerFault::kUnexpectedState;
  }
  return AnswerFault::kNone;
}

AnswerFault AnswerHistory::Check(const EndpointStatement& statement,
                                 TransactionState before,
                                 const StatementReply& reply,
                                 bool rows_are_distinct) const {
  const AnswerFault fault = CheckAnswer(statement, before, reply);
  if (fault != AnswerFault::kNone && fault != AnswerFault::kJoinedRows) {
    return fault;
  }
  if (!reply.signature.empty() &&
      std::find(signatures_.begin(), signatures_.end(),
                Hash(reply.signature)) != signatures_.end()) {
    return AnswerFault::kRepeatedSignature;
  }
  if (reply.position && *reply.position < position_) {
    return AnswerFault::kStalePosition;
  }
  if (fault != AnswerFault::kNone) return fault;
  return MayContainEarlierRows(statement, reply, rows_are_distinct)
             ? AnswerFault::kRepeatedRow
             : AnswerFault::kNone;
}

bool AnswerHistory::MayContainEarlierRows(const EndpointStatement& statement,
                                          const StatementReply& reply,
                                          bool rows_are_distinct) const {
  if (reply.rows.empty() || !rows_are_distinct) return false;
  // The beginning of an answer that was cut, then the whole one.
  if (std::find(reply.rows.begin() + 1, reply.rows.end(), reply.rows.front()) !=
      reply.rows.end()) {
    return true;
  }
  const std::uint64_t first = Hash(reply.rows.front());
  const std::uint64_t all = HashRows(reply.rows);
  const std::uint64_t subject = Hash(Subject(statement));
  return std::any_of(rows_.begin(), rows_.end(), [&](const Rows& earlier) {
    return earlier.first == first &&
           (earlier.subject != subject || earlier.all != all);
  });
}

void AnswerHistory::Record(const EndpointStatement& statement,
                           const StatementReply& reply, TimePoint now) {
  ++answers_;
  last_answer_ = now;
  RecordPosition(reply);
  if (!IsSigned(statement.kind)) return;
  recent_ids_[next_recent_id_] = statement.id;
  next_recent_id_ = (next_recent_id_ + 1) % kRecentStatements;
  RecordSignature(reply);
  if (reply.rows.empty()) return;
  const Rows rows{Hash(reply.rows.front()), HashRows(reply.rows),
                  Hash(Subject(statement))};
  if (rows_.size() < kComparedRows) {
    rows_.push_back(rows);
  } else {
    rows_[next_rows_] = rows;
    next_rows_ = (next_rows_ + 1) % kComparedRows;
  }
}

void AnswerHistory::RecordPosition(const StatementReply& reply) {
  if (reply.position) position_ = *reply.position;
}

void AnswerHistory::RecordSignature(const StatementReply& reply) {
  if (reply.signature.empty()) return;
  if (signatures_.size() < kSignatures) {
    signatures_.push_back(Hash(reply.signature));
  } else {
    signatures_[next_signature_] = Hash(reply.signature);
    next_signature_ = (next_signature_ + 1) % kSignatures;
  }
}

std::vector<std::string_view> AnswerHistory::RecentIds() const {
  std::vector<std::string_view> ids;
  for (std::size_t i = 0; i < kRecentStatements; ++i) {
    const std::string& id =
        recent_ids_[(next_recent_id_ + i) % kRecentStatements];
    if (!id.empty()) ids.push_back(id);
  }
  return ids;
}

std::uint64_t HashRows(const std::vector<std::string>& rows) {
  std::uint64_t hash = rows.size();
  for (const std::string& row : rows) {
    hash = XXH3_64bits_withSeed(row.data(), row.size(), hash);
  }
  return hash;
}

}  // namespace carawayhaven
