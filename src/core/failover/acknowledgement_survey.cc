#include "core/failover/acknowledgement_survey.h"

#include <algorithm>

namespace carawayhaven {

void AcknowledgementSurvey::SetServices(const std::set<ServiceName>& services,
                                        TimePoint now) {
  std::erase_if(begun_, [&](const auto& entry) {
    return !services.contains(entry.first);
  });
  std::erase_if(answers_, [&](const auto& entry) {
    return !services.contains(entry.first);
  });
  for (const ServiceName& service : services) begun_.try_emplace(service, now);
}

TimePoint AcknowledgementSurvey::begun_at() const {
  TimePoint latest = TimePoint::min();
  for (const auto& [service, begun] : begun_) latest = std::max(latest, begun);
  return latest;
}

std::vector<ServiceName> AcknowledgementSurvey::services() const {
  std::vector<ServiceName> services;
  for (const auto& [service, begun] : begun_) services.push_back(service);
  return services;
}

void AcknowledgementSurvey::RecordAnswer(
    const VmName& vm, TimePoint sent, TimePoint started_by,
    std::span<const AcknowledgedPosition> positions) {
  for (const AcknowledgedPosition& entry : positions) {
    const auto begun = begun_.find(entry.service);
    // An earlier answer may be older than a lease that was granted since.
    if (begun == begun_.end() || sent < begun->second) continue;
    answers_[entry.service][vm] = {started_by, entry.position};
  }
}

bool AcknowledgementSurvey::NeedsAnswer(const VmName& vm) const {
  return std::any_of(begun_.begin(), begun_.end(), [&](const auto& entry) {
    const auto answers = answers_.find(entry.first);
    return answers == answers_.end() || !answers->second.contains(vm);
  });
}

std::optional<LogPosition> AcknowledgementSurvey::Highest(
    const ServiceName& service, std::span<const VmName> vms,
    TimePoint since) const {
  const auto answers = answers_.find(service);
  if (answers == answers_.end()) return std::nullopt;
  LogPosition highest;
  for (const VmName& vm : vms) {
    const auto answer = answers->second.find(vm);
    if (answer == answers->second.end() || answer->second.started_by > since) {
      return std::nullopt;
    }
    highest = std::max(highest, answer->second.position);
  }
  return highest;
}

}  // namespace carawayhaven
