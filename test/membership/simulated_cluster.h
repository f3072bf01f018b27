#ifndef CARAWAYHAVEN_TEST_MEMBERSHIP_SIMULATED_CLUSTER_H_
#define CARAWAYHAVEN_TEST_MEMBERSHIP_SIMULATED_CLUSTER_H_

#include <algorithm>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "config/fake_platform_store.h"
#include "core/config/config_distributor.h"
#include "core/config/config_store.h"
#include "core/config/config_submitter.h"
#include "core/membership/membership.h"
#include "membership/simulation.h"

namespace carawayhaven {

/// Simulates the membership and configuration of several proxies in virtual
/// time, with one store and with links that delay and lose messages and can be
/// partitioned.
class SimulatedCluster {
 public:
  struct Node : public PeerLink {
    Node(SimulatedCluster& owner, MembershipOptions options, std::uint64_t seed)
        : cluster(owner),
          data_centre(options.data_centre),
          random(seed),
          client(owner.store, options.data_centre),
          membership(std::move(options), *this, configs, random),
          distributor(configs, client, *this, membership, random),
          submitter(configs, distributor, client, random) {}

    bool Send(const VmName& to, const PeerMessage& message) override {
      cluster.Transmit(*this, to, message);
      return true;
    }
    void SetAddress(const VmName& /*vm*/, std::string_view /*a*/) override {}

    const VmName& name() const { return membership.self(); }
    std::uint64_t VersionOf(const TeamName& team) const {
      const ConfigStore::Team* found = configs.FindTeam(team);
      return found == nullptr ? 0 : found->version;
    }

    SimulatedCluster& cluster;
    DataCentreName data_centre;
    std::mt19937_64 random;
    ConfigStore configs;
    FakeStoreClient client;
    Membership membership;
    ConfigDistributor distributor;
    ConfigSubmitter submitter;
    bool running = true;
    TimePoint paused_until = TimePoint::min();
    TimePoint scheduled = TimePoint::max();
    std::uint64_t generation = 0;
  };

  SimulatedCluster(std::size_t vms, std::vector<DataCentreName> data_centres,
                   std::uint64_t seed)
      : random(seed), data_centres_(std::move(data_centres)) {
    for (std::size_t i = 0; i < vms; ++i) {
      listed.push_back({"vm-" + std::to_string(i),
                        data_centres_[i % data_centres_.size()],
                        "10.0.0.1:7000", false});
    }
    for (std::size_t i = 0; i < vms; ++i) Start(i);
  }

  /// Starts the VM, or restarts it with empty memory.
  Node& Start(std::size_t i) {
    if (i >= nodes.size()) nodes.resize(i + 1);
    if (nodes[i] != nullptr) {
      nodes[i]->running = false;
      stopped_nodes_.push_back(std::move(nodes[i]));
    }
    nodes[i] = std::make_unique<Node>(
        *this,
        MembershipOptions{listed[i].vm, listed[i].data_centre,
                          listed[i].address, ++last_incarnation_},
        random());
    by_name_[listed[i].vm] = nodes[i].get();
    nodes[i]->membership.OnVmList(listed, simulation.now());
    Schedule(*nodes[i]);
    return *nodes[i];
  }

  void Crash(std::size_t i) { nodes[i]->running = false; }
  void Pause(std::size_t i, Duration duration) {
    nodes[i]->paused_until = simulation.now() + duration;
  }
  /// Partitions two data centres from each other, or heals the partition.
  void Partition(const DataCentreName& a, const DataCentreName& b,
                 bool is_partitioned) {
    if (is_partitioned) {
      partitions_.insert(std::minmax(a, b));
    } else {
      partitions_.erase(std::minmax(a, b));
    }
  }
  void RunFor(Duration duration) { simulation.RunFor(duration); }

  /// Runs in steps until the condition holds or the limit has passed. Returns
  /// the elapsed time.
  Duration RunUntil(const std::function<bool()>& condition, Duration limit,
                    Duration step = std::chrono::milliseconds(10)) {
    Duration passed{0};
    while (passed < limit && !condition()) {
      RunFor(step);
      passed += step;
    }
    return passed;
  }

  /// True when the condition holds on all running VMs.
  bool HoldsOnAllRunning(
      const std::function<bool(const Node&)>& condition) const {
    return std::all_of(nodes.begin(), nodes.end(), [&](const auto& node) {
      return !node->running || condition(*node);
    });
  }
  bool IsInForceEverywhere(const TeamName& team, std::uint64_t version) const {
    return HoldsOnAllRunning(
        [&](const Node& node) { return node.VersionOf(team) == version; });
  }
  /// True when every running VM records exactly the running VMs as alive.
  bool MembershipConverged() const {
    return HoldsOnAllRunning([&](const Node& node) {
      return std::all_of(nodes.begin(), nodes.end(), [&](const auto& other) {
        if (other.get() == &node) return true;
        const auto* member = node.membership.table().Find(other->name());
        return member != nullptr &&
               (member->record.state == VmState::kAlive) == other->running;
      });
    });
  }
  std::uint64_t Sum(
      const std::function<std::uint64_t(const Node&)>& value) const {
    std::uint64_t total = 0;
    for (const auto& node : nodes) total += value(*node);
    return total;
  }

  Simulation simulation;
  FakePlatformStore store{simulation};
  std::mt19937_64 random;
  std::vector<ListedVm> listed;
  std::vector<std::unique_ptr<Node>> nodes;
  double loss = 0;
  Duration delay_within_data_centre = std::chrono::microseconds(200);
  Duration delay_between_data_centres = std::chrono::milliseconds(10);
  /// Called for each message sent, to count the traffic.
  std::function<void(const Node&, const PeerMessage&)> on_send;
  /// Handles a received message. Tests can replace it to measure the handling.
  std::function<void(Node&, const VmName&, const PeerMessage&)> deliver =
      [this](Node& node, const VmName& from, const PeerMessage& message) {
        Deliver(node, from, message);
      };
  void Deliver(Node& node, const VmName& from, const PeerMessage& message) {
    node.membership.OnPeerMessage(from, message, simulation.now());
    node.distributor.OnPeerMessage(from, message, simulation.now());
  }

 private:
  void Transmit(const Node& from, const VmName& to,
                const PeerMessage& message) {
    if (on_send) on_send(from, message);
    const auto found = by_name_.find(to);
    if (found == by_name_.end()) return;
    const DataCentreName& target = found->second->data_centre;
    if (partitions_.contains(std::minmax(from.data_centre, target))) return;
    if (loss > 0 && std::uniform_real_distribution<>(0, 1)(random) < loss) {
      return;
    }
    const Duration delay = from.data_centre == target
                               ? delay_within_data_centre
                               : delay_between_data_centres;
    // The receiver may be a new process of the same VM on arrival.
    simulation.After(delay, [this, sender = from.name(), to,
                             shared = std::make_shared<const PeerMessage>(
                                 message)] { Arrive(sender, to, shared); });
  }

  void Arrive(const VmName& from, const VmName& to,
              const std::shared_ptr<const PeerMessage>& message) {
    Node& node = *by_name_.at(to);
    if (!node.running) return;
    if (node.paused_until > simulation.now()) {
      simulation.At(node.paused_until,
                    [this, from, to, message] { Arrive(from, to, message); });
      return;
    }
    deliver(node, from, *message);
    Schedule(node);
  }

 public:
  /// Must be called after an event was passed to the VM directly.
  void Schedule(Node& node) {
    const TimePoint next = std::max(
        {std::min({node.membership.NextTick(), node.distributor.NextTick(),
                   node.submitter.NextTick()}),
         simulation.now(), node.paused_until});
    if (next >= node.scheduled) return;
    node.scheduled = next;
    const std::uint64_t generation = ++node.generation;
    simulation.At(next, [this, &node, generation] {
      if (!node.running || node.generation != generation) return;
      node.scheduled = TimePoint::max();
      const TimePoint now = simulation.now();
      if (node.paused_until <= now) {
        if (node.membership.NextTick() <= now) node.membership.Tick(now);
        if (node.distributor.NextTick() <= now) node.distributor.Tick(now);
        if (node.submitter.NextTick() <= now) node.submitter.Tick(now);
      }
      Schedule(node);
    });
  }

 private:
  std::vector<DataCentreName> data_centres_;
  std::map<VmName, Node*> by_name_;
  std::vector<std::unique_ptr<Node>> stopped_nodes_;
  std::set<std::pair<DataCentreName, DataCentreName>> partitions_;
  std::uint64_t last_incarnation_ = 0;
};

}  // namespace carawayhaven

#endif  // CARAWAYHAVEN_TEST_MEMBERSHIP_SIMULATED_CLUSTER_H_
