#ifndef CARAWAYHAVEN_ERROR_MESSAGES_H_
#define CARAWAYHAVEN_ERROR_MESSAGES_H_

/// All error texts of the library, in one place so that they stay consistent.
namespace carawayhaven::error_messages {

inline constexpr char kMalformedToken[] = "malformed session token";
inline constexpr char kTooManyServices[] =
    "session token names more than 64 services";
inline constexpr char kMalformedJson[] = "message is not valid JSON";
inline constexpr char kMissingField[] = "missing or mistyped field: ";
inline constexpr char kMessageTooLarge[] = "message exceeds the size limit";
inline constexpr char kMalformedPeerMessage[] =
    "peer message failed verification";
inline constexpr char kFrameTooLarge[] = "peer frame exceeds the size limit";
inline constexpr char kEmptyFrame[] = "peer frame is empty";
inline constexpr char kListenFailed[] = "cannot listen on port ";
inline constexpr char kMalformedAddress[] =
    "not an address of the form IP:port: ";
inline constexpr char kUndeclaredEvent[] = "chart declares no event ";
inline constexpr char kUndeclaredState[] = "chart declares no state ";
inline constexpr char kUnreachableState[] = "chart never reaches the state ";
inline constexpr char kNoWayOut[] = "chart has no way out of the state ";
inline constexpr char kContextFailed[] = "cannot create the event loop";

}  // namespace carawayhaven::error_messages

#endif  // CARAWAYHAVEN_ERROR_MESSAGES_H_
