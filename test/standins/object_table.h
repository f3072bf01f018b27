#ifndef CARAWAYHAVEN_TEST_STANDINS_OBJECT_TABLE_H_
#define CARAWAYHAVEN_TEST_STANDINS_OBJECT_TABLE_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace carawayhaven::standins {

struct ObjectEntry {
  std::string path;
  std::string value;
  std::uint64_t version = 0;
};

/// In-memory objects with versions and conditional updates. The version of an
/// object is the revision of the table at the object's last change.
class ObjectTable {
 public:
  /// Returns null when the object does not exist.
  const ObjectEntry* Find(std::string_view path) const;

  /// Writes the object if its version equals `expected`; zero means that it
  /// must not exist. Returns the new version, or nothing on a mismatch.
  std::optional<std::uint64_t> Put(std::string_view path,
                                   std::string_view value,
                                   std::uint64_t expected);

  /// Returns the objects under the prefix that changed after the revision.
  std::vector<ObjectEntry> ChangedAfter(std::string_view prefix,
                                        std::uint64_t revision) const;

  std::uint64_t revision() const { return revision_; }

 private:
  std::map<std::string, ObjectEntry, std::less<>> objects_;
  std::uint64_t revision_ = 0;
};

}  // namespace carawayhaven::standins

#endif  // CARAWAYHAVEN_TEST_STANDINS_OBJECT_TABLE_H_
