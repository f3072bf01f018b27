#include "core/failover/era_observing_store.h"

#include <utility>

namespace carawayhaven {

EraObservingStore::EraObservingStore(PlatformStore& store, EraCallback on_era)
    : store_(store),
      on_era_(std::make_shared<EraCallback>(std::move(on_era))) {}

void EraObservingStore::Get(std::string_view path, StoreCallback callback) {
  store_.Get(path, Observe(std::move(callback)));
}

void EraObservingStore::Put(std::string_view path, std::string_view value,
                            ObjectVersion expected, StoreCallback callback) {
  store_.Put(path, value, expected, Observe(std::move(callback)));
}

void EraObservingStore::Watch(std::string_view prefix, ObjectVersion after,
                              StoreCallback callback) {
  store_.Watch(prefix, after, Observe(std::move(callback)));
}

StoreCallback EraObservingStore::Observe(StoreCallback callback) {
  return [on_era = std::weak_ptr(on_era_),
          callback = std::move(callback)](const StoreReply& reply) {
    if (const auto observer = on_era.lock()) (*observer)(reply.era);
    callback(reply);
  };
}

}  // namespace carawayhaven
