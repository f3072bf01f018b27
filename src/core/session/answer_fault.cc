#include "core/session/answer_fault.h"

#include "core/session/answer_observer.h"

namespace carawayhaven {

std::string_view AnswerFaultName(AnswerFault fault) {
  switch (fault) {
    case AnswerFault::kNone:
      return "none";
    case AnswerFault::kMalformed:
      return "malformed";
    case AnswerFault::kIncomplete:
      return "incomplete";
    case AnswerFault::kUnrequested:
      return "unrequested";
    case AnswerFault::kUnsigned:
      return "unsigned";
    case AnswerFault::kUnexpectedSignature:
      return "unexpected_signature";
    case AnswerFault::kUnexpectedRows:
      return "unexpected_rows";
    case AnswerFault::kUnexpectedState:
      return "unexpected_state";
    case AnswerFault::kUnexpectedCode:
      return "unexpected_code";
    case AnswerFault::kStalePosition:
      return "stale_position";
    case AnswerFault::kRepeatedSignature:
      return "repeated_signature";
    case AnswerFault::kRepeatedRow:
      return "repeated_row";
    case AnswerFault::kJoinedRows:
      return "joined_rows";
  }
  return "none";
}

std::string_view ConnectionPhaseName(ConnectionPhase phase) {
  switch (phase) {
    case ConnectionPhase::kOpening:
      return "opening";
    case ConnectionPhase::kIdle:
      return "idle";
    case ConnectionPhase::kSetup:
      return "setup";
    case ConnectionPhase::kStatement:
      return "statement";
    case ConnectionPhase::kTransaction:
      return "transaction";
    case ConnectionPhase::kRollback:
      return "rollback";
    case ConnectionPhase::kAbandoned:
      return "abandoned";
    case ConnectionPhase::kProbe:
      return "probe";
    case ConnectionPhase::kConfirmation:
      return "confirmation";
  }
  return "idle";
}

}  // namespace carawayhaven
