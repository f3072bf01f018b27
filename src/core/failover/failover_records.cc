#include "core/failover/failover_records.h"

#include <algorithm>
#include <array>
#include <nlohmann/json.hpp>

#include "carawayhaven/error_messages.h"
#include "carawayhaven/exceptions.h"
#include "core/membership/vm_capacity.h"

namespace carawayhaven {
namespace {

using nlohmann::json;

/// In the order of the values of PrimaryPhase.
constexpr std::array<std::string_view, 3> kPhaseNames{"serving", "stopping",
                                                      "promoting"};

// Calls `read` with the parsed text. Throws DecodeError when the text is not
// JSON or `read` misses a field.
template <typename Read>
auto Parse(std::string_view text, Read read) {
  try {
    return read(json::parse(text));
  } catch (const json::exception&) {
    throw DecodeError(error_messages::kMalformedProxyObject);
  }
}

// Converting a negative number or a fraction would give another number.
std::uint64_t Number(const json& object, const char* key) {
  const json& value = object.at(key);
  if (!value.is_number_unsigned()) {
    throw DecodeError(error_messages::kMalformedProxyObject);
  }
  return value.get<std::uint64_t>();
}

std::optional<std::uint64_t> OptionalNumber(const json& object,
                                            const char* key) {
  if (!object.contains(key)) return std::nullopt;
  return Number(object, key);
}

std::optional<std::vector<ReplicaProcess>> ParseReplicas(const json& object) {
  if (!object.contains("replicas")) return std::nullopt;
  std::vector<ReplicaProcess> replicas;
  for (const json& replica : object.at("replicas")) {
    replicas.push_back(
        {replica.at("name").get<std::string>(), Number(replica, "started_ms")});
  }
  std::sort(replicas.begin(), replicas.end());
  return replicas;
}

std::optional<LogPosition> ParseBase(const json& object) {
  if (!object.contains("base")) return std::nullopt;
  const json& base = object.at("base");
  return LogPosition{Number(base, "term"), Number(base, "index")};
}

std::optional<std::uint32_t> ParseCapacity(const json& object) {
  if (!object.contains("capacity")) return std::nullopt;
  const std::uint64_t capacity = Number(object, "capacity");
  if (capacity == 0) return std::nullopt;
  return static_cast<std::uint32_t>(
      std::min<std::uint64_t>(capacity, kMaxVmCapacity));
}

}  // namespace

std::string FormatRecord(const LeaderRecord& record) {
  json active_predecessors = json::array();
  for (const LeaderIdentity& predecessor : record.active_predecessors) {
    active_predecessors.push_back({{"holder", predecessor.leader},
                                   {"incarnation", predecessor.incarnation}});
  }
  json object{{"holder", record.leader},
              {"incarnation", record.incarnation},
              {"resigned", record.resigned},
              {"writes", record.writes},
              {"unsettled", active_predecessors}};
  if (record.era) object["era"] = *record.era;
  return object.dump();
}

std::string FormatRecord(const PrimaryRecord& record) {
  json object{{"primary", record.primary},
              {"term", record.term},
              {"writes", record.writes},
              {"phase", kPhaseNames[static_cast<std::size_t>(record.phase)]}};
  if (record.era) object["era"] = *record.era;
  if (!record.replaced.empty()) object["replaced"] = record.replaced;
  if (record.replicas) {
    json replicas = json::array();
    for (const ReplicaProcess& replica : *record.replicas) {
      replicas.push_back(
          {{"name", replica.endpoint}, {"started_ms", replica.started_ms}});
    }
    object["replicas"] = std::move(replicas);
  }
  if (record.base) {
    object["base"] = {{"term", record.base->term},
                      {"index", record.base->index}};
  }
  if (record.chosen_started_ms) {
    object["chosen_started_ms"] = *record.chosen_started_ms;
  }
  return object.dump();
}

std::string FormatRecord(const VmEntry& record) {
  json object{{"data_centre", record.data_centre},
              {"address", record.address},
              {"process", record.process},
              {"yields", record.leadership_losses},
              {"leaving", record.leaving}};
  if (record.capacity) object["capacity"] = *record.capacity;
  return object.dump();
}

LeaderRecord ParseLeaderRecord(std::string_view text) {
  return Parse(text, [](const json& object) {
    LeaderRecord record{object.at("holder").get<std::string>(),
                        Number(object, "incarnation"),
                        object.at("resigned").get<bool>(),
                        Number(object, "writes"),
                        {},
                        OptionalNumber(object, "era")};
    for (const json& predecessor : object.at("unsettled")) {
      record.active_predecessors.push_back(
          {predecessor.at("holder").get<std::string>(),
           Number(predecessor, "incarnation")});
    }
    return record;
  });
}

PrimaryRecord ParsePrimaryRecord(std::string_view text) {
  return Parse(text, [](const json& object) {
    const auto phase = object.at("phase").get<std::string>();
    const auto found = std::find(kPhaseNames.begin(), kPhaseNames.end(), phase);
    if (found == kPhaseNames.end()) {
      throw DecodeError(error_messages::kMalformedProxyObject);
    }
    return PrimaryRecord{object.at("primary").get<std::string>(),
                         Number(object, "term"),
                         static_cast<PrimaryPhase>(found - kPhaseNames.begin()),
                         Number(object, "writes"),
                         OptionalNumber(object, "era"),
                         object.value("replaced", EndpointName()),
                         ParseReplicas(object),
                         ParseBase(object),
                         OptionalNumber(object, "chosen_started_ms")};
  });
}

VmEntry ParseVmEntry(std::string_view text) {
  return Parse(text, [](const json& object) {
    return VmEntry{object.at("data_centre").get<std::string>(),
                   object.at("address").get<std::string>(),
                   object.at("process").get<std::string>(),
                   object.value("yields", std::uint64_t{0}),
                   object.at("leaving").get<bool>(),
                   ParseCapacity(object)};
  });
}

}  // namespace carawayhaven
