#include "proxy/secret.h"

#include <cstddef>

namespace carawayhaven {

bool Secret::Matches(std::string_view candidate) const {
  if (candidate.empty() || value_.empty()) return false;
  // The time taken depends on the length of the candidate only, which its
  // sender knows anyway.
  volatile std::size_t difference = value_.size() ^ candidate.size();
  for (std::size_t i = 0; i < candidate.size(); ++i) {
    const auto expected = static_cast<unsigned char>(value_[i % value_.size()]);
    difference =
        difference | (expected ^ static_cast<unsigned char>(candidate[i]));
  }
  return difference == 0;
}

}  // namespace carawayhaven
