#ifndef CARAWAYHAVEN_UTIL_LOAD_LEDGER_H_
#define CARAWAYHAVEN_UTIL_LOAD_LEDGER_H_

#include <cstdint>
#include <map>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "carawayhaven/verdict.h"

namespace carawayhaven::load {

/// A write as its caller knows it. Each write adds a marker of its own to the
/// lists of its keys, so that lost and doubled writes can be told apart.
struct WriteRecord {
  std::string service;
  std::vector<std::string> keys;
  Verdict verdict = Verdict::kMayHaveRun;
};

/// What the check of the final data found.
struct LedgerResult {
  std::uint64_t acknowledged = 0;
  std::uint64_t lost = 0;
  std::uint64_t doubled = 0;
  /// Writes reported as not run that are in the data.
  std::uint64_t untrue_not_run = 0;
  /// Transactions of which only a part is in the data.
  std::uint64_t torn_transactions = 0;
  /// Writes whose verdict was never settled.
  std::uint64_t unresolved = 0;
};

/// Records the writes of all callers and compares them with the final data.
/// Not thread-safe.
class Ledger {
 public:
  void Record(const std::string& marker, WriteRecord record);
  void SetVerdict(const std::string& marker, Verdict verdict);

  /// Takes the final list of a key.
  void SetFinalValue(const std::string& service, const std::string& key,
                     const nlohmann::json& list);

  /// Compares; every key of every write must have been set before.
  LedgerResult Check() const;

 private:
  std::uint64_t Occurrences(const WriteRecord& record, const std::string& key,
                            const std::string& marker) const;

  std::map<std::string, WriteRecord> writes_;
  std::map<std::string, std::map<std::string, std::uint64_t>> final_values_;
};

}  // namespace carawayhaven::load

#endif  // CARAWAYHAVEN_UTIL_LOAD_LEDGER_H_
