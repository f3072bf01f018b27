// Measures what the control plane spends on events that concern many VMs: a
// cold start of all VMs, the restart of one VM, the loss and return of a data
// centre, and a network partition between two regions that heals. Virtual time
// with a fixed seed; a message counts with its encoded size and the headers of
// one packet.
#include <tclap/CmdLine.h>

#include <algorithm>
#include <iostream>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "config/team_texts.h"
#include "membership/simulated_cluster.h"
#include "peer_message_size.h"

namespace carawayhaven::bench {
namespace {

using std::chrono::seconds;

constexpr std::uint64_t kSeed = 42;
constexpr std::size_t kDatabasesPerTeam = 3;
constexpr Duration kMaxWait = seconds(120);
// Long enough for each membership change to be sent as often as its
// transmission limit allows.
constexpr Duration kSettleTime = seconds(150);

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

// Takes one fleet through all events, one after the other.
class FleetRun {
 public:
  FleetRun(std::size_t vms, std::size_t databases)
      : teams_(databases / kDatabasesPerTeam),
        sim_(vms, {"a-1", "a-2", "a-3", "b-1", "b-2", "b-3"}, kSeed) {
    result_["vms"] = vms;
    result_["databases"] = databases;
    sim_.on_send = [this](const auto&, const PeerMessage& message) {
      const auto second = static_cast<std::size_t>(
          sim_.simulation.now().time_since_epoch() / seconds(1));
      if (sent_bytes_.size() <= second) sent_bytes_.resize(second + 1);
      sent_bytes_[second] += static_cast<double>(PeerMessageSize::Of(message));
    };
  }

  nlohmann::json Measure() {
    MeasureColdStart();
    MeasureRestart();
    MeasureDataCentreLoss();
    MeasureRegionPartition();
    return result_;
  }

 private:
  std::size_t CurrentSecond() const {
    return static_cast<std::size_t>(sim_.simulation.now().time_since_epoch() /
                                    seconds(1));
  }

  // Reports the bytes that a VM sends and receives a second, on average over
  // all VMs, from second `from` on: the maximum and the mean.
  void RecordTraffic(nlohmann::json& out, std::size_t from) const {
    double peak = 0;
    double sum = 0;
    for (std::size_t i = from; i < sent_bytes_.size(); ++i) {
      peak = std::max(peak, sent_bytes_[i]);
      sum += sent_bytes_[i];
    }
    const double share = 2 / static_cast<double>(sim_.nodes.size());
    out["peak_bytes_per_second_vm"] = peak * share;
    out["mean_bytes_per_second_vm"] = sum * share /
                                      static_cast<double>(std::max<std::size_t>(
                                          1, sent_bytes_.size() - from));
  }

  void MeasureColdStart() {
    nlohmann::json& out = result_["cold_start"];
    for (std::size_t i = 0; i < teams_; ++i) {
      sim_.store.Write("teams/" + TeamOf(i), TeamValue(TextOf(i, "first")));
    }
    const auto configured = [this] {
      return sim_.HoldsOnAllRunning([this](const auto& node) {
        return node.configs.teams().size() == teams_;
      });
    };
    out["configured_s"] = Seconds(sim_.RunUntil(configured, kMaxWait));
    out["store_calls"] = sim_.store.calls();
    sim_.RunFor(seconds(10));
    RecordTraffic(out, 0);
  }

  void MeasureRestart() {
    nlohmann::json& out = result_["restart"];
    std::size_t from = CurrentSecond() + 1;
    sim_.RunFor(seconds(20));
    nlohmann::json baseline;
    RecordTraffic(baseline, from);
    from = CurrentSecond() + 1;
    const std::uint64_t calls = sim_.store.calls();
    sim_.Crash(1);
    sim_.RunFor(seconds(2));
    sim_.Start(1);
    const auto configured = [this] {
      return sim_.nodes[1]->configs.teams().size() == teams_;
    };
    out["configured_s"] = Seconds(sim_.RunUntil(configured, kMaxWait));
    out["agreed_s"] =
        Seconds(sim_.RunUntil([this] { return sim_.MembershipConverged(); },
                              kMaxWait, std::chrono::milliseconds(100)));
    sim_.RunFor(seconds(20));
    out["store_calls"] = sim_.store.calls() - calls;
    RecordTraffic(out, from);
    const auto span = static_cast<double>(sent_bytes_.size() - from);
    out["extra_bytes_vm"] =
        (out["mean_bytes_per_second_vm"].get<double>() -
         baseline["mean_bytes_per_second_vm"].get<double>()) *
        span;
    out["usual_bytes_per_second_vm"] = baseline["mean_bytes_per_second_vm"];
  }

  void SetDataCentreRunning(const std::string& name, bool running) {
    for (std::size_t i = 0; i < sim_.nodes.size(); ++i) {
      if (sim_.nodes[i]->data_centre != name) continue;
      if (running) {
        sim_.Start(i);
      } else {
        sim_.Crash(i);
      }
    }
  }

  Duration RunUntilConverged() {
    return sim_.RunUntil([this] { return sim_.MembershipConverged(); },
                         kMaxWait, std::chrono::milliseconds(100));
  }

  void MeasureDataCentreLoss() {
    nlohmann::json& out = result_["data_centre_loss"];
    std::size_t from = CurrentSecond() + 1;
    const std::uint64_t calls = sim_.store.calls();
    SetDataCentreRunning("b-3", false);
    const auto known_on_all = [this](VmState min_state) {
      return sim_.HoldsOnAllRunning([&](const auto& node) {
        return std::all_of(
            sim_.nodes.begin(), sim_.nodes.end(), [&](const auto& other) {
              return other->running || node.membership.table()
                                               .Find(other->name())
                                               ->record.state >= min_state;
            });
      });
    };
    const Duration suspected =
        sim_.RunUntil([&] { return known_on_all(VmState::kSuspected); },
                      kMaxWait, std::chrono::milliseconds(100));
    out["all_suspected_s"] = Seconds(suspected);
    out["all_dead_s"] = Seconds(
        suspected + sim_.RunUntil([&] { return known_on_all(VmState::kDead); },
                                  kMaxWait, std::chrono::milliseconds(100)));
    sim_.RunFor(seconds(30));
    RecordTraffic(out, from);
    from = CurrentSecond() + 1;
    SetDataCentreRunning("b-3", true);
    out["return_agreed_s"] = Seconds(RunUntilConverged());
    out["store_calls"] = sim_.store.calls() - calls;
    nlohmann::json& back = out["return"];
    RecordTraffic(back, from);
    sim_.RunFor(kSettleTime);
  }

  void SetRegionsPartitioned(bool on) {
    for (const char* a : {"a-1", "a-2", "a-3"}) {
      for (const char* b : {"b-1", "b-2", "b-3"}) sim_.Partition(a, b, on);
    }
  }

  // The store stays reachable from both regions during the partition.
  void MeasureRegionPartition() {
    nlohmann::json& out = result_["region_cut"];
    std::size_t from = CurrentSecond() + 1;
    SetRegionsPartitioned(true);
    const auto split = [this] {
      return sim_.HoldsOnAllRunning([this](const auto& node) {
        return std::all_of(
            sim_.nodes.begin(), sim_.nodes.end(), [&](const auto& other) {
              return other->data_centre[0] == node.data_centre[0] ||
                     node.membership.table()
                             .Find(other->name())
                             ->record.state == VmState::kDead;
            });
      });
    };
    out["all_dead_s"] =
        Seconds(sim_.RunUntil(split, kMaxWait, std::chrono::milliseconds(100)));
    RecordTraffic(out, from);
    sim_.RunFor(kSettleTime);
    from = CurrentSecond() + 1;
    sim_.RunFor(seconds(10));
    nlohmann::json& during = out["during"];
    RecordTraffic(during, from);
    from = CurrentSecond() + 1;
    SetRegionsPartitioned(false);
    out["heal_agreed_s"] = Seconds(RunUntilConverged());
    sim_.RunFor(seconds(10));
    nlohmann::json& heal = out["heal"];
    RecordTraffic(heal, from);
  }

  std::size_t teams_;
  SimulatedCluster sim_;
  // Bytes that all VMs sent in each second.
  std::vector<double> sent_bytes_;
  nlohmann::json result_;
};

}  // namespace
}  // namespace carawayhaven::bench

int main(int argc, char** argv) {
  try {
    TCLAP::CmdLine line("Cost of events that touch many VMs", ' ', "1");
    TCLAP::MultiArg<std::size_t> vms("", "vms", "size of the fleet", true,
                                     "number", line);
    TCLAP::ValueArg<std::size_t> databases("", "databases", "databases", false,
                                           30, "number", line);
    line.parse(argc, argv);
    for (const std::size_t size : vms.getValue()) {
      std::cout << carawayhaven::bench::FleetRun(size, databases.getValue())
                       .Measure()
                       .dump()
                << std::endl;
    }
    return 0;
  } catch (const TCLAP::ArgException& error) {
    std::cerr << error.error() << '\n';
  } catch (const std::exception& error) {
    std::cerr << error.what() << '\n';
  }
  return 2;
}
