#include "wire/endpoint_codec.h"

#include <array>
#include <cstdint>
#include <limits>
#include <nlohmann/json.hpp>
#include <utility>

#include "carawayhaven/error_messages.h"
#include "carawayhaven/exceptions.h"
#include "wire/json_fields.h"

namespace carawayhaven {
namespace {

constexpr std::array<std::pair<EndpointOperation, const char*>, 10>
    kOperationNames = {{{EndpointOperation::kExecute, "execute"},
                        {EndpointOperation::kBegin, "begin"},
                        {EndpointOperation::kCommit, "commit"},
                        {EndpointOperation::kRollback, "rollback"},
                        {EndpointOperation::kResolve, "resolve"},
                        {EndpointOperation::kConfirm, "confirm"},
                        {EndpointOperation::kStatus, "status"},
                        {EndpointOperation::kFence, "fence"},
                        {EndpointOperation::kPromote, "promote"},
                        {EndpointOperation::kFollow, "follow"}}};

constexpr std::array<std::pair<EndpointStatus, const char*>, 10> kStatusNames =
    {{{EndpointStatus::kOk, "ok"},
      {EndpointStatus::kBehind, "behind"},
      {EndpointStatus::kStaleTerm, "stale_term"},
      {EndpointStatus::kNotPrimary, "not_primary"},
      {EndpointStatus::kBusy, "busy"},
      {EndpointStatus::kConflict, "conflict"},
      {EndpointStatus::kCancelled, "cancelled"},
      {EndpointStatus::kDuplicate, "duplicate"},
      {EndpointStatus::kRefused, "refused"},
      {EndpointStatus::kError, "error"}}};

constexpr std::uint64_t kMaxAttempt = std::numeric_limits<std::uint32_t>::max();
// Adding a few durations of this size to a time point does not overflow
// Duration.
constexpr std::uint64_t kMaxMicroseconds = 1ULL << 60;

// Throws Error if a string is not valid UTF-8.
std::string SerializeJson(const nlohmann::json& message) {
  try {
    return message.dump();
  } catch (const nlohmann::json::type_error&) {
    throw Error(error_messages::kNotUtf8);
  }
}

Duration OptionalDuration(const nlohmann::json& object, const char* key) {
  return Duration(OptionalNumberUpTo(object, key, kMaxMicroseconds));
}

template <typename Table, typename Value>
const char* FindName(const Table& table, Value value) {
  for (const auto& [candidate, name] : table) {
    if (candidate == value) return name;
  }
  return "";
}

// Returns the value with that name. Throws DecodeError, naming the field `key`,
// if the table does not contain the name.
template <typename Table>
auto FindValue(const Table& table, const std::string& name, const char* key) {
  for (const auto& [value, candidate] : table) {
    if (name == candidate) return value;
  }
  throw DecodeError(std::string(error_messages::kMissingField) + key);
}

}  // namespace

std::string EncodeEndpointCommand(const EndpointCommand& command) {
  nlohmann::json message = {
      {"id", command.correlation},
      {"op", FindName(kOperationNames, command.operation)},
      {"term", command.term}};
  if (!command.statement.empty()) {
    message["statement"] = command.statement;
    message["parameters"] = command.parameters;
    message["write"] = command.access == AccessMode::kWrite;
  }
  if (!command.id.value.empty()) {
    message["request"] = command.id.value;
    message["attempt"] = command.id.attempt;
  }
  if (command.max_age) message["max_age_us"] = command.max_age->count();
  if (command.min_position != LogPosition{}) {
    message["min_term"] = command.min_position.term;
    message["min_index"] = command.min_position.index;
  }
  if (!command.candidate.empty()) message["candidate"] = command.candidate;
  if (!command.primary.empty()) message["primary"] = command.primary;
  return SerializeJson(message);
}

EndpointCommand DecodeEndpointCommand(std::string_view text) {
  const nlohmann::json message = ParseJsonObject(text);
  EndpointCommand command;
  command.correlation = RequiredNumber(message, "id");
  command.operation =
      FindValue(kOperationNames, RequiredString(message, "op"), "op");
  command.term = RequiredNumber(message, "term");
  command.statement = OptionalString(message, "statement");
  if (message.contains("parameters")) {
    command.parameters = RequiredString(message, "parameters");
  }
  command.access = OptionalBool(message, "write", false) ? AccessMode::kWrite
                                                         : AccessMode::kRead;
  command.id = {OptionalString(message, "request"),
                static_cast<std::uint32_t>(
                    OptionalNumberUpTo(message, "attempt", kMaxAttempt))};
  if (message.contains("max_age_us")) {
    command.max_age = OptionalDuration(message, "max_age_us");
  }
  command.min_position = {OptionalNumber(message, "min_term", 0),
                          OptionalNumber(message, "min_index", 0)};
  command.candidate = OptionalString(message, "candidate");
  command.primary = OptionalString(message, "primary");
  return command;
}

std::string EncodeEndpointAnswer(const EndpointAnswer& answer) {
  nlohmann::json message = {
      {"id", answer.correlation},
      {"status", FindName(kStatusNames, answer.status)},
      {"term", answer.term},
      {"primary_role", answer.role == EndpointRole::kPrimary},
      {"position_term", answer.position.term},
      {"position_index", answer.position.index},
      {"ran", answer.ran},
      {"age_us", static_cast<std::uint64_t>(answer.age.count())},
      {"run_time_us", static_cast<std::uint64_t>(answer.run_time.count())},
      {"leaving", answer.leaving}};
  if (!answer.primary.empty()) message["primary"] = answer.primary;
  if (!answer.payload.empty()) message["payload"] = answer.payload;
  return SerializeJson(message);
}

EndpointAnswer DecodeEndpointAnswer(std::string_view text) {
  const nlohmann::json message = ParseJsonObject(text);
  EndpointAnswer answer;
  answer.correlation = RequiredNumber(message, "id");
  answer.status =
      FindValue(kStatusNames, RequiredString(message, "status"), "status");
  answer.term = RequiredNumber(message, "term");
  answer.role = OptionalBool(message, "primary_role", false)
                    ? EndpointRole::kPrimary
                    : EndpointRole::kReplica;
  answer.position = {OptionalNumber(message, "position_term", 0),
                     OptionalNumber(message, "position_index", 0)};
  answer.ran = OptionalBool(message, "ran", false);
  answer.age = OptionalDuration(message, "age_us");
  answer.run_time = OptionalDuration(message, "run_time_us");
  answer.leaving = OptionalBool(message, "leaving", false);
  answer.primary = OptionalString(message, "primary");
  answer.payload = OptionalString(message, "payload");
  return answer;
}

}  // namespace carawayhaven
