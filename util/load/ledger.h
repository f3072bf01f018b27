#ifndef CARAWAYHAVEN_UTIL_LOAD_LEDGER_H_
#define CARAWAYHAVEN_UTIL_LOAD_LEDGER_H_

#include <cstdint>
#include <map>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "carawayhaven/verdict.h"

namespace carawayhaven::load {

/// A write as reported to its caller. Each write appends a unique marker to the
/// lists of its keys: an absent marker means a lost write, a repeated marker
/// means a doubled write.
struct WriteRecord {
  std::string service;
  std::vector<std::string> keys;
  Verdict verdict = Verdict::kMayHaveRun;
};

/// Result of comparing the recorded writes with the final data.
struct LedgerResult {
  std::uint64_t acknowledged = 0;
  std::uint64_t lost = 0;
  std::uint64_t doubled = 0;
  /// Writes reported as not run whose marker is in the data.
  std::uint64_t untrue_not_run = 0;
  /// Transactions whose marker is in the data for only some of their keys.
  std::uint64_t torn_transactions = 0;
  /// Writes whose verdict remained unknown.
  std::uint64_t unresolved = 0;
};

/// Records the writes of all callers and compares them with the final data.
/// Not thread-safe.
class Ledger {
 public:
  void Record(const std::string& marker, WriteRecord record);
  void SetVerdict(const std::string& marker, Verdict verdict);

  /// Sets the final list of markers of a key.
  void SetFinalValue(const std::string& service, const std::string& key,
                     const nlohmann::json& list);

  /// Compares the recorded writes with the final data. Precondition: the final
  /// value of every key of every write has been set.
  LedgerResult Check() const;

 private:
  std::uint64_t Occurrences(const WriteRecord& record, const std::string& key,
                            const std::string& marker) const;

  std::map<std::string, WriteRecord> writes_;
  std::map<std::string, std::map<std::string, std::uint64_t>> final_values_;
};

}  // namespace carawayhaven::load

#endif  // CARAWAYHAVEN_UTIL_LOAD_LEDGER_H_
