#include "load/ledger.h"

#include <algorithm>
#include <utility>

namespace carawayhaven::load {

void Ledger::Record(const std::string& marker, WriteRecord record) {
  writes_.insert_or_assign(marker, std::move(record));
}

void Ledger::SetVerdict(const std::string& marker, Verdict verdict) {
  writes_.at(marker).verdict = verdict;
}

void Ledger::SetFinalValue(const std::string& service, const std::string& key,
                           const nlohmann::json& list) {
  auto& occurrences = final_values_[service + '/' + key];
  occurrences.clear();
  if (!list.is_array()) return;
  for (const nlohmann::json& marker : list) {
    if (marker.is_string()) ++occurrences[marker.get<std::string>()];
  }
}

LedgerResult Ledger::Check() const {
  LedgerResult result;
  for (const auto& [marker, record] : writes_) {
    std::uint64_t min_count = UINT64_MAX;
    std::uint64_t max_count = 0;
    for (const std::string& key : record.keys) {
      const std::uint64_t count = Occurrences(record, key, marker);
      min_count = std::min(min_count, count);
      max_count = std::max(max_count, count);
    }
    if (record.verdict == Verdict::kRan) {
      ++result.acknowledged;
      if (min_count == 0) ++result.lost;
    } else if (record.verdict == Verdict::kNotRun) {
      if (max_count > 0) ++result.untrue_not_run;
    } else {
      ++result.unresolved;
    }
    if (max_count > 1) ++result.doubled;
    if (min_count == 0 && max_count > 0) ++result.torn_transactions;
  }
  return result;
}

std::uint64_t Ledger::Occurrences(const WriteRecord& record,
                                  const std::string& key,
                                  const std::string& marker) const {
  const auto list = final_values_.find(record.service + '/' + key);
  if (list == final_values_.end()) return 0;
  const auto found = list->second.find(marker);
  return found == list->second.end() ? 0 : found->second;
}

}  // namespace carawayhaven::load
