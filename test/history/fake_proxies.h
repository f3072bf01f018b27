#ifndef CARAWAYHAVEN_TEST_HISTORY_FAKE_PROXIES_H_
#define CARAWAYHAVEN_TEST_HISTORY_FAKE_PROXIES_H_

#include <array>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "core/config/service_directory.h"
#include "core/group/group_directory.h"
#include "core/group/group_monitor.h"
#include "core/membership/owner_resolver.h"
#include "core/peer_link.h"
#include "core/queue/endpoint_pool.h"
#include "core/queue/forward_filter.h"
#include "core/route/request_router.h"
#include "group/fake_endpoint_group.h"
#include "history/history_checker.h"

namespace carawayhaven {

class ProxySimulation;

/// One proxy process: the real request router, endpoint pools and group
/// monitor, connected as in src/proxy. Its network and clock are simulated.
class FakeProxy : public OwnerResolver,
                  public PeerLink,
                  public GroupMonitorHandler,
                  public EndpointPoolHandler {
 public:
  FakeProxy(ProxySimulation& simulation, std::size_t index,
            std::uint64_t incarnation);

  std::vector<VmName> OwnersOf(const EndpointConfig& endpoint,
                               std::size_t count) const override;
  const VmName& self() const override { return name_; }
  bool Send(const VmName& vm, const PeerMessage& message) override;
  void SetAddress(const VmName&, std::string_view) override {}

  /// Runs the event now. Defers it while the process is paused and drops it
  /// after a crash.
  void Run(std::function<void()> event);
  void Receive(const VmName& from, PeerMessage message);
  void Pause() { paused_ = true; }
  void Resume();
  void Crash();
  bool crashed() const { return crashed_; }

  RequestRouter& router() { return *router_; }
  GroupMonitor& monitor() { return *monitor_; }

  /// VMs that this proxy treats as down, by index.
  std::array<bool, 3> down_vms{};
  /// Computes owners as if each endpoint belonged to the next VM, so that two
  /// proxies act as owner of the same endpoint.
  bool owners_rotated = false;

 private:
  void OnGroupChanged(const GroupUpdateMessage& update, TimePoint now) override;
  void HoldWrites(const ServiceName&, TimePoint now) override;
  void ReleaseWrites(const ServiceName&, TimePoint now) override;
  bool WritesInFlight(const ServiceName&) override;
  void OnConnectionsSilent(const EndpointName& endpoint,
                           TimePoint now) override;
  void OnEndpointAnswer(const EndpointName& endpoint,
                        const EndpointAnswer& answer, TimePoint now) override;
  void OnForward(const VmName& from, const ForwardMessage& message);
  EndpointPool& PoolOf(const EndpointName& endpoint);
  /// Schedules the next tick; any tick scheduled before has no effect.
  void ScheduleTick();

  ProxySimulation& simulation_;
  std::size_t index_;
  VmName name_;
  FakeLink link_;
  GroupDirectory directory_;
  std::mt19937_64 random_;
  std::unique_ptr<GroupMonitor> monitor_;
  std::unique_ptr<RequestRouter> router_;
  ForwardFilter filter_;
  std::map<EndpointName, std::unique_ptr<EndpointPool>> pools_;
  bool paused_ = false;
  bool crashed_ = false;
  std::deque<std::function<void()>> deferred_events_;
  std::uint64_t tick_generation_ = 0;
};

/// A caller session. It submits one request at a time to changing proxies,
/// retries requests that did not run and resolves those in doubt.
class FakeSession {
 public:
  FakeSession(ProxySimulation& simulation, std::size_t index);

 private:
  using Callback = std::function<void(const std::optional<Outcome>&)>;
  void StartNext();
  void Write(const std::string& id, std::uint32_t attempt,
             const std::string& key);
  void Resolve(const RequestId& id, const std::string& key, unsigned tries);
  void Read();
  void BeginTransaction();
  void RunStep(const TransactionId& transaction, std::uint64_t steps_left);
  void EndTransaction(const TransactionId& transaction, bool commit);
  void Send(Request request, std::string key, std::string value,
            Callback callback);
  std::uint64_t Random(std::uint64_t bound);

  ProxySimulation& simulation_;
  std::size_t index_;
  /// VM whose proxy receives the next request.
  std::size_t vm_;
  std::uint64_t counter_ = 0;
  /// Position of the last write that the session knows to have run; reads must
  /// include it.
  LogPosition token_;
};

/// Simulates three proxies, a group of three endpoints and caller sessions in
/// virtual time, with random faults derived from the seed.
class ProxySimulation : public ServiceDirectory {
 public:
  explicit ProxySimulation(std::uint64_t seed);

  /// Runs the fault schedule, then stops new requests and gives the system time
  /// to recover, so that the pending requests complete.
  void Run();

  FakeProxy& Vm(std::size_t index) { return *vms_[index].back(); }
  Duration Latency(std::size_t a, std::size_t b) const {
    return FakeLatency{}.Between(a, b);
  }

  const ServiceConfig* FindService(std::string_view name) const override;
  TeamName TeamOf(std::string_view) const override { return "t"; }
  EndpointEntry FindEndpoint(std::string_view name) const override;
  std::vector<ServiceName> Services() const override { return {"s"}; }

  VirtualTime clock;
  std::mt19937_64 random;
  FakeEndpointGroup group;
  FakeStore store;
  std::vector<RecordedRequest> history;
  /// The injected faults and their times; printed when a seed fails.
  std::vector<std::string> schedule;
  bool stopping = false;
  /// Share of messages between proxies that a fault affects, in percent.
  unsigned lost_percent = 0;
  unsigned delayed_percent = 0;
  unsigned duplicated_percent = 0;

 private:
  struct Fault;
  static const std::vector<Fault>& Faults();
  void ScheduleFault(const Fault& fault, Duration at);
  void Kill(std::size_t index);
  void Restart(std::size_t index);
  /// Sets whether the other proxies treat the VM as down.
  void MarkDownAtPeers(std::size_t index, bool is_down);

  /// All processes of each VM; the last one is current. Crashed processes are
  /// kept because scheduled events still refer to them.
  std::array<std::vector<std::unique_ptr<FakeProxy>>, 3> vms_;
  std::vector<std::unique_ptr<FakeSession>> sessions_;
  std::uint64_t incarnation_ = 1;
  std::uint64_t seed_;
};

}  // namespace carawayhaven

#endif  // CARAWAYHAVEN_TEST_HISTORY_FAKE_PROXIES_H_
