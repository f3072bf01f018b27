#include "core/session/reply_code.h"

namespace carawayhaven {

std::string_view ReplyCodeName(ReplyCode code) {
  switch (code) {
    case ReplyCode::kOk:
      return "ok";
    case ReplyCode::kBusy:
      return "busy";
    case ReplyCode::kBehind:
      return "behind";
    case ReplyCode::kNotPrimary:
      return "not_primary";
    case ReplyCode::kWrongEndpoint:
      return "wrong_endpoint";
    case ReplyCode::kTooManyConnections:
      return "too_many_connections";
    case ReplyCode::kUnknownStatement:
      return "unknown_statement";
    case ReplyCode::kFailed:
      return "failed";
    case ReplyCode::kTimeout:
      return "timeout";
    case ReplyCode::kUnknownDatabase:
      return "unknown_database";
    case ReplyCode::kUnauthenticated:
      return "unauthenticated";
    case ReplyCode::kMalformed:
      return "malformed";
    case ReplyCode::kTooLarge:
      return "too_large";
    case ReplyCode::kAborted:
      return "aborted";
    case ReplyCode::kInDoubt:
      return "in_doubt";
    case ReplyCode::kOther:
      return "other";
  }
  return "other";
}

bool GuaranteesNotRun(ReplyCode code) {
  switch (code) {
    case ReplyCode::kBusy:
    case ReplyCode::kBehind:
    case ReplyCode::kNotPrimary:
    case ReplyCode::kUnknownStatement:
      return true;
    default:
      return false;
  }
}

}  // namespace carawayhaven
