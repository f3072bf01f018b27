// What events that touch many VMs at once cost the control plane: a start of
// all VMs, the restart of one, the loss of a data centre, and two regions that
// are cut from each other and find each other again. Virtual time with a fixed
// seed; bytes are those of the codec with the headers of one packet a message.
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
constexpr Duration kLimit = seconds(120);
// Long enough for all changes to have been sent as often as they are.
constexpr Duration kSettle = seconds(150);

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

// One fleet through all events, one after the other.
class Run {
 public:
  Run(std::size_t vms, std::size_t databases)
      : teams_(databases / kDatabasesPerTeam),
        cluster_(vms, {"a-1", "a-2", "a-3", "b-1", "b-2", "b-3"}, kSeed) {
    result_["vms"] = vms;
    result_["databases"] = databases;
    cluster_.on_send = [this](const auto&, const PeerMessage& message) {
      const auto second = static_cast<std::size_t>(
          cluster_.simulation.now().time_since_epoch() / seconds(1));
      if (bytes_.size() <= second) bytes_.resize(second + 1);
      bytes_[second] += static_cast<double>(PeerMessageSize::Of(message));
    };
  }

  nlohmann::json Measure() {
    ColdStart();
    Restart();
    DataCentreLoss();
    RegionCut();
    return result_;
  }

 private:
  std::size_t Now() const {
    return static_cast<std::size_t>(
        cluster_.simulation.now().time_since_epoch() / seconds(1));
  }

  // Bytes sent and received by a VM: the greatest of any second, and the sum.
  void Traffic(nlohmann::json& out, std::size_t from) const {
    double peak = 0;
    double sum = 0;
    for (std::size_t i = from; i < bytes_.size(); ++i) {
      peak = std::max(peak, bytes_[i]);
      sum += bytes_[i];
    }
    const double share = 2 / static_cast<double>(cluster_.nodes.size());
    out["peak_bytes_per_second_vm"] = peak * share;
    out["mean_bytes_per_second_vm"] =
        sum * share /
        static_cast<double>(std::max<std::size_t>(1, bytes_.size() - from));
  }

  void ColdStart() {
    nlohmann::json& out = result_["cold_start"];
    for (std::size_t i = 0; i < teams_; ++i) {
      cluster_.store.Write("teams/" + TeamOf(i), TeamValue(TextOf(i, "first")));
    }
    const auto configured = [this] {
      return cluster_.HoldsOnAllRunning([this](const auto& node) {
        return node.configs.teams().size() == teams_;
      });
    };
    out["configured_s"] = Seconds(cluster_.RunUntil(configured, kLimit));
    out["store_calls"] = cluster_.store.calls();
    cluster_.RunFor(seconds(10));
    Traffic(out, 0);
  }

  void Restart() {
    nlohmann::json& out = result_["restart"];
    std::size_t from = Now() + 1;
    cluster_.RunFor(seconds(20));
    nlohmann::json usual;
    Traffic(usual, from);
    from = Now() + 1;
    const std::uint64_t calls = cluster_.store.calls();
    cluster_.Crash(1);
    cluster_.RunFor(seconds(2));
    cluster_.Start(1);
    const auto configured = [this] {
      return cluster_.nodes[1]->configs.teams().size() == teams_;
    };
    out["configured_s"] = Seconds(cluster_.RunUntil(configured, kLimit));
    out["agreed_s"] = Seconds(
        cluster_.RunUntil([this] { return cluster_.MembershipConverged(); },
                          kLimit, std::chrono::milliseconds(100)));
    cluster_.RunFor(seconds(20));
    out["store_calls"] = cluster_.store.calls() - calls;
    Traffic(out, from);
    const auto span = static_cast<double>(bytes_.size() - from);
    out["extra_bytes_vm"] = (out["mean_bytes_per_second_vm"].get<double>() -
                             usual["mean_bytes_per_second_vm"].get<double>()) *
                            span;
    out["usual_bytes_per_second_vm"] = usual["mean_bytes_per_second_vm"];
  }

  void SetDataCentre(const std::string& name, bool running) {
    for (std::size_t i = 0; i < cluster_.nodes.size(); ++i) {
      if (cluster_.nodes[i]->data_centre != name) continue;
      if (running) {
        cluster_.Start(i);
      } else {
        cluster_.Crash(i);
      }
    }
  }

  Duration UntilAgreed() {
    return cluster_.RunUntil([this] { return cluster_.MembershipConverged(); },
                             kLimit, std::chrono::milliseconds(100));
  }

  void DataCentreLoss() {
    nlohmann::json& out = result_["data_centre_loss"];
    std::size_t from = Now() + 1;
    const std::uint64_t calls = cluster_.store.calls();
    SetDataCentre("b-3", false);
    const auto known = [this](VmState least) {
      return cluster_.HoldsOnAllRunning([&](const auto& node) {
        return std::all_of(cluster_.nodes.begin(), cluster_.nodes.end(),
                           [&](const auto& other) {
                             return other->running ||
                                    node.membership.table()
                                            .Find(other->name())
                                            ->record.state >= least;
                           });
      });
    };
    const Duration suspected =
        cluster_.RunUntil([&] { return known(VmState::kSuspected); }, kLimit,
                          std::chrono::milliseconds(100));
    out["all_suspected_s"] = Seconds(suspected);
    out["all_dead_s"] = Seconds(
        suspected + cluster_.RunUntil([&] { return known(VmState::kDead); },
                                      kLimit, std::chrono::milliseconds(100)));
    cluster_.RunFor(seconds(30));
    Traffic(out, from);
    from = Now() + 1;
    SetDataCentre("b-3", true);
    out["return_agreed_s"] = Seconds(UntilAgreed());
    out["store_calls"] = cluster_.store.calls() - calls;
    nlohmann::json& back = out["return"];
    Traffic(back, from);
    cluster_.RunFor(kSettle);
  }

  void CutRegions(bool cut) {
    for (const char* a : {"a-1", "a-2", "a-3"}) {
      for (const char* b : {"b-1", "b-2", "b-3"}) cluster_.Partition(a, b, cut);
    }
  }

  // The store stays reachable from both regions.
  void RegionCut() {
    nlohmann::json& out = result_["region_cut"];
    std::size_t from = Now() + 1;
    CutRegions(true);
    const auto split = [this] {
      return cluster_.HoldsOnAllRunning([this](const auto& node) {
        return std::all_of(cluster_.nodes.begin(), cluster_.nodes.end(),
                           [&](const auto& other) {
                             return other->data_centre[0] ==
                                        node.data_centre[0] ||
                                    node.membership.table()
                                            .Find(other->name())
                                            ->record.state == VmState::kDead;
                           });
      });
    };
    out["all_dead_s"] = Seconds(
        cluster_.RunUntil(split, kLimit, std::chrono::milliseconds(100)));
    Traffic(out, from);
    cluster_.RunFor(kSettle);
    from = Now() + 1;
    cluster_.RunFor(seconds(10));
    nlohmann::json& during = out["during"];
    Traffic(during, from);
    from = Now() + 1;
    CutRegions(false);
    out["heal_agreed_s"] = Seconds(UntilAgreed());
    cluster_.RunFor(seconds(10));
    nlohmann::json& heal = out["heal"];
    Traffic(heal, from);
  }

  std::size_t teams_;
  SimulatedCluster cluster_;
  // Sent by all VMs, by the second.
  std::vector<double> bytes_;
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
      std::cout << carawayhaven::bench::Run(size, databases.getValue())
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
