#ifndef CARAWAYHAVEN_CORE_PLATFORM_STORE_H_
#define CARAWAYHAVEN_CORE_PLATFORM_STORE_H_

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <vector>

namespace carawayhaven {

/// Version of an object: the store's revision at its last change. Rises over
/// all objects, also when an object is deleted and made anew. Zero: no object.
using ObjectVersion = std::uint64_t;

enum class StoreStatus {
  kOk,
  kNotFound,
  /// The object's version is not the expected one; nothing changed.
  kConflict,
  /// The store refused the call because of its rate limits; nothing changed.
  kOverloaded,
  /// The changes after that revision are not known any more; start from zero.
  kRevisionTooOld,
  /// No answer, or an error: an update may have taken effect.
  kUnknown,
};

struct StoredObject {
  std::string path;
  std::string value;
  ObjectVersion version = 0;
  /// Watch: the object was removed.
  bool removed = false;
};

struct StoreReply {
  StoreStatus status = StoreStatus::kUnknown;
  /// Get: the object. Put: path and new version; on kConflict the version
  /// that stands. Watch: `objects` and `revision` instead.
  StoredObject object;
  std::vector<StoredObject> objects;
  /// Watch: pass it as `after` of the next call.
  ObjectVersion revision = 0;
  /// Watch: `objects` are all that exist, not only what has changed.
  bool complete = false;
};

using StoreCallback = std::function<void(const StoreReply&)>;

/// The platform's object API. Each call ends in exactly one callback, from the
/// loop and never from within the call. Not thread-safe; one loop, one thread.
class PlatformStore {
 public:
  virtual ~PlatformStore() = default;

  virtual void Get(std::string_view path, StoreCallback callback) = 0;

  /// Writes when the object's version is `expected`; zero: must not exist.
  virtual void Put(std::string_view path, std::string_view value,
                   ObjectVersion expected, StoreCallback callback) = 0;

  /// Ends with all objects under the prefix that changed after that revision,
  /// or with an empty list after the store's own waiting time.
  virtual void Watch(std::string_view prefix, ObjectVersion after,
                     StoreCallback callback) = 0;
};

}  // namespace carawayhaven

#endif  // CARAWAYHAVEN_CORE_PLATFORM_STORE_H_
