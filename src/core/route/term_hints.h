#ifndef CARAWAYHAVEN_CORE_ROUTE_TERM_HINTS_H_
#define CARAWAYHAVEN_CORE_ROUTE_TERM_HINTS_H_

#include <map>
#include <string_view>

#include "carawayhaven/names.h"

namespace carawayhaven {

class GroupDirectory;
struct ServiceConfig;

/// Terms and primaries taken from replies, in addition to those of the
/// GroupDirectory. A reply does not contain the start positions of terms; if
/// the directory took a term from a reply, it would ignore the full
/// announcement of the same term. Not thread-safe.
class TermHints {
 public:
  explicit TermHints(GroupDirectory& groups) : groups_(groups) {}

  /// Records the term of a reply. `primary` is empty when the reply does not
  /// come from a primary.
  void Update(std::string_view service, Term term, std::string_view primary);

  Term TermOf(const ServiceConfig& service) const;

  /// Returns the highest term whose primary is known.
  Term PrimaryTermOf(const ServiceConfig& service) const;

  /// Returns the primary of the highest term whose primary is known.
  EndpointName PrimaryOf(const ServiceConfig& service) const;

 private:
  struct Hint {
    Term term = 0;
    Term primary_term = 0;
    EndpointName primary;
  };

  GroupDirectory& groups_;
  std::map<ServiceName, Hint, std::less<>> hints_;
};

}  // namespace carawayhaven

#endif  // CARAWAYHAVEN_CORE_ROUTE_TERM_HINTS_H_
