#ifndef CARAWAYHAVEN_CORE_GROUP_GROUP_MONITOR_H_
#define CARAWAYHAVEN_CORE_GROUP_GROUP_MONITOR_H_

#include <map>
#include <optional>
#include <random>
#include <string_view>
#include <vector>

#include "carawayhaven/names.h"
#include "carawayhaven/time.h"
#include "core/config/team_config.h"
#include "core/endpoint_link.h"
#include "core/group/failure_detector.h"
#include "core/group/group_announcer.h"
#include "core/group/promoter.h"
#include "core/peer_message.h"

namespace carawayhaven {

class GroupDirectory;
class OwnerResolver;
class PeerLink;
class PlatformStore;

/// Receives the decisions of a GroupMonitor.
class GroupMonitorHandler {
 public:
  virtual ~GroupMonitorHandler() = default;

  /// The directory applied a new term, or the term starts of its term. The
  /// handler forwards the message to peers; each update is reported once.
  virtual void OnGroupChanged(const GroupUpdateMessage& update,
                              TimePoint now) = 0;

  /// An attempt of this VM promoted an endpoint. Called before
  /// OnGroupChanged().
  virtual void OnPromotionCompleted(const GroupUpdateMessage& /*update*/) {}

  /// From now until ReleaseWrites(), the owner of the primary queues new writes
  /// of the service.
  virtual void HoldWrites(const ServiceName& service, TimePoint now) = 0;
  virtual void ReleaseWrites(const ServiceName& service, TimePoint now) = 0;

  /// True while a write of the service was sent and has no final outcome.
  virtual bool WritesInFlight(const ServiceName& service) = 0;

  /// Open connections to the primary may no longer answer although new ones
  /// work.
  virtual void OnConnectionsSilent(const EndpointName& /*endpoint*/,
                                   TimePoint /*now*/) {}
};

/// Monitors the group of one service on one VM and replaces its primary when
/// needed. Probes the primary only while this VM is the first owner of an
/// endpoint of the group. Also makes the endpoints that it owns follow the
/// current primary. Not thread-safe; all calls must come from the thread of the
/// event loop.
class GroupMonitor : public EndpointEvents,
                     private FailureDetectorHandler,
                     private PromoterHandler {
 public:
  /// How often ownership and the directory are checked.
  static constexpr Duration kRefreshInterval = std::chrono::milliseconds(100);
  static constexpr Duration kReportInterval = std::chrono::milliseconds(250);
  /// Four report intervals; older reports are discarded.
  static constexpr Duration kReportLifetime = std::chrono::seconds(1);
  /// Delay of an attempt for each candidate of a lower rank, so that candidates
  /// do not start together.
  static constexpr Duration kStaggerPerRank = std::chrono::milliseconds(300);
  /// Probe interval plus the time that a report takes between regions.
  static constexpr Duration kLateCandidateDelay =
      std::chrono::milliseconds(300);
  static constexpr Duration kStatusInterval = std::chrono::milliseconds(500);
  static constexpr Duration kStatusTimeout = std::chrono::seconds(1);
  /// The owner of the new primary publishes the term after this delay if the
  /// candidate did not.
  static constexpr Duration kOwnerPublishDelay = std::chrono::seconds(2);
  static constexpr Duration kPlannedChangeRetry = std::chrono::seconds(1);
  /// An endpoint that granted a term in which no endpoint was promoted refuses
  /// the current primary. After this time, a planned change to a new term with
  /// the same primary lets it rejoin the group.
  static constexpr Duration kMaxStrandedTime = std::chrono::seconds(5);

  /// All references must outlive the monitor.
  GroupMonitor(const ServiceConfig& service, VmName vm, EndpointLink& link,
               PeerLink& peers, PlatformStore& store,
               const OwnerResolver& owners, GroupDirectory& directory,
               std::mt19937_64& random, GroupMonitorHandler& handler);
  ~GroupMonitor() override;

  /// Sets the configuration of the service. A changed configuration withdraws
  /// an attempt to promote and reopens the status connections; an unchanged one
  /// only refreshes the ownership.
  void Update(const ServiceConfig& service, TimePoint now);

  /// Moves the primary to another endpoint without errors for callers. Ignored
  /// unless this VM is the first owner of the primary. A failed change is
  /// retried until the group has a new term.
  void RequestPlannedChange(TimePoint now);

  /// Handles SuspectReport and GroupUpdate messages of this service; ignores
  /// all other messages.
  void OnPeerMessage(const VmName& vm, const PeerMessage& message,
                     TimePoint now);

  bool suspected() const { return detector_.suspected(); }
  /// Current state in the state chart charts/promoter.toml.
  const std::string& promoter_state() const { return promoter_.state(); }
  /// True while the store is not known to hold the newest term that this VM has
  /// to publish.
  bool publishing() const { return !publisher_.done(); }

  void Tick(TimePoint now);
  TimePoint NextTick() const;

  void OnConnectionOpened(ConnectionId connection, TimePoint now) override;
  void OnConnectionClosed(ConnectionId connection, TimePoint now) override;
  void OnAnswer(ConnectionId connection, const EndpointAnswer& answer,
                TimePoint now) override;

 private:
  struct Report {
    VmName vm;
    Term term = 0;
    TimePoint until;
  };
  /// Status connection to an endpoint that this VM owns.
  struct OwnedEndpoint {
    ConnectionId connection = 0;
    bool open = false;
    CorrelationId awaited = 0;
    TimePoint sent_at;
    std::optional<TimePoint> stranded_since;
  };

  void OnSuspicionChanged(bool suspected, TimePoint now) override;
  void OnConnectionSilent(TimePoint now) override;
  void OnHigherTermSeen(const EndpointAnswer& answer, TimePoint now) override;
  void OnPromoted(const GroupUpdateMessage& update, TimePoint now) override;
  void OnHoldWrites(TimePoint now) override;
  void OnReleaseWrites(TimePoint now) override;
  bool WritesInFlight() override;

  void Refresh(TimePoint now);
  void RefreshOwnedEndpoints();
  void WatchPrimary(TimePoint now);
  void Apply(const GroupUpdateMessage& update, TimePoint now);
  void SendReports(TimePoint now);
  void QueryOwnedEndpoints(TimePoint now);
  void OnOwnedEndpointStatus(const EndpointName& endpoint, OwnedEndpoint& owned,
                             const EndpointAnswer& answer, TimePoint now);
  void StartChangeIfNeeded(TimePoint now);
  bool HasSecondObserver(const EndpointConfig& own, TimePoint now) const;
  VmName OwnerOf(const EndpointConfig& endpoint) const;
  const EndpointConfig* Find(std::string_view endpoint) const;

  ServiceConfig service_;
  VmName vm_;
  EndpointLink& link_;
  PeerLink& peers_;
  const OwnerResolver& owners_;
  GroupDirectory& directory_;
  GroupMonitorHandler& handler_;
  FailureDetector detector_;
  Promoter promoter_;
  GroupRecordPublisher publisher_;

  std::map<EndpointName, OwnedEndpoint, std::less<>> owned_;
  /// By the endpoint whose owner sent the report.
  std::map<EndpointName, Report, std::less<>> reports_;
  Term watched_term_ = 0;
  std::string watched_address_;
  TimePoint next_refresh_;
  TimePoint next_report_;
  TimePoint next_status_;
  CorrelationId next_correlation_ = 1;
  bool planned_change_requested_ = false;
  TimePoint next_planned_change_;
  /// Read from the store by a callback, which does not know the time; the next
  /// Tick() applies it.
  std::optional<GroupUpdateMessage> stored_update_;
};

}  // namespace carawayhaven

#endif  // CARAWAYHAVEN_CORE_GROUP_GROUP_MONITOR_H_
