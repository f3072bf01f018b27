#ifndef CARAWAYHAVEN_CORE_FAILOVER_ACKNOWLEDGEMENT_SURVEY_H_
#define CARAWAYHAVEN_CORE_FAILOVER_ACKNOWLEDGEMENT_SURVEY_H_

#include <map>
#include <optional>
#include <set>
#include <span>
#include <vector>

#include "carawayhaven/log_position.h"
#include "carawayhaven/names.h"
#include "carawayhaven/time.h"
#include "core/peer_message.h"

namespace carawayhaven {

/// Collects, while promotions are held back, the highest log position of a
/// commit that any VM has reported to a caller. A log that reaches it holds all
/// acknowledged commits, even if the endpoints that acknowledged them are lost.
/// A VM that does not answer, or whose process has started again, may have
/// reported any commit. Not thread-safe.
class AcknowledgementSurvey {
 public:
  /// Sets the services whose promotion is held back at `now`. Answers about a
  /// service are forgotten when it is left out.
  void SetServices(const std::set<ServiceName>& services, TimePoint now);
  bool is_active() const { return !begun_.empty(); }
  /// When the survey of the last service began; there must be one.
  TimePoint begun_at() const;
  std::vector<ServiceName> services() const;

  /// Records the answer of a VM to a request that was sent at `sent`.
  /// `started_by` is the latest possible start of the VM's process.
  void RecordAnswer(const VmName& vm, TimePoint sent, TimePoint started_by,
                    std::span<const AcknowledgedPosition> positions);
  /// True if the VM has not answered for all services.
  bool NeedsAnswer(const VmName& vm) const;

  /// The highest position of a commit of the service that was reported to a
  /// caller at `since` or later, or nothing if it is not known. `vms` are all
  /// that may have reported one.
  std::optional<LogPosition> Highest(const ServiceName& service,
                                     std::span<const VmName> vms,
                                     TimePoint since) const;

 private:
  struct Answer {
    TimePoint started_by;
    LogPosition position;
  };

  /// When the promotion of each service began to be held back.
  std::map<ServiceName, TimePoint> begun_;
  std::map<ServiceName, std::map<VmName, Answer>> answers_;
};

}  // namespace carawayhaven

#endif  // CARAWAYHAVEN_CORE_FAILOVER_ACKNOWLEDGEMENT_SURVEY_H_
