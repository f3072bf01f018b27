#ifndef CARAWAYHAVEN_CORE_FAILOVER_ERA_OBSERVING_STORE_H_
#define CARAWAYHAVEN_CORE_FAILOVER_ERA_OBSERVING_STORE_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <string_view>

#include "core/platform_store.h"

namespace carawayhaven {

/// Passes calls on to another store and reports the era of each reply before
/// the reply is delivered, so that objects are never judged by the rules of an
/// earlier era. Not thread-safe.
class EraObservingStore : public PlatformStore {
 public:
  using EraCallback = std::function<void(std::uint64_t)>;

  /// `store` must outlive this object. `on_era` is not called after this object
  /// was destroyed.
  EraObservingStore(PlatformStore& store, EraCallback on_era);

  void Get(std::string_view path, StoreCallback callback) override;
  void Put(std::string_view path, std::string_view value,
           ObjectVersion expected, StoreCallback callback) override;
  void Watch(std::string_view prefix, ObjectVersion after,
             StoreCallback callback) override;

 private:
  StoreCallback Observe(StoreCallback callback);

  PlatformStore& store_;
  std::shared_ptr<EraCallback> on_era_;
};

}  // namespace carawayhaven

#endif  // CARAWAYHAVEN_CORE_FAILOVER_ERA_OBSERVING_STORE_H_
