#ifndef CARAWAYHAVEN_UTIL_LOAD_WORKLOAD_H_
#define CARAWAYHAVEN_UTIL_LOAD_WORKLOAD_H_

#include <cstdint>
#include <random>
#include <string>

namespace carawayhaven::load {

enum class Operation {
  /// Adds a marker; may not be repeated.
  kAppend,
  /// Overwrites a value; idempotent.
  kPut,
  /// Reads a key that accepts data of a stated age.
  kAgedRead,
  /// Reads the key that this session wrote last, from any endpoint.
  kOwnRead,
  /// Reads current data.
  kCurrentRead,
  /// Runs many times longer than the rest.
  kReport,
  /// Adds a marker to two keys in one transaction.
  kTransaction,
};

/// Shares of the operations of one kind of user, in percent, and their ages.
struct Workload {
  std::uint32_t append = 20;
  std::uint32_t put = 10;
  std::uint32_t aged_read = 35;
  std::uint32_t own_read = 20;
  std::uint32_t current_read = 8;
  std::uint32_t report = 2;
  std::uint64_t aged_read_max_age_ms = 2000;
  std::uint64_t report_cost_ms = 60;

  /// Returns the workload of "registro" or "hire-core". Throws
  /// std::invalid_argument for another name.
  static Workload ForUsers(const std::string& users);

  Operation Choose(std::mt19937_64& random) const;
};

}  // namespace carawayhaven::load

#endif  // CARAWAYHAVEN_UTIL_LOAD_WORKLOAD_H_
