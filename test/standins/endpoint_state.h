#ifndef CARAWAYHAVEN_TEST_STANDINS_ENDPOINT_STATE_H_
#define CARAWAYHAVEN_TEST_STANDINS_ENDPOINT_STATE_H_

#include <cstdint>
#include <map>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <vector>

#include "carawayhaven/log_position.h"
#include "carawayhaven/names.h"
#include "carawayhaven/request.h"

namespace carawayhaven::standins {

/// One effect on a key.
struct Change {
  /// "put" sets the value; "append" adds it to the key's list.
  std::string kind;
  std::string key;
  nlohmann::json value;
};

/// One entry of the replication log. An entry without changes and without a
/// request id marks the start of a term.
struct LogEntry {
  Term term = 0;
  std::vector<Change> changes;
  std::string request_id;
  /// Outcome recorded for the request id.
  std::string outcome;
  /// Set for a cancel marker: attempts up to this one are refused.
  std::optional<std::uint32_t> cancelled_attempt;
};

/// What is known of a request id.
struct RequestRecord {
  bool ran = false;
  std::string outcome;
  std::optional<std::uint32_t> cancelled_attempt;
};

/// The data of a database: a log and the state that it produces. Index zero is
/// the position before the first entry.
class EndpointState {
 public:
  std::uint64_t last_index() const { return log_.size(); }
  LogPosition last_position() const;
  Term TermAt(std::uint64_t index) const;
  const LogEntry& EntryAt(std::uint64_t index) const { return log_[index - 1]; }

  void Append(LogEntry entry);

  /// Drops the entries after `index` and rebuilds the state.
  void Truncate(std::uint64_t index);

  /// Value of a key; null when absent.
  nlohmann::json Read(const std::string& key) const;
  const std::map<std::string, nlohmann::json>& values() const {
    return values_;
  }
  RequestRecord Record(const std::string& request_id) const;

  /// True when the log holds everything up to the position, or a later term.
  bool HasReached(LogPosition position) const;

 private:
  void Apply(const LogEntry& entry);

  std::vector<LogEntry> log_;
  std::map<std::string, nlohmann::json> values_;
  std::map<std::string, RequestRecord> records_;
};

/// JSON form of entries for the replication stream.
nlohmann::json EncodeEntry(const LogEntry& entry);
LogEntry DecodeEntry(const nlohmann::json& json);

/// Applies a change to a value in place.
void ApplyChange(const Change& change, nlohmann::json& value);

}  // namespace carawayhaven::standins

#endif  // CARAWAYHAVEN_TEST_STANDINS_ENDPOINT_STATE_H_
