#ifndef CARAWAYHAVEN_WIRE_CALLER_CODEC_H_
#define CARAWAYHAVEN_WIRE_CALLER_CODEC_H_

#include <cstdint>
#include <string>
#include <string_view>

#include "carawayhaven/outcome.h"
#include "carawayhaven/request.h"
#include "carawayhaven/session_token.h"
#include "carawayhaven/time.h"

namespace carawayhaven {

/// One message of a caller. docs/caller-protocol.md describes the JSON form.
struct CallerRequest {
  /// Chosen by the caller; its answer carries the same number.
  std::uint64_t id = 0;
  Request request;
  SessionToken token;
};

/// Limits and defaults that DecodeCallerRequest applies.
struct CallerLimits {
  static constexpr std::size_t kMaxStatementBytes = 16 * 1024;
  static constexpr std::size_t kMaxNameBytes = 256;
  /// The front uses the lower 16 bits of an attempt for its own retries.
  static constexpr std::uint64_t kMaxAttempt = 65'535;
  /// One year; a larger number could overflow the clock's type.
  static constexpr std::uint64_t kMaxAgeMs = 366ULL * 24 * 3600 * 1000;
  Duration default_timeout{2'000'000};
  Duration max_timeout{60'000'000};
};

/// Decodes a caller's message. Throws DecodeError when it is malformed or
/// exceeds a limit, InvalidTokenError for a malformed session token.
/// Thread-safe.
CallerRequest DecodeCallerRequest(std::string_view text,
                                  const CallerLimits& limits, TimePoint now);

/// Returns the id of a message that may be malformed otherwise, or zero.
std::uint64_t PeekCallerRequestId(std::string_view text);

/// Encodes the answer. `transaction` is set in the answer to a begin.
std::string EncodeCallerAnswer(std::uint64_t id, const Outcome& outcome,
                               const SessionToken& token,
                               std::string_view transaction);

/// Encodes an answer with kNotRun and kInvalidRequest.
std::string EncodeCallerError(std::uint64_t id, std::string_view message);

/// Tells a caller that this proxy takes no new work.
std::string EncodeLeavingNotice();

}  // namespace carawayhaven

#endif  // CARAWAYHAVEN_WIRE_CALLER_CODEC_H_
