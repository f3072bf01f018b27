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

class FakeProxies;

/// One process of a proxy: the real front, pools and group monitor, joined as
/// in src/proxy.
class FakeProxy : public OwnerResolver,
                  public PeerLink,
                  public GroupMonitorHandler,
                  public EndpointPoolHandler {
 public:
  FakeProxy(FakeProxies& world, std::size_t index, std::uint64_t incarnation);

  std::vector<VmName> OwnersOf(const EndpointConfig& endpoint,
                               std::size_t count) const override;
  const VmName& self() const override { return name_; }
  bool Send(const VmName& vm, const PeerMessage& message) override;
  void SetAddress(const VmName&, std::string_view) override {}

  /// Runs the event now, keeps it while paused, or drops it when dead.
  void Run(std::function<void()> event);
  void Receive(const VmName& from, PeerMessage message);
  void Pause() { paused_ = true; }
  void Resume();
  void Die();
  bool dead() const { return dead_; }

  RequestRouter& front() { return *front_; }
  GroupMonitor& monitor() { return *monitor_; }

  /// VMs that this one believes to be down.
  std::array<bool, 3> down{};
  /// Believes that each endpoint belongs to the next VM.
  bool rotated = false;

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
  void Arm();

  FakeProxies& world_;
  std::size_t index_;
  VmName name_;
  FakeLink link_;
  GroupDirectory directory_;
  std::mt19937_64 random_;
  std::unique_ptr<GroupMonitor> monitor_;
  std::unique_ptr<RequestRouter> front_;
  ForwardFilter filter_;
  std::map<EndpointName, std::unique_ptr<EndpointPool>> pools_;
  bool paused_ = false;
  bool dead_ = false;
  std::deque<std::function<void()>> kept_;
  std::uint64_t armed_ = 0;
};

/// A session that moves between the fronts, retries and resolves.
class FakeSession {
 public:
  FakeSession(FakeProxies& world, std::size_t number);

 private:
  using Then = std::function<void(const std::optional<Outcome>&)>;
  void Next();
  void Write(const std::string& id, std::uint32_t attempt,
             const std::string& key);
  void Resolve(const RequestId& id, const std::string& key, unsigned tries);
  void Read();
  void Begin();
  void Step(const TransactionId& transaction, std::uint64_t left);
  void End(const TransactionId& transaction, bool commit);
  void Send(Request request, std::string key, std::string value, Then then);
  std::uint64_t Random(std::uint64_t bound);

  FakeProxies& world_;
  std::size_t number_;
  std::size_t front_;
  std::uint64_t counter_ = 0;
  LogPosition token_;
};

/// Three proxies with a group of three endpoints and sessions, in virtual
/// time, with faults that are drawn from the seed.
class FakeProxies : public ServiceDirectory {
 public:
  explicit FakeProxies(std::uint64_t seed);

  /// Runs the schedule, then heals everything and lets the callers end.
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
  /// The faults with their times, for a failing seed.
  std::vector<std::string> schedule;
  bool stopping = false;
  /// Faults of messages between proxies, in percent.
  unsigned lost_percent = 0;
  unsigned late_percent = 0;
  unsigned repeated_percent = 0;

 private:
  struct Fault;
  static const std::vector<Fault>& Faults();
  void Start(const Fault& fault, Duration at);
  void Kill(std::size_t index);
  void Restart(std::size_t index);
  void Believe(std::size_t index, bool is_down);

  /// All processes of each VM; the last one is the current one. Dead ones are
  /// kept, since events refer to them.
  std::array<std::vector<std::unique_ptr<FakeProxy>>, 3> vms_;
  std::vector<std::unique_ptr<FakeSession>> sessions_;
  std::uint64_t incarnation_ = 1;
  std::uint64_t seed_;
};

}  // namespace carawayhaven

#endif  // CARAWAYHAVEN_TEST_HISTORY_FAKE_PROXIES_H_
