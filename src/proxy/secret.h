#ifndef CARAWAYHAVEN_PROXY_SECRET_H_
#define CARAWAYHAVEN_PROXY_SECRET_H_

#include <string>
#include <string_view>
#include <utility>

namespace carawayhaven {

/// A value that is never printed. It has no conversion to text, so that it
/// cannot be logged by accident.
class Secret {
 public:
  /// Printed in place of the value.
  static constexpr std::string_view kPlaceholder = "(set)";

  explicit Secret(std::string value) : value_(std::move(value)) {}

  /// Compares without an early exit, so that the time taken does not reveal how
  /// much of a guess is right. An empty candidate never matches.
  bool Matches(std::string_view candidate) const;

 private:
  std::string value_;
};

}  // namespace carawayhaven

#endif  // CARAWAYHAVEN_PROXY_SECRET_H_
