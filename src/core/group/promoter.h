#ifndef CARAWAYHAVEN_CORE_GROUP_PROMOTER_H_
#define CARAWAYHAVEN_CORE_GROUP_PROMOTER_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <string_view>

#include "carawayhaven/names.h"
#include "carawayhaven/time.h"
#include "core/chart/state_chart.h"
#include "core/endpoint_answer.h"
#include "core/endpoint_command.h"
#include "core/endpoint_link.h"
#include "core/peer_message.h"

namespace carawayhaven {

class GroupDirectory;
struct EndpointConfig;
struct ServiceConfig;

/// Receives the events of a Promoter.
class PromoterHandler {
 public:
  virtual ~PromoterHandler() = default;

  /// The chosen endpoint accepted the promotion in the new term.
  virtual void OnPromoted(const GroupUpdateMessage& update, TimePoint now) = 0;

  /// An endpoint answered with a higher term than the directory's. The handler
  /// calls Supersede() when that term has a primary.
  virtual void OnHigherTermSeen(const EndpointAnswer& answer,
                                TimePoint now) = 0;

  virtual void OnHoldWrites(TimePoint now) = 0;
  virtual void OnReleaseWrites(TimePoint now) = 0;
  virtual bool WritesInFlight() = 0;
};

/// Changes the primary of a group according to the state chart in
/// charts/promoter.toml. Safety rests on the rule that each endpoint grants a
/// term only once. It depends on no clock, so a pause between any two steps can
/// only make the attempt fail. Not thread-safe; all calls must come from the
/// thread of the event loop.
class Promoter : public EndpointEvents {
 public:
  static constexpr Duration kStepTimeout = std::chrono::milliseconds(500);
  /// Covers the primary's round trip to a replica in another region (80 ms).
  static constexpr Duration kVerifyTimeout = std::chrono::milliseconds(200);
  /// After a majority of grants, the other endpoints have this long to answer,
  /// so that the longest log is found. This loses fewer writes of a service
  /// with acknowledge = "primary".
  static constexpr Duration kLateGrantWait = std::chrono::milliseconds(50);
  static constexpr Duration kInitialBackoff = std::chrono::milliseconds(500);
  static constexpr Duration kMaxBackoff = std::chrono::seconds(4);
  /// Longest time for which a planned change holds writes before it fences the
  /// old primary.
  static constexpr Duration kMaxWriteHold = std::chrono::seconds(3);
  static constexpr Duration kWriteHoldPollInterval =
      std::chrono::milliseconds(10);
  /// An event that comes later than this after NextTick() means that the
  /// process was paused. Earlier observations of the primary then do not count.
  static constexpr Duration kMaxTickDelay = std::chrono::milliseconds(250);

  /// All references must outlive the promoter; `service` may change between
  /// calls.
  Promoter(const ServiceConfig& service, VmName vm, EndpointLink& link,
           GroupDirectory& directory, std::mt19937_64& random,
           PromoterHandler& handler);
  ~Promoter() override;
  Promoter(const Promoter&) = delete;
  Promoter& operator=(const Promoter&) = delete;

  /// Starts an attempt after `stagger`. Does nothing unless idle.
  void StartAttempt(Duration stagger, TimePoint now);

  /// Starts a planned change to `target`. When `target` is empty, a replica
  /// that is not leaving and has caught up with the primary is chosen. Does
  /// nothing unless idle.
  void StartPlannedChange(EndpointName target, TimePoint now);

  /// The primary is no longer suspected: ends the attempt if it has had no
  /// effect on the group yet.
  void Withdraw(TimePoint now);

  /// A higher term has a primary: ends the attempt.
  void Supersede(TimePoint now);

  /// Makes later attempts use a term above `term`.
  void RecordSeenTerm(Term term);

  bool idle() const { return state_ == chart_.initial(); }
  const std::string& state() const { return state_; }
  /// Term of the newest attempt; zero before the first.
  Term term() const { return term_; }

  void Tick(TimePoint now);
  TimePoint NextTick() const { return deadline_; }

  void OnConnectionOpened(ConnectionId connection, TimePoint now) override;
  void OnConnectionClosed(ConnectionId connection, TimePoint now) override;
  void OnAnswer(ConnectionId connection, const EndpointAnswer& answer,
                TimePoint now) override;

 private:
  /// Connection to one endpoint and its answer in the current attempt.
  struct Contact {
    ConnectionId connection = 0;
    bool open = false;
    /// Command to be sent when the connection opens.
    std::optional<EndpointCommand> unsent;
    CorrelationId awaited = 0;
    /// Answer to the last command.
    std::optional<EndpointAnswer> answer;
  };
  using Contacts = std::map<EndpointName, Contact, std::less<>>;

  bool Fire(std::string_view event, TimePoint now);
  void Enter(TimePoint now);
  void EnterIdle(TimePoint now);
  void EnterSurveying(TimePoint now);
  void EnterVerifying(TimePoint now);
  void EnterFencing(TimePoint now);
  void EnterPromoting(TimePoint now);
  void EnterFollowing(TimePoint now);
  void EnterBackingOff(TimePoint now);
  void EnterHolding(TimePoint now);
  void EnterCatchingUp(TimePoint now);

  void PollPlannedChange(TimePoint now);
  bool AbortAfterPause(TimePoint now);
  void OpenContacts();
  void CloseContacts();
  void Send(Contact& contact, EndpointOperation operation, Term term);
  void SendToAll(EndpointOperation operation, Term term);

  void CheckSurvey(TimePoint now);
  void CheckVerified(TimePoint now);
  void CheckGrants(TimePoint now);
  void CheckPromoted(TimePoint now);
  void CheckFollowed(TimePoint now);
  void CheckCaughtUp(TimePoint now);

  std::size_t majority() const;
  const EndpointConfig* Find(std::string_view endpoint) const;
  std::size_t CountGrants(bool without_primary) const;
  bool GrantsSuffice() const;
  EndpointName ChooseGranted() const;
  void ReleaseWrites(TimePoint now);

  const ServiceConfig& service_;
  VmName vm_;
  EndpointLink& link_;
  GroupDirectory& directory_;
  std::mt19937_64& random_;
  PromoterHandler& handler_;
  const StateChart& chart_;
  std::string state_;

  TimePoint deadline_ = TimePoint::max();
  TimePoint planned_change_deadline_;
  Duration stagger_{0};
  Contacts contacts_;
  CorrelationId next_correlation_ = 1;
  std::uint32_t failures_ = 0;
  /// Highest term seen in an answer or used by an attempt.
  Term highest_seen_ = 0;
  Term term_ = 0;
  /// Primary and term that the attempt replaces.
  EndpointName old_primary_;
  Term old_term_ = 0;
  /// The survey found an endpoint that has granted a term above old_term_.
  bool later_term_granted_ = false;
  /// Identifies this attempt in grants.
  std::string candidate_;
  EndpointName chosen_;
  bool planned_ = false;
  bool holds_writes_ = false;
  EndpointName target_;
};

}  // namespace carawayhaven

#endif  // CARAWAYHAVEN_CORE_GROUP_PROMOTER_H_
