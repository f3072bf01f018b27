#ifndef CARAWAYHAVEN_CORE_GROUP_GROUP_DIRECTORY_H_
#define CARAWAYHAVEN_CORE_GROUP_GROUP_DIRECTORY_H_

#include <cstddef>
#include <map>
#include <string_view>

#include "carawayhaven/log_position.h"
#include "carawayhaven/names.h"
#include "carawayhaven/time.h"
#include "core/group/group_view.h"

namespace carawayhaven {

struct GroupUpdateMessage;
struct ServiceConfig;

/// Terms, primaries and endpoint positions as far as this proxy knows them.
/// Not thread-safe; one loop, one thread.
class GroupDirectory {
 public:
  /// Bounds the group's object in the store; a session token of an older term
  /// is served by the primary.
  static constexpr std::size_t kMaxTermStarts = 64;

  /// Returns the view of the service's group. A group that is not known yet
  /// starts in term 1 with the first declared endpoint as its primary.
  const GroupView& ViewOf(const ServiceConfig& service);

  /// Takes a newer term, or the term starts of the known term when they were
  /// missing; keeps the newest kMaxTermStarts starts. Returns false, and
  /// changes nothing, when the update has nothing new.
  bool Apply(const GroupUpdateMessage& update);

  /// Returns the highest term known for the service, zero when unknown.
  Term TermOf(std::string_view service) const;

  /// Tells whether a replica at `replica` holds every write that a session
  /// token at `token` stands for, as far as this proxy can be certain.
  bool Satisfies(const ServiceConfig& service, LogPosition replica,
                 LogPosition token);

  void RecordObservation(std::string_view endpoint,
                         const EndpointObservation& seen);

  /// Returns the last observation, or null.
  const EndpointObservation* ObservationOf(std::string_view endpoint) const;

 private:
  std::map<ServiceName, GroupView, std::less<>> views_;
  std::map<EndpointName, EndpointObservation, std::less<>> observations_;
};

}  // namespace carawayhaven

#endif  // CARAWAYHAVEN_CORE_GROUP_GROUP_DIRECTORY_H_
