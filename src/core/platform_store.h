#ifndef CARAWAYHAVEN_CORE_PLATFORM_STORE_H_
#define CARAWAYHAVEN_CORE_PLATFORM_STORE_H_

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <vector>

namespace carawayhaven {

/// Version of an object: the era and the revision of the store at the object's
/// last change. The revision increases with each change of any object, so the
/// version also increases when an object is deleted and created again. A new
/// era begins each time the store is restored from a copy: the changes since
/// the copy are lost, and their revisions are given out again. Every version of
/// a later era, also that of an object that the copy contained, is greater than
/// the versions of earlier eras. Zero: no object.
using ObjectVersion = std::uint64_t;

inline constexpr int kRevisionBits = 40;

/// `revision` must be less than 2^kRevisionBits, `era` less than 2^13: versions
/// are exact in JSON numbers.
constexpr ObjectVersion MakeVersion(std::uint64_t era, std::uint64_t revision) {
  return era << kRevisionBits | revision;
}
constexpr std::uint64_t EraOf(ObjectVersion version) {
  return version >> kRevisionBits;
}
constexpr std::uint64_t RevisionOf(ObjectVersion version) {
  return version & ((std::uint64_t{1} << kRevisionBits) - 1);
}

enum class StoreStatus {
  kOk,
  kNotFound,
  /// The object's version is not the expected one, or the expected one is from
  /// an earlier era; nothing was changed.
  kConflict,
  /// The store refused the call because of its rate limits; nothing was
  /// changed.
  kOverloaded,
  /// The store no longer has the changes after that revision; watch again from
  /// revision zero.
  kRevisionTooOld,
  /// No reply, an error, or the store was restored meanwhile: an update may
  /// have taken effect.
  kUnknown,
};

struct StoredObject {
  std::string path;
  std::string value;
  ObjectVersion version = 0;
  /// Watch only: the object was removed.
  bool removed = false;
};

struct StoreReply {
  StoreStatus status = StoreStatus::kUnknown;
  /// Get: the object. Put: path and new version, or the current version on
  /// kConflict. Watch uses `objects` and `revision` instead.
  StoredObject object;
  std::vector<StoredObject> objects;
  /// Watch: the `after` argument for the next call.
  ObjectVersion revision = 0;
  /// Watch: `objects` contains all objects that exist, not only the changed
  /// ones.
  bool complete = false;
  /// Era of the store when it replied; zero without a reply, and for stores
  /// that are never restored.
  std::uint64_t era = 0;
};

using StoreCallback = std::function<void(const StoreReply&)>;

/// The platform's object API. Each call invokes its callback exactly once, from
/// the event loop and never from within the call. Not thread-safe; all calls
/// must come from the thread of the event loop.
class PlatformStore {
 public:
  virtual ~PlatformStore() = default;

  virtual void Get(std::string_view path, StoreCallback callback) = 0;

  /// Writes the object if its version is `expected`. Zero means that the object
  /// must not exist.
  virtual void Put(std::string_view path, std::string_view value,
                   ObjectVersion expected, StoreCallback callback) = 0;

  /// Replies with all objects under the prefix that changed after the revision
  /// `after`, or with an empty list when the store's own wait time has elapsed.
  /// If `after` is from an earlier era, replies with kRevisionTooOld.
  virtual void Watch(std::string_view prefix, ObjectVersion after,
                     StoreCallback callback) = 0;
};

}  // namespace carawayhaven

#endif  // CARAWAYHAVEN_CORE_PLATFORM_STORE_H_
