#ifndef CARAWAYHAVEN_ERROR_MESSAGES_H_
#define CARAWAYHAVEN_ERROR_MESSAGES_H_

/// All error messages of the library, collected here to keep them consistent.
namespace carawayhaven::error_messages {

inline constexpr char kMalformedToken[] = "malformed session token";
inline constexpr char kTooManyServices[] =
    "session token names more than 64 services";
inline constexpr char kMalformedJson[] = "message is not valid JSON";
inline constexpr char kNotUtf8[] = "text is not valid UTF-8";
inline constexpr char kNestingTooDeep[] = "message is nested too deeply";
inline constexpr char kMissingField[] = "missing or mistyped field: ";
inline constexpr char kMessageTooLarge[] = "message exceeds the size limit";
inline constexpr char kMalformedPeerMessage[] =
    "peer message failed verification";
inline constexpr char kFrameTooLarge[] = "peer frame exceeds the size limit";
inline constexpr char kEmptyFrame[] = "peer frame is empty";
inline constexpr char kListenFailed[] = "cannot listen on port ";
inline constexpr char kMalformedAddress[] =
    "not an address of the form IP:port: ";
inline constexpr char kConfigTooLarge[] =
    "configuration text exceeds the size limit of 256 KiB";
inline constexpr char kUnknownKey[] = "unknown key: ";
inline constexpr char kSuggestedKey[] = "; did you mean ";
inline constexpr char kMissingKey[] = "missing key: ";
inline constexpr char kWrongType[] = "wrong type of ";
inline constexpr char kOutOfRange[] = "value out of range: ";
inline constexpr char kMalformedName[] =
    "not a name of 1 to 64 characters a-z, 0-9, '-' or '_': ";
inline constexpr char kInvalidAcknowledge[] =
    "acknowledge must be \"replica\" or \"primary\", not ";
inline constexpr char kTooFewConnections[] =
    "connections must be at least slots + 4 (monitor and handover)";
inline constexpr char kDuplicateName[] = "name is declared twice: ";
inline constexpr char kDuplicateAddress[] = "address is used twice: ";
inline constexpr char kNoEndpoint[] = "service has no endpoint";
inline constexpr char kTooManyDeclaredServices[] =
    "more than 512 services in one text";
inline constexpr char kTooManyEndpoints[] =
    "more than 4 endpoints in one service: a write is confirmed by one "
    "replica, which a majority of five endpoints could miss";
inline constexpr char kTeamMismatch[] =
    "the text declares another team than the one it is submitted for: ";
inline constexpr char kServiceNameTaken[] = "name belongs to another team: ";
inline constexpr char kMalformedTeamObject[] =
    "object is not JSON with \"submission\" and \"text\"";
inline constexpr char kSubmitConflict[] =
    "another submission was first; read the winning version, merge and submit "
    "from it: version ";
inline constexpr char kSubmitUnavailable[] =
    "the store did not answer; nothing was changed; submit again later";
inline constexpr char kSubmitOutcomeUnknown[] =
    "the store did not answer after the update was sent; it may have taken "
    "effect; read the team's object back and compare, or submit again from the "
    "same version (safe: at most one takes effect): submission ";
inline constexpr char kUndeclaredEvent[] = "chart declares no event ";
inline constexpr char kUndeclaredState[] = "chart declares no state ";
inline constexpr char kUnreachableState[] = "chart never reaches the state ";
inline constexpr char kStateWithoutExit[] =
    "chart has no way out of the state ";
inline constexpr char kMalformedProxyObject[] =
    "object of the proxy in the store is malformed";
inline constexpr char kEventLoopFailed[] = "cannot create the event loop";
inline constexpr char kUnreadableSettings[] = "cannot be read";

}  // namespace carawayhaven::error_messages

#endif  // CARAWAYHAVEN_ERROR_MESSAGES_H_
