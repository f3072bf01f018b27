// Measures cost and delay of membership and configuration by the number of VMs
// and of databases. A database is a service with three endpoints; each team
// declares three databases. Counts and times are of virtual time with a fixed
// seed; only the processor time is measured with the wall clock. With --bounds
// FILE the exit code is 1 when a bound of [control] is broken; --small runs
// fleets that are small enough for a test.
#include <malloc.h>
#include <tclap/CmdLine.h>
#include <toml++/toml.h>

#include <algorithm>
#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <iostream>
#include <new>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <vector>

#include "config/team_texts.h"
#include "membership/simulated_cluster.h"
#include "peer_message_size.h"

namespace {

// Bytes that the allocator has handed out and that are not yet freed.
std::size_t allocated_bytes = 0;

}  // namespace

void* operator new(std::size_t size) {
  void* memory = std::malloc(size);
  if (memory == nullptr) throw std::bad_alloc();
  allocated_bytes += malloc_usable_size(memory);
  return memory;
}

void operator delete(void* memory) noexcept {
  allocated_bytes -= malloc_usable_size(memory);
  std::free(memory);
}

void operator delete(void* memory, std::size_t /*size*/) noexcept {
  operator delete(memory);
}

namespace carawayhaven::bench {
namespace {

using std::chrono::seconds;

constexpr std::uint64_t kSeed = 42;
constexpr std::size_t kDatabasesPerTeam = 3;
constexpr Duration kWarmUp = seconds(4);
constexpr Duration kMeasuredTime = seconds(30);
constexpr Duration kMaxWait = seconds(30);
// The design assumes one change per database and day.
constexpr double kChangesPerDatabaseAndSecond = 1.0 / 86'400;

struct FleetSize {
  std::size_t vms;
  std::size_t databases;
};

struct Figures {
  FleetSize size{};
  /// Sent and received by one VM while no VM state and no configuration
  /// changes.
  double messages_per_second = 0;
  double bytes_per_second = 0;
  /// Sent and received by one VM for one change of configuration.
  double bytes_per_change = 0;
  /// Member table and endpoint owners of one VM.
  double members_kib = 0;
  /// Configuration of all teams on one VM.
  double config_kib = 0;
  /// Wall-clock time to handle one received message, of any kind.
  double heartbeat_us = 0;
  /// From the acceptance of a change until all VMs have applied it.
  double in_force_s = 0;
  /// From a crash until all running VMs hold the VM as suspected.
  double crash_suspected_s = 0;
  /// From a crash until all running VMs hold the VM as dead.
  double crash_known_s = 0;
  double store_calls_per_second = 0;

  double TotalBytesPerSecond() const {
    return bytes_per_second + bytes_per_change * kChangesPerDatabaseAndSecond *
                                  static_cast<double>(size.databases);
  }
  double TotalMib() const { return (members_kib + config_kib) / 1024; }
  /// Half of the messages of a VM are received ones.
  double CorePercent() const {
    return messages_per_second / 2 * heartbeat_us / 1e6 * 100;
  }
};

double Seconds(Duration duration) {
  return static_cast<double>(duration.count()) / 1e6;
}

TeamName TeamOf(std::size_t number) { return "team-" + std::to_string(number); }

std::string TextOf(std::size_t number, const std::string& comment) {
  std::vector<std::string> services;
  for (std::size_t i = 0; i < kDatabasesPerTeam; ++i) {
    services.push_back(TeamOf(number) + "-database-" + std::to_string(i));
  }
  return TeamText(TeamOf(number), services, comment);
}

// Measures a fleet of the given size.
class FleetRun {
 public:
  explicit FleetRun(FleetSize size)
      : size_(size),
        teams_((size.databases + kDatabasesPerTeam - 1) / kDatabasesPerTeam),
        cluster_(size.vms, {"a-1", "a-2", "a-3", "b-1", "b-2", "b-3"}, kSeed) {}

  Figures Measure() {
    figures_.size = size_;
    MeasureMemory();
    LoadConfiguration();
    cluster_.RunFor(kWarmUp);
    MeasureSteadyState();
    MeasureChange();
    MeasureCrash();
    return figures_;
  }

 private:
  void MeasureMemory() {
    SimulatedCluster::Node& node = *cluster_.nodes[0];
    std::size_t before = allocated_bytes;
    for (std::size_t i = 0; i < teams_; ++i) {
      node.configs.Apply(TeamOf(i), i + 1, TeamValue(TextOf(i, "first")));
    }
    node.configs.Services();
    figures_.config_kib = static_cast<double>(allocated_bytes - before) / 1024;
    before = allocated_bytes;
    Membership membership({"vm-x", "a-1", "10.0.0.1:7000", 1}, node,
                          node.configs, node.random);
    membership.OnVmList(cluster_.listed, cluster_.simulation.now());
    for (const ServiceName& service : node.configs.Services()) {
      for (const EndpointConfig& endpoint :
           node.configs.FindService(service)->endpoints) {
        membership.OwnersOf(endpoint, 3);
      }
    }
    figures_.members_kib = static_cast<double>(allocated_bytes - before) / 1024;
  }

  // Stores the configuration of all teams and applies it on all VMs.
  void LoadConfiguration() {
    for (std::size_t i = 0; i < teams_; ++i) {
      const std::string value = TeamValue(TextOf(i, "first"));
      const ObjectVersion version =
          cluster_.store.Write("teams/" + TeamOf(i), value);
      for (const auto& node : cluster_.nodes) {
        node->configs.Apply(TeamOf(i), version, value);
      }
    }
  }

  void CountTraffic() {
    messages_ = 0;
    bytes_ = 0;
    cluster_.on_send = [this](const auto&, const PeerMessage& message) {
      ++messages_;
      bytes_ += PeerMessageSize::Of(message);
    };
  }

  // Each message is sent by one VM and received by another.
  double PerVm(std::size_t sum) const {
    return 2 * static_cast<double>(sum) / static_cast<double>(size_.vms);
  }

  void MeasureSteadyState() {
    CountTraffic();
    const std::uint64_t calls = cluster_.store.calls();
    std::chrono::nanoseconds busy{0};
    std::size_t handled = 0;
    cluster_.deliver = [&](SimulatedCluster::Node& node, const VmName& from,
                           const PeerMessage& message) {
      const auto start = std::chrono::steady_clock::now();
      cluster_.Deliver(node, from, message);
      busy += std::chrono::steady_clock::now() - start;
      ++handled;
    };
    cluster_.RunFor(kMeasuredTime);
    cluster_.deliver = [this](SimulatedCluster::Node& node, const VmName& from,
                              const PeerMessage& message) {
      cluster_.Deliver(node, from, message);
    };
    figures_.messages_per_second = PerVm(messages_) / Seconds(kMeasuredTime);
    figures_.bytes_per_second = PerVm(bytes_) / Seconds(kMeasuredTime);
    figures_.store_calls_per_second =
        static_cast<double>(cluster_.store.calls() - calls) /
        Seconds(kMeasuredTime);
    figures_.heartbeat_us =
        static_cast<double>(busy.count()) / 1e3 / static_cast<double>(handled);
  }

  void MeasureChange() {
    CountTraffic();
    SimulatedCluster::Node& node = *cluster_.nodes[0];
    ObjectVersion accepted = 0;
    TimePoint accepted_at;
    node.submitter.Submit(
        TeamOf(0), TextOf(0, "second"), node.VersionOf(TeamOf(0)),
        [&](const SubmitResult& result) {
          accepted = result.version;
          accepted_at = cluster_.simulation.now();
        },
        cluster_.simulation.now());
    cluster_.Schedule(node);
    const TimePoint start = cluster_.simulation.now();
    cluster_.RunUntil(
        [&] {
          return accepted != 0 &&
                 cluster_.IsInForceEverywhere(TeamOf(0), accepted);
        },
        kMaxWait);
    figures_.in_force_s = Seconds(cluster_.simulation.now() - accepted_at);
    cluster_.RunFor(seconds(2));
    const double steady_bytes =
        figures_.bytes_per_second * Seconds(cluster_.simulation.now() - start);
    figures_.bytes_per_change = std::max(0.0, PerVm(bytes_) - steady_bytes);
  }

  void MeasureCrash() {
    const std::size_t crashed = size_.vms / 2;
    const VmName name = cluster_.nodes[crashed]->name();
    cluster_.Crash(crashed);
    const auto known_on_all = [&](VmState min_state) {
      return cluster_.HoldsOnAllRunning([&](const auto& node) {
        return node.membership.table().Find(name)->record.state >= min_state;
      });
    };
    const Duration suspected = cluster_.RunUntil(
        [&] { return known_on_all(VmState::kSuspected); }, kMaxWait);
    figures_.crash_suspected_s = Seconds(suspected);
    figures_.crash_known_s =
        Seconds(suspected +
                cluster_.RunUntil([&] { return known_on_all(VmState::kDead); },
                                  kMaxWait));
  }

  FleetSize size_;
  std::size_t teams_;
  SimulatedCluster cluster_;
  Figures figures_;
  std::size_t messages_ = 0;
  std::size_t bytes_ = 0;
};

void PrintTable(const std::vector<Figures>& fleets) {
  std::printf("%5s %5s %8s %9s %10s %9s %9s %8s %8s %9s %8s %7s\n", "VMs",
              "DBs", "msg/s VM", "byte/s VM", "byte/chg", "members", "config",
              "us/msg*", "in force", "suspected", "dead", "store/s");
  for (const Figures& f : fleets) {
    std::printf(
        "%5zu %5zu %8.1f %9.0f %10.0f %5.0f KiB %5.0f KiB %8.2f %6.2f s "
        "%7.2f s %6.2f s %7.2f\n",
        f.size.vms, f.size.databases, f.messages_per_second, f.bytes_per_second,
        f.bytes_per_change, f.members_kib, f.config_kib, f.heartbeat_us,
        f.in_force_s, f.crash_suspected_s, f.crash_known_s,
        f.store_calls_per_second);
  }
  std::printf("* wall clock, with the copies that the simulation makes\n");
}

nlohmann::json ToJson(const Figures& f) {
  return {{"vms", f.size.vms},
          {"databases", f.size.databases},
          {"messages_per_second", f.messages_per_second},
          {"bytes_per_second", f.bytes_per_second},
          {"bytes_per_change", f.bytes_per_change},
          {"members_kib", f.members_kib},
          {"config_kib", f.config_kib},
          {"wall_heartbeat_us", f.heartbeat_us},
          {"wall_core_percent", f.CorePercent()},
          {"in_force_s", f.in_force_s},
          {"crash_suspected_s", f.crash_suspected_s},
          {"crash_known_s", f.crash_known_s},
          {"store_calls_per_second", f.store_calls_per_second}};
}

// Slopes between the first fleet and the largest that differs from it only in
// the number of VMs, or only in that of databases.
nlohmann::json Slopes(const std::vector<Figures>& fleets) {
  const Figures& base = fleets.front();
  const Figures* most_vms = &base;
  const Figures* most_databases = &base;
  for (const Figures& f : fleets) {
    if (f.size.databases == base.size.databases &&
        f.size.vms > most_vms->size.vms) {
      most_vms = &f;
    }
    if (f.size.vms == base.size.vms &&
        f.size.databases > most_databases->size.databases) {
      most_databases = &f;
    }
  }
  const auto vms = static_cast<double>(most_vms->size.vms - base.size.vms);
  const auto databases =
      static_cast<double>(most_databases->size.databases - base.size.databases);
  return {
      {"members_kib_per_vm", (most_vms->members_kib - base.members_kib) / vms},
      {"bytes_per_second_per_vm",
       (most_vms->bytes_per_second - base.bytes_per_second) / vms},
      {"wall_heartbeat_us_per_vm",
       (most_vms->heartbeat_us - base.heartbeat_us) / vms},
      {"crash_known_s_per_vm",
       (most_vms->crash_known_s - base.crash_known_s) / vms},
      {"config_kib_per_database",
       (most_databases->config_kib - base.config_kib) / databases},
      {"owners_kib_per_database",
       (most_databases->members_kib - base.members_kib) / databases},
      {"bytes_per_change_per_database",
       (most_databases->bytes_per_change - base.bytes_per_change) / databases},
      {"bytes_per_second_per_database",
       (most_databases->bytes_per_second - base.bytes_per_second) / databases}};
}

bool CheckBounds(const std::vector<Figures>& fleets, const std::string& file) {
  const toml::table bounds = toml::parse_file(file);
  bool bounds_met = true;
  const auto check = [&](const char* key, double value) {
    const std::optional<double> bound = bounds["control"][key].value<double>();
    if (bound.has_value() && value <= *bound) return;
    std::printf("bound broken or missing: %s: %g\n", key, value);
    bounds_met = false;
  };
  for (const Figures& f : fleets) {
    check("in_force_seconds_max", f.in_force_s);
    check("bytes_per_second_max", f.TotalBytesPerSecond());
    check("memory_mib_max", f.TotalMib());
    check("crash_known_seconds_max", f.crash_known_s);
    check("store_calls_per_second_max", f.store_calls_per_second);
  }
  return bounds_met;
}

int Main(bool small, const std::string& bounds) {
  // The number of databases varies on the smallest fleet only, since each
  // simulated VM holds its own copy of the configuration in memory.
  const std::vector<FleetSize> cases =
      small ? std::vector<FleetSize>{{60, 30}, {120, 30}, {60, 90}}
            : std::vector<FleetSize>{
                  {100, 100}, {300, 100}, {830, 100}, {100, 400}, {100, 1200}};
  std::vector<Figures> fleets;
  nlohmann::json results = nlohmann::json::array();
  for (const FleetSize& size : cases) {
    fleets.push_back(FleetRun(size).Measure());
    results.push_back(ToJson(fleets.back()));
  }
  PrintTable(fleets);
  std::cout << nlohmann::json{{"experiment", "control_plane"},
                              {"seed", kSeed},
                              {"results", results},
                              {"slopes", Slopes(fleets)}}
                   .dump()
            << '\n';
  return bounds.empty() || CheckBounds(fleets, bounds) ? 0 : 1;
}

}  // namespace
}  // namespace carawayhaven::bench

int main(int argc, char** argv) {
  try {
    TCLAP::CmdLine line("Cost of membership and configuration", ' ', "1");
    TCLAP::SwitchArg small("", "small", "small fleets", line);
    TCLAP::ValueArg<std::string> bounds("", "bounds", "file with the bounds",
                                        false, "", "file", line);
    line.parse(argc, argv);
    return carawayhaven::bench::Main(small.getValue(), bounds.getValue());
  } catch (const TCLAP::ArgException& error) {
    std::cerr << error.error() << '\n';
  } catch (const std::exception& error) {
    std::cerr << error.what() << '\n';
  }
  return 2;
}
