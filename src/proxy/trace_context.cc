#include "proxy/trace_context.h"

#include <array>
#include <cmath>
#include <cstdio>

namespace carawayhaven {
namespace {

// "VV-TTTTTTTTTTTTTTTTTTTTTTTTTTTTTTTT-SSSSSSSSSSSSSSSS-FF"
constexpr std::size_t kLength = 55;
constexpr std::size_t kTraceIdAt = 3;
constexpr std::size_t kSpanIdAt = 36;
constexpr std::size_t kFlagsAt = 53;
constexpr std::size_t kHexDigits = 16;
constexpr std::uint64_t kSampledFlag = 1;
constexpr std::uint64_t kForbiddenVersion = 0xff;

// Upper-case digits are not valid in a traceparent.
std::optional<std::uint64_t> ParseHex(std::string_view digits) {
  std::uint64_t value = 0;
  for (const char c : digits) {
    if (c >= '0' && c <= '9') {
      value = (value << 4) | static_cast<std::uint64_t>(c - '0');
    } else if (c >= 'a' && c <= 'f') {
      value = (value << 4) | static_cast<std::uint64_t>(c - 'a' + 10);
    } else {
      return std::nullopt;
    }
  }
  return value;
}

std::string FormatHex(std::uint64_t value) {
  std::array<char, kHexDigits + 1> text{};
  std::snprintf(text.data(), text.size(), "%016llx",
                static_cast<unsigned long long>(value));
  return text.data();
}

}  // namespace

std::optional<TraceContext> TraceContext::Parse(std::string_view text) {
  if (text.size() < kLength) return std::nullopt;
  if (text[2] != '-' || text[kSpanIdAt - 1] != '-' ||
      text[kFlagsAt - 1] != '-') {
    return std::nullopt;
  }
  const auto version = ParseHex(text.substr(0, 2));
  const auto high = ParseHex(text.substr(kTraceIdAt, kHexDigits));
  const auto low = ParseHex(text.substr(kTraceIdAt + kHexDigits, kHexDigits));
  const auto span = ParseHex(text.substr(kSpanIdAt, kHexDigits));
  const auto flags = ParseHex(text.substr(kFlagsAt, 2));
  if (!version || !high || !low || !span || !flags) return std::nullopt;
  if (*version == kForbiddenVersion) return std::nullopt;
  if (text.size() > kLength && (*version == 0 || text[kLength] != '-')) {
    return std::nullopt;
  }
  if ((*high == 0 && *low == 0) || *span == 0) return std::nullopt;
  return TraceContext{*high, *low, *span, (*flags & kSampledFlag) != 0};
}

std::string TraceContext::Format() const {
  return "00-" + TraceIdText() + '-' + SpanIdText() + (sampled ? "-01" : "-00");
}

std::string TraceContext::TraceIdText() const {
  return FormatHex(trace_id_high) + FormatHex(trace_id_low);
}

std::string TraceContext::SpanIdText() const { return FormatHex(span_id); }

bool IsSampled(const TraceContext& context, double ratio) {
  if (ratio >= 1) return true;
  // The low 53 bits are compared as a fraction: a double holds them exactly,
  // and the W3C format asks for randomness in the low part of the id.
  constexpr int kFractionBits = 53;
  const std::uint64_t fraction =
      context.trace_id_low & ((std::uint64_t{1} << kFractionBits) - 1);
  return std::ldexp(static_cast<double>(fraction), -kFractionBits) < ratio;
}

}  // namespace carawayhaven
