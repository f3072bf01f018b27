#ifndef CARAWAYHAVEN_CORE_ROUTE_ID_SOURCE_H_
#define CARAWAYHAVEN_CORE_ROUTE_ID_SOURCE_H_

#include <cstdint>
#include <string>
#include <string_view>

namespace carawayhaven {

/// Generates ids of the form "VM/incarnation/counter", which are unique across
/// proxies and across restarts of a proxy. Not thread-safe.
class IdSource {
 public:
  IdSource(std::string_view vm, std::uint64_t incarnation);

  std::string Next();

 private:
  std::string prefix_;
  std::uint64_t counter_ = 0;
};

}  // namespace carawayhaven

#endif  // CARAWAYHAVEN_CORE_ROUTE_ID_SOURCE_H_
