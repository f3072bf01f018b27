#include "core/queue/answer_outcome.h"

#include "carawayhaven/request.h"
#include "core/endpoint_answer.h"
#include "core/endpoint_command.h"
#include "core/mutation.h"

namespace carawayhaven {

EndpointCommand CommandFor(const Request& request) {
  EndpointCommand command;
  switch (request.kind) {
    case RequestKind::kStatement:
      command.operation = EndpointOperation::kExecute;
      break;
    case RequestKind::kBegin:
      command.operation = EndpointOperation::kBegin;
      break;
    case RequestKind::kCommit:
      command.operation = EndpointOperation::kCommit;
      break;
    case RequestKind::kRollback:
      command.operation = EndpointOperation::kRollback;
      break;
    case RequestKind::kResolve:
      command.operation = EndpointOperation::kResolve;
      break;
  }
  command.statement = request.statement;
  command.parameters = request.parameters;
  command.access = request.access;
  command.id = request.id;
  command.max_age = request.max_age;
  if (!MutationEnabled(Mutation::kSkipTokenCheck)) {
    command.min_position = request.min_position;
  }
  return command;
}

Outcome OutcomeOf(const EndpointAnswer& answer, const Request& request) {
  Outcome outcome;
  outcome.position = answer.position;
  outcome.payload = answer.payload;
  outcome.from_replica = answer.role == EndpointRole::kReplica;
  switch (answer.status) {
    case EndpointStatus::kOk:
      outcome.verdict = request.kind == RequestKind::kResolve && !answer.ran
                            ? Verdict::kNotRun
                            : Verdict::kRan;
      return outcome;
    case EndpointStatus::kDuplicate:
      outcome.verdict = Verdict::kRan;
      return outcome;
    case EndpointStatus::kConflict:
      outcome.verdict = Verdict::kRan;
      outcome.reason = Reason::kConstraint;
      return outcome;
    case EndpointStatus::kBehind:
      outcome.reason = Reason::kBehind;
      return outcome;
    case EndpointStatus::kStaleTerm:
      outcome.reason = Reason::kStaleTerm;
      return outcome;
    case EndpointStatus::kNotPrimary:
    case EndpointStatus::kRefused:
      outcome.reason = Reason::kNotPrimary;
      return outcome;
    case EndpointStatus::kBusy:
      outcome.reason = Reason::kBusy;
      return outcome;
    case EndpointStatus::kCancelled:
      outcome.reason = Reason::kCancelled;
      return outcome;
    case EndpointStatus::kError:
      outcome.reason = Reason::kStatementError;
      return outcome;
  }
  return outcome;
}

bool NeedsConfirmation(const Request& request, const EndpointAnswer& answer,
                       AcknowledgeMode mode) {
  if (MutationEnabled(Mutation::kAcknowledgeBeforeConfirm) ||
      (MutationEnabled(Mutation::kResolveWithoutConfirm) &&
       request.kind == RequestKind::kResolve)) {
    return false;
  }
  if (answer.status != EndpointStatus::kOk &&
      answer.status != EndpointStatus::kDuplicate &&
      answer.status != EndpointStatus::kConflict) {
    return false;
  }
  if (request.kind == RequestKind::kBegin ||
      request.kind == RequestKind::kRollback) {
    return false;
  }
  if (request.kind == RequestKind::kStatement) {
    if (!request.transaction.empty()) return false;
    if (request.access == AccessMode::kRead) {
      return !request.max_age.has_value() &&
             !MutationEnabled(Mutation::kReadWithoutConfirm);
    }
  }
  return mode == AcknowledgeMode::kReplica;
}

bool IsWrite(const Request& request) {
  return request.kind != RequestKind::kStatement ||
         request.access == AccessMode::kWrite;
}

}  // namespace carawayhaven
