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

/// One message from a caller. docs/caller-protocol.md describes the JSON form.
struct CallerRequest {
  /// Chosen by the caller and returned in the answer to this message.
  std::uint64_t id = 0;
  Request request;
  SessionToken token;
};

/// Limits and default values applied by DecodeCallerRequest.
struct CallerLimits {
  static constexpr std::size_t kMaxStatementBytes = 16 * 1024;
  static constexpr std::size_t kMaxNameBytes = 256;
  /// 16 bits: inside the proxies, an attempt has the caller's attempt in its
  /// upper 16 bits and the request router's own retries in its lower 16 bits.
  static constexpr std::uint64_t kMaxAttempt = 65'535;
  /// One year (366 days). Larger values could overflow Duration.
  static constexpr std::uint64_t kMaxAgeMs = 366ULL * 24 * 3600 * 1000;
  Duration default_timeout{2'000'000};
  Duration max_timeout{60'000'000};
};

/// Decodes a message from a caller; the deadline is relative to `now`. Throws
/// DecodeError if the message is malformed or exceeds a limit, and
/// InvalidTokenError if its session token is malformed. Thread-safe.
CallerRequest DecodeCallerRequest(std::string_view text,
                                  const CallerLimits& limits, TimePoint now);

/// Returns the id of a message whose other fields may be invalid, or zero if
/// the message has no valid id.
std::uint64_t PeekCallerRequestId(std::string_view text);

/// Encodes the answer to a request. `transaction` is the id of the transaction
/// that a begin opened; empty in all other answers.
std::string EncodeCallerAnswer(std::uint64_t id, const Outcome& outcome,
                               const SessionToken& token,
                               std::string_view transaction);

/// Encodes an answer with verdict kNotRun and reason kInvalidRequest.
std::string EncodeCallerError(std::uint64_t id, std::string_view message);

/// Encodes the notice that this proxy accepts no new work from the caller.
std::string EncodeLeavingNotice();

}  // namespace carawayhaven

#endif  // CARAWAYHAVEN_WIRE_CALLER_CODEC_H_
