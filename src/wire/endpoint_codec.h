#ifndef CARAWAYHAVEN_WIRE_ENDPOINT_CODEC_H_
#define CARAWAYHAVEN_WIRE_ENDPOINT_CODEC_H_

#include <string>
#include <string_view>

#include "core/endpoint_answer.h"
#include "core/endpoint_command.h"

namespace carawayhaven {

/// Convert the messages between a proxy and an endpoint to and from JSON, in
/// the form described in docs/platform.md. The encoders throw Error if a string
/// is not valid UTF-8; the decoders throw DecodeError if the message is
/// malformed. Thread-safe.
std::string EncodeEndpointCommand(const EndpointCommand& command);
EndpointCommand DecodeEndpointCommand(std::string_view text);
std::string EncodeEndpointAnswer(const EndpointAnswer& answer);
EndpointAnswer DecodeEndpointAnswer(std::string_view text);

}  // namespace carawayhaven

#endif  // CARAWAYHAVEN_WIRE_ENDPOINT_CODEC_H_
