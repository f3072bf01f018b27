#include "core/group/group_directory.h"

#include <utility>

#include "core/config/team_config.h"
#include "core/group/position_rule.h"
#include "core/peer_message.h"

namespace carawayhaven {

const GroupView& GroupDirectory::ViewOf(const ServiceConfig& service) {
  const auto found = views_.find(service.name);
  if (found != views_.end()) return found->second;
  GroupView view;
  view.service = service.name;
  if (!service.endpoints.empty()) view.primary = service.endpoints.front().name;
  view.term_starts = {LogPosition{view.term, 0}};
  return views_.emplace(service.name, std::move(view)).first->second;
}

bool GroupDirectory::Apply(const GroupUpdateMessage& update) {
  const auto known = views_.find(update.service);
  if (known != views_.end()) {
    const GroupView& view = known->second;
    const bool adds_starts =
        update.term == view.term && update.primary == view.primary &&
        view.term_starts.empty() && !update.term_starts.empty();
    if (update.term <= view.term && !adds_starts) return false;
  }
  GroupView view{update.service, update.term, update.primary,
                 update.term_starts};
  if (view.term_starts.size() > kMaxTermStarts) {
    view.term_starts.erase(view.term_starts.begin(),
                           view.term_starts.end() - kMaxTermStarts);
  }
  views_.insert_or_assign(update.service, std::move(view));
  return true;
}

bool GroupDirectory::Satisfies(const ServiceConfig& service,
                               LogPosition replica, LogPosition token) {
  return PositionSatisfies(replica, token, ViewOf(service).term_starts);
}

Term GroupDirectory::TermOf(std::string_view service) const {
  const auto found = views_.find(service);
  return found == views_.end() ? 0 : found->second.term;
}

void GroupDirectory::RecordObservation(std::string_view endpoint,
                                       const EndpointObservation& seen) {
  observations_.insert_or_assign(EndpointName(endpoint), seen);
}

const EndpointObservation* GroupDirectory::ObservationOf(
    std::string_view endpoint) const {
  const auto found = observations_.find(endpoint);
  return found == observations_.end() ? nullptr : &found->second;
}

}  // namespace carawayhaven
