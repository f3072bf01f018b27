#include "wire/caller_codec.h"

#include <algorithm>
#include <nlohmann/json.hpp>

#include "carawayhaven/error_messages.h"
#include "carawayhaven/exceptions.h"
#include "wire/json_fields.h"

namespace carawayhaven {
namespace {

using std::chrono::milliseconds;

RequestKind ParseRequestKind(const std::string& type) {
  if (type == "request") return RequestKind::kStatement;
  if (type == "begin") return RequestKind::kBegin;
  if (type == "commit") return RequestKind::kCommit;
  if (type == "rollback") return RequestKind::kRollback;
  if (type == "resolve") return RequestKind::kResolve;
  throw DecodeError(std::string(error_messages::kMissingField) + "type");
}

void CheckLength(const std::string& text, std::size_t limit) {
  if (text.size() > limit) throw DecodeError(error_messages::kMessageTooLarge);
}

// Reads the fields of a statement. Throws DecodeError if one of them is invalid
// or exceeds its limit.
void DecodeStatement(const nlohmann::json& message, Request& request) {
  request.statement = RequiredString(message, "statement");
  CheckLength(request.statement, CallerLimits::kMaxStatementBytes);
  const auto parameters = message.find("parameters");
  if (parameters != message.end()) {
    if (!parameters->is_array()) {
      throw DecodeError(std::string(error_messages::kMissingField) +
                        "parameters");
    }
    request.parameters = parameters->dump();
  }
  const std::string access = OptionalString(message, "access");
  if (!access.empty() && access != "read" && access != "write") {
    throw DecodeError(std::string(error_messages::kMissingField) + "access");
  }
  request.access = access == "write" ? AccessMode::kWrite : AccessMode::kRead;
}

// A non-idempotent write outside a transaction, a commit and a resolve need a
// request id chosen by the caller: without it, another proxy could not
// distinguish a retry from a new request.
void CheckRequestId(const Request& request) {
  const bool is_write_outside_transaction =
      request.kind == RequestKind::kStatement &&
      request.access == AccessMode::kWrite && request.transaction.empty() &&
      !request.idempotent;
  const bool is_required = is_write_outside_transaction ||
                           request.kind == RequestKind::kResolve ||
                           request.kind == RequestKind::kCommit;
  if (is_required && request.id.value.empty()) {
    throw DecodeError(std::string(error_messages::kMissingField) +
                      "request_id");
  }
}

}  // namespace

CallerRequest DecodeCallerRequest(std::string_view text,
                                  const CallerLimits& limits, TimePoint now) {
  const nlohmann::json message = ParseJsonObject(text);
  CallerRequest decoded;
  decoded.id = RequiredNumber(message, "id");
  Request& request = decoded.request;
  request.kind = ParseRequestKind(RequiredString(message, "type"));
  request.service = RequiredString(message, "service");
  request.team = OptionalString(message, "team");
  request.id.value = OptionalString(message, "request_id");
  request.id.attempt = static_cast<std::uint32_t>(
      OptionalNumberUpTo(message, "attempt", CallerLimits::kMaxAttempt));
  request.transaction = OptionalString(message, "transaction");
  request.traceparent = OptionalString(message, "traceparent");
  for (const std::string* name : {&request.service, &request.team,
                                  &request.id.value, &request.transaction}) {
    CheckLength(*name, CallerLimits::kMaxNameBytes);
  }
  if (request.kind == RequestKind::kStatement) {
    DecodeStatement(message, request);
  }
  request.idempotent = OptionalBool(message, "idempotent", false);
  if (message.contains("max_age_ms")) {
    request.max_age = milliseconds(
        OptionalNumberUpTo(message, "max_age_ms", CallerLimits::kMaxAgeMs));
  }
  CheckRequestId(request);
  const auto default_ms =
      std::chrono::duration_cast<milliseconds>(limits.default_timeout);
  const Duration timeout = milliseconds(std::min<std::uint64_t>(
      OptionalNumber(message, "timeout_ms",
                     static_cast<std::uint64_t>(default_ms.count())),
      static_cast<std::uint64_t>(limits.max_timeout.count()) / 1000));
  request.deadline = now + timeout;
  decoded.token = SessionToken::Parse(OptionalString(message, "token"));
  request.min_position = decoded.token.PositionOf(request.service);
  return decoded;
}

std::uint64_t PeekCallerRequestId(std::string_view text) {
  try {
    return RequiredNumber(ParseJsonObject(text), "id");
  } catch (const DecodeError&) {
    return 0;
  }
}

std::string EncodeCallerAnswer(std::uint64_t id, const Outcome& outcome,
                               const SessionToken& token,
                               std::string_view transaction) {
  nlohmann::json answer = {{"type", "answer"},
                           {"id", id},
                           {"verdict", VerdictName(outcome.verdict)},
                           {"reason", ReasonName(outcome.reason)},
                           {"token", token.Format()},
                           {"served_by", outcome.served_by},
                           {"from_replica", outcome.from_replica}};
  if (!outcome.payload.empty()) {
    nlohmann::json result(nlohmann::json::value_t::discarded);
    if (!IsNestedTooDeep(outcome.payload)) {
      result = nlohmann::json::parse(outcome.payload, nullptr, false);
    }
    answer["result"] = result.is_discarded() ? nlohmann::json(outcome.payload)
                                             : std::move(result);
  }
  if (outcome.retry_after > Duration::zero()) {
    answer["retry_after_ms"] =
        std::chrono::ceil<milliseconds>(outcome.retry_after).count();
  }
  if (!transaction.empty()) answer["transaction"] = transaction;
  return answer.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

std::string EncodeCallerError(std::uint64_t id, std::string_view message) {
  const nlohmann::json answer = {
      {"type", "answer"},
      {"id", id},
      {"verdict", VerdictName(Verdict::kNotRun)},
      {"reason", ReasonName(Reason::kInvalidRequest)},
      {"message", message}};
  return answer.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

std::string EncodeLeavingNotice() { return R"({"type":"leaving"})"; }

}  // namespace carawayhaven
