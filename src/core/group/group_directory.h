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

/// Terms, primaries and endpoint positions that this proxy knows of. Not
/// thread-safe; all calls must come from the thread of the event loop.
class GroupDirectory {
 public:
  /// Bounds the size of the group's object in the store. A session token whose
  /// term is older than the kept starts can be served only by the primary.
  static constexpr std::size_t kMaxTermStarts = 64;

  /// Returns the view of the service's group. A group that is not known yet
  /// starts in term 1 with the first declared endpoint as its primary.
  const GroupView& ViewOf(const ServiceConfig& service);

  /// Applies a newer term, or the term starts of the known term when they were
  /// missing. Keeps the newest kMaxTermStarts starts. Returns false, and
  /// changes nothing, when the update contains nothing new.
  bool Apply(const GroupUpdateMessage& update);

  /// The known groups.
  const std::map<ServiceName, GroupView, std::less<>>& views() const {
    return views_;
  }

  /// Returns the highest known term of the service, or zero when its group is
  /// not known.
  Term TermOf(std::string_view service) const;

  /// PositionSatisfies() with the term starts that are known for the service.
  bool Satisfies(const ServiceConfig& service, LogPosition replica,
                 LogPosition token);

  /// Replaces the last observation of the endpoint.
  void RecordObservation(std::string_view endpoint,
                         const EndpointObservation& seen);

  /// Returns the last observation of the endpoint, or null.
  const EndpointObservation* ObservationOf(std::string_view endpoint) const;

 private:
  std::map<ServiceName, GroupView, std::less<>> views_;
  std::map<EndpointName, EndpointObservation, std::less<>> observations_;
};

}  // namespace carawayhaven

#endif  // CARAWAYHAVEN_CORE_GROUP_GROUP_DIRECTORY_H_
