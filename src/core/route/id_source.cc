#include "core/route/id_source.h"

namespace carawayhaven {

IdSource::IdSource(std::string_view vm, std::uint64_t incarnation)
    : prefix_(std::string(vm) + "/" + std::to_string(incarnation) + "/") {}

std::string IdSource::Next() { return prefix_ + std::to_string(++counter_); }

}  // namespace carawayhaven
