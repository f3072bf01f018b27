#include "core/group/group_record.h"

#include <nlohmann/json.hpp>

#include "carawayhaven/error_messages.h"
#include "carawayhaven/exceptions.h"

namespace carawayhaven {

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
    update.term = record.at("term").get<Term>();
    update.primary = record.at("primary").get<EndpointName>();
    for (const nlohmann::json& start : record.at("term_starts")) {
      update.term_starts.push_back(
          {start.at(0).get<Term>(), start.at(1).get<std::uint64_t>()});
    }
    return update;
  } catch (const nlohmann::json::exception&) {
    throw DecodeError(error_messages::kMalformedJson);
  }
}

}  // namespace carawayhaven
