#ifndef CARAWAYHAVEN_PROXY_VM_LIST_READER_H_
#define CARAWAYHAVEN_PROXY_VM_LIST_READER_H_

#include <functional>
#include <memory>
#include <vector>

#include "carawayhaven/time.h"
#include "core/membership/membership.h"
#include "core/platform_store.h"

namespace carawayhaven {

/// Reads the platform's list of VMs (`vms/<name>`), which gives the first peers
/// to a proxy that starts. Not thread-safe.
class VmListReader {
 public:
  /// The list only seeds the membership, so a rare read is enough: 830 VMs make
  /// 28 calls a second of the store's 2,000.
  static constexpr Duration kReadInterval = std::chrono::seconds(30);
  /// Until the first answer.
  static constexpr Duration kRetryInterval = std::chrono::milliseconds(500);

  using ListCallback = std::function<void(const std::vector<ListedVm>&)>;

  /// `store` must outlive the reader.
  VmListReader(PlatformStore& store, ListCallback on_list);

  void Tick(TimePoint now);
  TimePoint NextTick() const { return next_read_; }

 private:
  void OnReply(const StoreReply& reply);

  PlatformStore& store_;
  ListCallback on_list_;
  std::shared_ptr<VmListReader*> alive_;
  TimePoint next_read_ = TimePoint::min();
  bool reading_ = false;
  bool seen_ = false;
};

}  // namespace carawayhaven

#endif  // CARAWAYHAVEN_PROXY_VM_LIST_READER_H_
