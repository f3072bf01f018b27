#ifndef CARAWAYHAVEN_CORE_LIMITS_CONNECTION_LIMIT_H_
#define CARAWAYHAVEN_CORE_LIMITS_CONNECTION_LIMIT_H_

#include <algorithm>
#include <cstddef>
#include <cstdint>

namespace carawayhaven {

/// Bounds the sockets of callers and of their relays, so that descriptors
/// remain for endpoints, peers and the store. Not thread-safe.
class ConnectionLimit {
 public:
  /// `descriptors` is the limit of the process.
  explicit ConnectionLimit(std::size_t descriptors)
      : max_(descriptors -
             std::min(descriptors,
                      std::max(kMinReserved, descriptors / kReservedDivisor))) {
  }

  /// Takes a socket; returns false, and counts a refusal, if none is left.
  bool TryTake() {
    if (used_ >= max_) {
      ++refused_;
      return false;
    }
    ++used_;
    return true;
  }
  void Release() { --used_; }

  std::size_t max() const { return max_; }
  std::size_t used() const { return used_; }
  std::uint64_t refused() const { return refused_; }

 private:
  // A session VM has up to 4 connections to each of 24 endpoints, one to each
  // peer, and some to the store.
  static constexpr std::size_t kMinReserved = 128;
  static constexpr std::size_t kReservedDivisor = 8;

  std::size_t max_;
  std::size_t used_ = 0;
  std::uint64_t refused_ = 0;
};

}  // namespace carawayhaven

#endif  // CARAWAYHAVEN_CORE_LIMITS_CONNECTION_LIMIT_H_
