#ifndef CARAWAYHAVEN_PROXY_LOG_FIELD_H_
#define CARAWAYHAVEN_PROXY_LOG_FIELD_H_

#include <concepts>
#include <cstdint>
#include <string_view>
#include <variant>

#include "proxy/secret.h"

namespace carawayhaven {

/// A named value of a log line. Refers to the texts from which it was
/// constructed, so it must not outlive the call to which it is passed.
struct LogField {
  using Value =
      std::variant<std::string_view, std::int64_t, std::uint64_t, double, bool>;

  LogField(std::string_view field, std::string_view text)
      : name(field), value(text) {}
  LogField(std::string_view field, const char* text)
      : name(field), value(std::string_view(text)) {}
  LogField(std::string_view field, bool flag) : name(field), value(flag) {}
  LogField(std::string_view field, std::signed_integral auto number)
      : name(field), value(std::int64_t{number}) {}
  LogField(std::string_view field, std::unsigned_integral auto number)
      : name(field), value(std::uint64_t{number}) {}
  LogField(std::string_view field, double number)
      : name(field), value(number) {}
  /// Logs a placeholder, never the value of the secret.
  LogField(std::string_view field, const Secret& /*secret*/)
      : name(field), value(Secret::kPlaceholder) {}

  std::string_view name;
  Value value;
};

}  // namespace carawayhaven

#endif  // CARAWAYHAVEN_PROXY_LOG_FIELD_H_
