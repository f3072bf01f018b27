#include "load/workload.h"

#include <stdexcept>

namespace carawayhaven::load {

Workload Workload::ForUsers(const std::string& users) {
  if (users == "registro") return Workload{};
  if (users == "hire-core") {
    Workload workload;
    workload.append = 15;
    workload.put = 10;
    workload.bounded_read = 50;
    workload.read_your_writes = 12;
    workload.current_read = 6;
    workload.report = 1;
    workload.max_staleness_ms = 1000;
    return workload;
  }
  throw std::invalid_argument("users must be registro or hire-core");
}

Operation Workload::Choose(std::mt19937_64& random) const {
  const auto drawn = static_cast<std::uint32_t>(random() % 100);
  std::uint32_t bound = append;
  if (drawn < bound) return Operation::kAppend;
  if (drawn < (bound += put)) return Operation::kPut;
  if (drawn < (bound += bounded_read)) return Operation::kBoundedRead;
  if (drawn < (bound += read_your_writes)) return Operation::kReadYourWrites;
  if (drawn < (bound += current_read)) return Operation::kCurrentRead;
  if (drawn < bound + report) return Operation::kReport;
  return Operation::kTransaction;
}

}  // namespace carawayhaven::load
