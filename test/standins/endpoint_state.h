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

/// Change of one key by a write.
struct Change {
  /// "put" sets the value; "append" adds it to the list under the key.
  std::string kind;
  std::string key;
  nlohmann::json value;
};

/// One entry of the replicated log. An entry without changes and without a
/// request id marks the start of a term.
struct LogEntry {
  Term term = 0;
  std::vector<Change> changes;
  std::string request_id;
  /// Result of the request, returned again to a repeated request.
  std::string outcome;
  /// Set for a cancel marker: attempts up to this one are refused.
  std::optional<std::uint32_t> cancelled_attempt;
};

/// State of a request id, derived from the log.
struct RequestRecord {
  bool ran = false;
  std::string outcome;
  /// Attempts up to this one are refused.
  std::optional<std::uint32_t> cancelled_attempt;
};

/// The data of a database: a log and the state derived from it. The first entry
/// has index 1; index 0 is the position before it.
class EndpointState {
 public:
  std::uint64_t last_index() const { return log_.size(); }
  LogPosition last_position() const;
  /// Term of the entry at the index; zero when there is none.
  Term TermAt(std::uint64_t index) const;
  const LogEntry& EntryAt(std::uint64_t index) const { return log_[index - 1]; }

  void Append(LogEntry entry);

  /// Removes the entries after `index` and rebuilds the state.
  void Truncate(std::uint64_t index);

  /// Returns the value of a key; null when absent.
  nlohmann::json Read(const std::string& key) const;
  const std::map<std::string, nlohmann::json>& values() const {
    return values_;
  }
  /// Returns the state of a request id; a default record when unknown.
  RequestRecord FindRecord(const std::string& request_id) const;

  /// True if the last entry is at or after the position. Terms compare first: a
  /// log that ends in a later term counts as having reached it at any index.
  bool HasReached(LogPosition position) const;

 private:
  void Apply(const LogEntry& entry);

  std::vector<LogEntry> log_;
  std::map<std::string, nlohmann::json> values_;
  std::map<std::string, RequestRecord> records_;
};

/// Converts entries to and from the JSON of the replication stream.
nlohmann::json EncodeEntry(const LogEntry& entry);
LogEntry DecodeEntry(const nlohmann::json& json);

/// Applies a change to a value in place.
void ApplyChange(const Change& change, nlohmann::json& value);

}  // namespace carawayhaven::standins

#endif  // CARAWAYHAVEN_TEST_STANDINS_ENDPOINT_STATE_H_
