#include "standins/object_table.h"

namespace carawayhaven::standins {

const ObjectEntry* ObjectTable::Find(std::string_view path) const {
  const auto found = objects_.find(path);
  return found == objects_.end() ? nullptr : &found->second;
}

std::optional<std::uint64_t> ObjectTable::Put(std::string_view path,
                                              std::string_view value,
                                              std::uint64_t expected) {
  const ObjectEntry* current = Find(path);
  if ((current == nullptr ? 0 : current->version) != expected) {
    return std::nullopt;
  }
  ++revision_;
  objects_.insert_or_assign(
      std::string(path),
      ObjectEntry{std::string(path), std::string(value), revision_});
  return revision_;
}

std::vector<ObjectEntry> ObjectTable::ChangedAfter(
    std::string_view prefix, std::uint64_t revision) const {
  std::vector<ObjectEntry> changed;
  for (auto it = objects_.lower_bound(prefix);
       it != objects_.end() && it->first.starts_with(prefix); ++it) {
    if (it->second.version > revision) changed.push_back(it->second);
  }
  return changed;
}

}  // namespace carawayhaven::standins
