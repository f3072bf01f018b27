#ifndef CARAWAYHAVEN_TEST_GROUP_FAKE_ENDPOINT_GROUP_H_
#define CARAWAYHAVEN_TEST_GROUP_FAKE_ENDPOINT_GROUP_H_

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <queue>
#include <random>
#include <string>
#include <tuple>
#include <utility>
#include <vector>

#include "core/config/team_config.h"
#include "core/endpoint_answer.h"
#include "core/endpoint_command.h"
#include "core/endpoint_link.h"
#include "core/group/group_directory.h"
#include "core/group/group_monitor.h"
#include "core/membership/owner_resolver.h"
#include "core/peer_link.h"
#include "core/platform_store.h"

namespace carawayhaven {

/// Runs events in the order of their virtual time.
class VirtualTime {
 public:
  TimePoint now() const { return now_; }
  void After(Duration delay, std::function<void()> event);
  void RunUntil(TimePoint end);

 private:
  struct Event {
    TimePoint at;
    std::uint64_t sequence;
    std::function<void()> run;
    bool operator<(const Event& other) const {
      return std::tie(other.at, other.sequence) < std::tie(at, sequence);
    }
  };
  TimePoint now_;
  std::uint64_t sequence_ = 0;
  std::priority_queue<Event> events_;
};

struct FakeEndpoint {
  struct Entry {
    Term term = 0;
    std::uint64_t id = 0;
    TimePoint at;
    /// Id of the request that wrote the entry, or that a cancel marker cancels.
    std::string request;
    /// Set for a cancel marker: attempts up to this one are refused.
    std::optional<std::uint32_t> cancelled;
    /// Key and value of each write.
    std::vector<std::pair<std::string, std::string>> writes;
  };
  struct Transaction {
    Term term = 0;
    std::vector<std::pair<std::string, std::string>> writes;
  };
  EndpointName name;
  Term term = 1;
  std::string granted_to;
  EndpointRole role = EndpointRole::kReplica;
  EndpointName primary;
  std::vector<Entry> log;
  /// Term whose primary's log this log is known to be a prefix of.
  Term synced_term = 1;
  Duration lag{0};
  /// Time at which the primary's log had the state that this log has.
  TimePoint synced_at;
  /// Open transactions by connection. Each write on the connection belongs to
  /// its open transaction.
  std::map<ConnectionId, Transaction> transactions;
  bool up = true;
  bool frozen = false;
  /// Cut off from the other endpoints, but not from the proxies.
  bool cut = false;
  /// Connections below this id are silent in both directions.
  ConnectionId silent_below = 0;
  /// The next answer to this operation is lost.
  std::optional<EndpointOperation> drop_answer;
  std::vector<std::function<void()>> backlog;
};

/// One-way latencies of a deployment with data centres 0 and 1 in one region
/// and 2 in another.
struct FakeLatency {
  Duration near{1500};
  Duration far{10000};
  Duration Between(std::size_t a, std::size_t b) const;
};

/// Three endpoints, one in each data centre, in virtual time.
class FakeEndpointGroup {
 public:
  FakeEndpointGroup(VirtualTime& time, FakeLatency latency);

  const ServiceConfig& config() const { return config_; }
  ServiceConfig& config() { return config_; }
  FakeEndpoint& operator[](std::size_t index) { return endpoints_[index]; }
  std::size_t IndexOf(const EndpointName& name) const;
  /// The endpoint that is primary of the highest term.
  std::size_t CurrentPrimary() const;

  void Crash(std::size_t index);
  void Freeze(std::size_t index);
  void Restore(std::size_t index);
  void Silence(std::size_t index);

  struct Confirmation {
    Term term = 0;
    EndpointName endpoint;
  };
  /// Each kConfirm that was answered with a position, in the order in which the
  /// endpoints answered.
  std::vector<Confirmation> confirmations;

  /// Time until a statement takes effect.
  Duration statement_time{0};

 private:
  friend class FakeLink;
  using Reply = std::function<void(const EndpointAnswer&)>;

  void Receive(std::size_t index, ConnectionId connection,
               const EndpointCommand& command, const Reply& reply);
  void Arrive(std::size_t index, ConnectionId connection,
              const EndpointCommand& command, const Reply& reply);
  void Disconnect(std::size_t index, ConnectionId connection);
  /// Runs a statement ("append" with "KEY VALUE", "get" with "KEY"), a step of
  /// a transaction or a resolve. The answer holds status and payload.
  void RunData(FakeEndpoint& endpoint, ConnectionId connection,
               const EndpointCommand& command, EndpointAnswer& answer);
  void RunRead(const FakeEndpoint& endpoint, ConnectionId connection,
               const EndpointCommand& command, EndpointAnswer& answer);
  void RunWrite(FakeEndpoint& endpoint, ConnectionId connection,
                const EndpointCommand& command, EndpointAnswer& answer);
  void Confirm(std::size_t index, const EndpointCommand& command,
               const Reply& reply, const std::shared_ptr<bool>& done);
  bool Linked(std::size_t a, std::size_t b) const;
  void Replicate();
  EndpointAnswer AnswerOf(const FakeEndpoint& endpoint,
                          const EndpointCommand& command) const;

  VirtualTime& time_;
  FakeLatency latency_;
  ServiceConfig config_;
  std::vector<FakeEndpoint> endpoints_;
  std::vector<class FakeLink*> links_;
  ConnectionId next_connection_ = 1;
};

/// Connections of one VM to the endpoints. Events are passed to `gate`, which
/// runs them, or defers them while the VM is paused.
class FakeLink : public EndpointLink {
 public:
  using Gate = std::function<void(std::function<void()>)>;
  FakeLink(FakeEndpointGroup& group, std::size_t data_centre, Gate gate);

  ConnectionId Open(std::string_view address, EndpointEvents& events) override;
  bool Send(ConnectionId connection, const EndpointCommand& command) override;
  void Close(ConnectionId connection) override;
  void CloseAllTo(std::size_t endpoint);
  /// Ends all connections without an event, as when the process ends.
  void CloseAll();

 private:
  struct Connection {
    std::size_t endpoint = 0;
    EndpointEvents* events = nullptr;
    bool open = false;
  };
  Duration DelayTo(std::size_t endpoint) const;
  void Deliver(ConnectionId id, Duration delay,
               const std::function<void(EndpointEvents&, Connection&)>& event);

  FakeEndpointGroup& group_;
  std::size_t data_centre_;
  Gate gate_;
  std::map<ConnectionId, Connection> connections_;
};

enum class StoreFault { kNone, kSlow, kDown, kAnswerLost };

class FakeStore : public PlatformStore {
 public:
  FakeStore(VirtualTime& time, std::mt19937_64& random)
      : time_(time), random_(random) {}
  void Get(std::string_view path, StoreCallback callback) override;
  void Put(std::string_view path, std::string_view value,
           ObjectVersion expected, StoreCallback callback) override;
  void Watch(std::string_view, ObjectVersion, StoreCallback) override {}

  StoreFault fault = StoreFault::kNone;
  std::map<std::string, StoredObject> objects;

 private:
  void End(const StoreReply& reply, const StoreCallback& callback);
  VirtualTime& time_;
  std::mt19937_64& random_;
};

/// One proxy VM with its monitor.
class FakeVm : public OwnerResolver,
               public PeerLink,
               public GroupMonitorHandler {
 public:
  FakeVm(VirtualTime& time, FakeEndpointGroup& group, FakeStore& store,
         FakeLatency latency, std::size_t index, std::uint64_t seed);

  std::vector<VmName> OwnersOf(const EndpointConfig& endpoint,
                               std::size_t count) const override;
  const VmName& self() const override { return name_; }
  bool Send(const VmName& vm, const PeerMessage& message) override;
  void SetAddress(const VmName&, std::string_view) override {}

  void Pause();
  void Resume();
  void Run(std::function<void()> event);
  void Start() { ScheduleTick(); }

  FakeLink link;
  GroupDirectory directory;
  std::vector<FakeVm*> peers;
  /// Replaces the default owners (VM i owns endpoint i).
  std::function<VmName(const EndpointConfig&)> owner;
  std::mt19937_64 random;
  std::unique_ptr<GroupMonitor> monitor;
  /// Called after each event of the VM.
  std::vector<std::function<void(FakeVm&)>> observers;
  bool holding = false;
  bool writes_in_flight = false;
  int promotions = 0;
  /// Endpoints whose connections were reported as silent.
  std::vector<EndpointName> silent_reports;

 private:
  void OnGroupChanged(const GroupUpdateMessage& update, TimePoint now) override;
  void OnPromotionCompleted(const GroupUpdateMessage&) override {
    ++promotions;
  }
  void HoldWrites(const ServiceName&, TimePoint) override { holding = true; }
  void ReleaseWrites(const ServiceName&, TimePoint) override {
    holding = false;
  }
  bool WritesInFlight(const ServiceName&) override { return writes_in_flight; }
  void OnConnectionsSilent(const EndpointName& endpoint, TimePoint) override {
    silent_reports.push_back(endpoint);
  }
  void ScheduleTick();

  VirtualTime& time_;
  FakeEndpointGroup& group_;
  FakeLatency latency_;
  std::size_t index_;
  VmName name_;
  bool paused_ = false;
  std::deque<std::function<void()>> deferred_;
  std::uint64_t next_wakeup_ = 0;
};

/// Writes to the primary that its VM knows. Counts a write as acknowledged when
/// the primary has executed it, or, except with AcknowledgeMode::kPrimary, when
/// the primary has confirmed its position afterwards.
class FakeWriter : public EndpointEvents {
 public:
  FakeWriter(VirtualTime& time, FakeEndpointGroup& group, FakeVm& vm,
             Duration interval, AcknowledgeMode mode);

  struct Acknowledged {
    std::uint64_t id = 0;
    Term term = 0;
    EndpointName endpoint;
    TimePoint at;
    Duration latency{0};
  };
  std::vector<Acknowledged> acknowledged;

  void OnConnectionOpened(ConnectionId connection, TimePoint now) override;
  void OnConnectionClosed(ConnectionId connection, TimePoint now) override;
  void OnAnswer(ConnectionId connection, const EndpointAnswer& answer,
                TimePoint now) override;

 private:
  struct Sent {
    std::uint64_t id = 0;
    TimePoint at;
    LogPosition position;
  };
  void Step();
  void Confirm();
  void Reset();

  VirtualTime& time_;
  FakeEndpointGroup& group_;
  FakeVm& vm_;
  Duration interval_;
  AcknowledgeMode mode_;
  Term term_ = 0;
  EndpointName primary_;
  ConnectionId connection_ = 0;
  bool open_ = false;
  std::uint64_t next_ = 1;
  std::map<CorrelationId, Sent> executing_;
  std::vector<Sent> executed_;
  CorrelationId confirm_ = 0;
  std::vector<Sent> confirming_;
  TimePoint last_answer_;
};

/// Connects all of the above: VMs 0 to 2 own an endpoint each, and the writer
/// runs on VM 3, which owns none.
struct FakeDeployment {
  FakeDeployment(FakeLatency latency, std::uint64_t seed,
                 AcknowledgeMode mode = AcknowledgeMode::kReplica,
                 Duration write_interval = std::chrono::milliseconds(10));
  void RunFor(Duration time) { clock.RunUntil(clock.now() + time); }
  bool LogHolds(std::size_t endpoint, std::uint64_t id);
  Duration LongestGap(TimePoint from) const;

  VirtualTime clock;
  std::mt19937_64 random;
  FakeEndpointGroup group;
  FakeStore store;
  std::vector<std::unique_ptr<FakeVm>> vms;
  std::unique_ptr<FakeWriter> writer;
};

}  // namespace carawayhaven

#endif  // CARAWAYHAVEN_TEST_GROUP_FAKE_ENDPOINT_GROUP_H_
