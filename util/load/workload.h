#ifndef CARAWAYHAVEN_UTIL_LOAD_WORKLOAD_H_
#define CARAWAYHAVEN_UTIL_LOAD_WORKLOAD_H_

#include <cstdint>
#include <random>
#include <string>

namespace carawayhaven::load {

enum class Operation {
  /// Appends a marker to a list. Not idempotent.
  kAppend,
  /// Overwrites a value. Idempotent.
  kPut,
  /// Bounded-staleness read: accepts data up to `max_staleness_ms` old.
  kBoundedRead,
  /// Reads the key that this session wrote last; any endpoint may serve it.
  kReadYourWrites,
  /// Reads a key without accepting stale data.
  kCurrentRead,
  /// A query that takes many times longer than the other operations.
  kReport,
  /// Appends a marker to the lists of two keys in one transaction.
  kTransaction,
};

/// The operation mix of one kind of user, in percent. The remainder to 100 are
/// transactions.
struct Workload {
  std::uint32_t append = 20;
  std::uint32_t put = 10;
  std::uint32_t bounded_read = 35;
  std::uint32_t read_your_writes = 20;
  std::uint32_t current_read = 8;
  std::uint32_t report = 2;
  std::uint64_t max_staleness_ms = 2000;
  std::uint64_t report_cost_ms = 60;

  /// Returns the workload of "registro" or "hire-core". Throws
  /// std::invalid_argument for another name.
  static Workload ForUsers(const std::string& users);

  Operation Choose(std::mt19937_64& random) const;
};

}  // namespace carawayhaven::load

#endif  // CARAWAYHAVEN_UTIL_LOAD_WORKLOAD_H_
