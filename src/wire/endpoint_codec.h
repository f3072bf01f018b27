#ifndef CARAWAYHAVEN_WIRE_ENDPOINT_CODEC_H_
#define CARAWAYHAVEN_WIRE_ENDPOINT_CODEC_H_

#include <string>
#include <string_view>

#include "core/endpoint_answer.h"
#include "core/endpoint_command.h"

namespace carawayhaven {

/// JSON forms of the messages between a proxy and an endpoint;
/// docs/platform.md describes them. The encoders throw Error when a text is not
/// UTF-8, the decoders throw DecodeError when the text is malformed. All are
/// thread-safe.
std::string EncodeEndpointCommand(const EndpointCommand& command);
EndpointCommand DecodeEndpointCommand(std::string_view text);
std::string EncodeEndpointAnswer(const EndpointAnswer& answer);
EndpointAnswer DecodeEndpointAnswer(std::string_view text);

}  // namespace carawayhaven

#endif  // CARAWAYHAVEN_WIRE_ENDPOINT_CODEC_H_
