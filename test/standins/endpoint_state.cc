#include "standins/endpoint_state.h"

#include <utility>

namespace carawayhaven::standins {

LogPosition EndpointState::last_position() const {
  return {TermAt(last_index()), last_index()};
}

Term EndpointState::TermAt(std::uint64_t index) const {
  if (index == 0 || index > log_.size()) return 0;
  return log_[index - 1].term;
}

void EndpointState::Append(LogEntry entry) {
  Apply(entry);
  log_.push_back(std::move(entry));
}

void EndpointState::Truncate(std::uint64_t index) {
  if (index >= log_.size()) return;
  log_.resize(index);
  values_.clear();
  records_.clear();
  for (const LogEntry& entry : log_) Apply(entry);
}

nlohmann::json EndpointState::Read(const std::string& key) const {
  const auto found = values_.find(key);
  return found == values_.end() ? nlohmann::json() : found->second;
}

RequestRecord EndpointState::FindRecord(const std::string& request_id) const {
  const auto found = records_.find(request_id);
  return found == records_.end() ? RequestRecord{} : found->second;
}

bool EndpointState::HasReached(LogPosition position) const {
  const LogPosition last = last_position();
  return last.term > position.term ||
         (last.term == position.term && last.index >= position.index);
}

void EndpointState::Apply(const LogEntry& entry) {
  for (const Change& change : entry.changes) {
    ApplyChange(change, values_[change.key]);
  }
  if (entry.request_id.empty()) return;
  RequestRecord& record = records_[entry.request_id];
  if (entry.cancelled_attempt) {
    record.cancelled_attempt = entry.cancelled_attempt;
  } else {
    record.ran = true;
    record.outcome = entry.outcome;
  }
}

nlohmann::json EncodeEntry(const LogEntry& entry) {
  nlohmann::json json = {{"term", entry.term},
                         {"request", entry.request_id},
                         {"outcome", entry.outcome},
                         {"changes", nlohmann::json::array()}};
  for (const Change& change : entry.changes) {
    json["changes"].push_back({change.kind, change.key, change.value});
  }
  if (entry.cancelled_attempt) json["cancelled"] = *entry.cancelled_attempt;
  return json;
}

LogEntry DecodeEntry(const nlohmann::json& json) {
  LogEntry entry;
  entry.term = json.at("term").get<Term>();
  entry.request_id = json.at("request").get<std::string>();
  entry.outcome = json.at("outcome").get<std::string>();
  for (const nlohmann::json& change : json.at("changes")) {
    entry.changes.push_back({change.at(0).get<std::string>(),
                             change.at(1).get<std::string>(), change.at(2)});
  }
  if (json.contains("cancelled")) {
    entry.cancelled_attempt = json["cancelled"].get<std::uint32_t>();
  }
  return entry;
}

void ApplyChange(const Change& change, nlohmann::json& value) {
  if (change.kind == "append") {
    if (!value.is_array()) value = nlohmann::json::array();
    value.push_back(change.value);
  } else {
    value = change.value;
  }
}

}  // namespace carawayhaven::standins
