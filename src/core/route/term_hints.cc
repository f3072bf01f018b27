#include "core/route/term_hints.h"

#include <algorithm>

#include "core/config/team_config.h"
#include "core/group/group_directory.h"

namespace carawayhaven {

void TermHints::Update(std::string_view service, Term term,
                       std::string_view primary) {
  if (term <= groups_.TermOf(service)) return;
  auto found = hints_.find(service);
  if (found == hints_.end()) found = hints_.emplace(service, Hint{}).first;
  Hint& hint = found->second;
  hint.term = std::max(hint.term, term);
  if (!primary.empty() && term > hint.primary_term) {
    hint.primary_term = term;
    hint.primary = primary;
  }
}

Term TermHints::TermOf(const ServiceConfig& service) const {
  const Term known = groups_.ViewOf(service).term;
  const auto found = hints_.find(service.name);
  return found == hints_.end() ? known : std::max(known, found->second.term);
}

Term TermHints::PrimaryTermOf(const ServiceConfig& service) const {
  const Term known = groups_.ViewOf(service).term;
  const auto found = hints_.find(service.name);
  return found == hints_.end() ? known
                               : std::max(known, found->second.primary_term);
}

EndpointName TermHints::PrimaryOf(const ServiceConfig& service) const {
  const GroupView& view = groups_.ViewOf(service);
  const auto found = hints_.find(service.name);
  const bool newer =
      found != hints_.end() && found->second.primary_term > view.term;
  return newer ? found->second.primary : view.primary;
}

}  // namespace carawayhaven
