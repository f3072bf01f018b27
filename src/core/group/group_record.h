#ifndef CARAWAYHAVEN_CORE_GROUP_GROUP_RECORD_H_
#define CARAWAYHAVEN_CORE_GROUP_GROUP_RECORD_H_

#include <string>
#include <string_view>

#include "carawayhaven/names.h"
#include "core/peer_message.h"

namespace carawayhaven {

/// Returns the path of the service's group record in the store:
/// "groups/<service>".
std::string GroupRecordPath(std::string_view service);

/// Returns the group record as JSON text.
std::string FormatGroupRecord(const GroupUpdateMessage& update);

/// Parses the JSON text of a group record. Throws DecodeError when it is
/// malformed.
GroupUpdateMessage ParseGroupRecord(std::string_view service,
                                    std::string_view text);

}  // namespace carawayhaven

#endif  // CARAWAYHAVEN_CORE_GROUP_GROUP_RECORD_H_
