#ifndef CARAWAYHAVEN_REQUEST_H_
#define CARAWAYHAVEN_REQUEST_H_

#include <cstdint>
#include <optional>
#include <string>

#include "carawayhaven/log_position.h"
#include "carawayhaven/names.h"
#include "carawayhaven/time.h"

namespace carawayhaven {

enum class AccessMode { kRead, kWrite };

enum class RequestKind {
  /// A statement; part of a transaction when `transaction` is set.
  kStatement,
  kBegin,
  kCommit,
  kRollback,
  /// Asks for the final verdict of the write with that request id.
  kResolve,
};

/// Identifies a write across retries, proxies and failovers.
struct RequestId {
  std::string value;
  /// Incremented by one after the earlier attempts were cancelled.
  std::uint32_t attempt = 0;

  friend bool operator==(const RequestId&, const RequestId&) = default;
};

/// One request of a caller, passed from the request router to the endpoint.
struct Request {
  RequestKind kind = RequestKind::kStatement;
  ServiceName service;
  TeamName team;
  /// Statement text with placeholders; its hash is the cost fingerprint.
  std::string statement;
  /// Parameters as JSON array text. Not interpreted by the proxy.
  std::string parameters = "[]";
  AccessMode access = AccessMode::kRead;
  bool idempotent = false;
  /// Set for every write, and for the commit of a transaction.
  RequestId id;
  /// Maximum accepted age of the data. Absent: current data is required.
  std::optional<Duration> max_age;
  TimePoint deadline;
  /// Log position that the data must include, from the session token.
  LogPosition min_position;
  TransactionId transaction;
  /// W3C trace context; empty when the request is not traced.
  std::string traceparent;
};

}  // namespace carawayhaven

#endif  // CARAWAYHAVEN_REQUEST_H_
