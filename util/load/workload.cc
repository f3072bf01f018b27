#include "load/workload.h"

#include <stdexcept>

namespace carawayhaven::load {

Workload Workload::ForUsers(const std::string& users) {
  if (users == "registro") return Workload{};
  if (users == "hire-core") {
    Workload workload;
    workload.append = 15;
    workload.put = 10;
    workload.aged_read = 50;
    workload.own_read = 12;
    workload.current_read = 6;
    workload.report = 1;
    workload.aged_read_max_age_ms = 1000;
    return workload;
  }
  throw std::invalid_argument("users must be registro or hire-core");
}

Operation Workload::Choose(std::mt19937_64& random) const {
  const auto drawn = static_cast<std::uint32_t>(random() % 100);
  std::uint32_t bound = append;
  if (drawn < bound) return Operation::kAppend;
  if (drawn < (bound += put)) return Operation::kPut;
  if (drawn < (bound += aged_read)) return Operation::kAgedRead;
  if (drawn < (bound += own_read)) return Operation::kOwnRead;
  if (drawn < (bound += current_read)) return Operation::kCurrentRead;
  if (drawn < bound + report) return Operation::kReport;
  return Operation::kTransaction;
}

}  // namespace carawayhaven::load
