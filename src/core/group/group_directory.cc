#include "core/group/group_directory.h"

#include "core/config/team_config.h"
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

bool GroupDirectory::Raise(const GroupUpdateMessage& update) {
  if (update.term <= TermOf(update.service)) return false;
  views_.insert_or_assign(update.service,
                          GroupView{update.service, update.term, update.primary,
                                    update.term_starts});
  return true;
}

Term GroupDirectory::TermOf(std::string_view service) const {
  const auto found = views_.find(service);
  return found == views_.end() ? 0 : found->second.term;
}

void GroupDirectory::Observe(std::string_view endpoint,
                             const EndpointObservation& seen) {
  observations_.insert_or_assign(EndpointName(endpoint), seen);
}

const EndpointObservation* GroupDirectory::ObservationOf(
    std::string_view endpoint) const {
  const auto found = observations_.find(endpoint);
  return found == observations_.end() ? nullptr : &found->second;
}

}  // namespace carawayhaven
