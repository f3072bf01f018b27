#include "core/group/group_record.h"

#include <cstdint>
#include <nlohmann/json.hpp>

#include "carawayhaven/error_messages.h"
#include "carawayhaven/exceptions.h"

namespace carawayhaven {

namespace {

// Converting a negative number or a fraction would give another number.
std::uint64_t Number(const nlohmann::json& value) {
  if (!value.is_number_unsigned()) {
    throw DecodeError(error_messages::kMalformedJson);
  }
  return value.get<std::uint64_t>();
}

}  // namespace

std::string GroupRecordPath(std::string_view service) {
  return "groups/" + std::string(service);
}

std::string FormatGroupRecord(const GroupUpdateMessage& update) {
  nlohmann::json starts = nlohmann::json::array();
  for (const LogPosition& start : update.term_starts) {
    starts.push_back({start.term, start.index});
  }
  const nlohmann::json record = {{"term", update.term},
                                 {"primary", update.primary},
                                 {"term_starts", std::move(starts)}};
  return record.dump();
}

GroupUpdateMessage ParseGroupRecord(std::string_view service,
                                    std::string_view text) {
  try {
    const nlohmann::json record = nlohmann::json::parse(text);
    GroupUpdateMessage update;
    update.service = service;
    update.term = Number(record.at("term"));
    update.primary = record.at("primary").get<EndpointName>();
    for (const nlohmann::json& start : record.at("term_starts")) {
      update.term_starts.push_back({Number(start.at(0)), Number(start.at(1))});
    }
    return update;
  } catch (const nlohmann::json::exception&) {
    throw DecodeError(error_messages::kMalformedJson);
  }
}

}  // namespace carawayhaven
