// Load generator: runs callers against proxies, optionally injects a fault into
// a primary, and compares the final data with the verdicts that the callers
// received.

#include <tclap/CmdLine.h>

#include <algorithm>
#include <iomanip>
#include <iostream>
#include <memory>
#include <nlohmann/json.hpp>
#include <sstream>
#include <string>
#include <vector>

#include "load/caller.h"
#include "load/final_check.h"
#include "load/ledger.h"
#include "load/statistics.h"
#include "load/workload.h"
#include "net/address.h"
#include "net/event_loop.h"
#include "net/http_client.h"
#include "net/http_server.h"
#include "net/websocket_client.h"

namespace carawayhaven::load {
namespace {

constexpr Duration kProgressInterval = std::chrono::seconds(2);
// Callers get up to kFinishTimeout to complete their last requests and resolves
// before the check of the final data starts.
constexpr Duration kFinishPollInterval = std::chrono::milliseconds(100);
constexpr Duration kFinishTimeout = std::chrono::seconds(30);

std::vector<std::string> Split(const std::string& list) {
  std::vector<std::string> parts;
  std::stringstream stream(list);
  for (std::string part; std::getline(stream, part, ',');) {
    if (!part.empty()) parts.push_back(part);
  }
  return parts;
}

struct Options {
  std::string users;
  std::vector<std::string> proxies;
  std::vector<std::string> services;
  std::uint32_t callers = 0;
  std::uint32_t seconds = 0;
  std::uint64_t seed = 0;
  std::uint32_t think_ms = 0;
  /// Fault to inject halfway through the run: admin address and service of the
  /// endpoint, and the fault as JSON.
  std::string fault_address;
  std::string fault_service;
  std::string fault;
  /// Address to serve POST /mark/SERVICE on, which marks the start of a
  /// failure; not served when empty.
  std::string control_address;
  std::uint32_t transactions = 0;
};

Options ParseOptions(int argc, char** argv) {
  TCLAP::CmdLine line("Runs callers against carawayhaven proxies", ' ', "1");
  TCLAP::ValueArg<std::string> users("", "users", "registro or hire-core",
                                     false, "registro", "NAME", line);
  TCLAP::ValueArg<std::string> proxies("", "proxies", "caller addresses", true,
                                       "", "IP:PORT,...", line);
  TCLAP::ValueArg<std::string> services("", "services", "services to use", true,
                                        "", "NAME,...", line);
  TCLAP::ValueArg<unsigned> callers("", "callers", "number of callers", false,
                                    60, "N", line);
  TCLAP::ValueArg<unsigned> seconds("", "seconds", "time to run", false, 20,
                                    "N", line);
  TCLAP::ValueArg<unsigned> seed("", "seed", "seed of the callers", false, 1,
                                 "N", line);
  TCLAP::ValueArg<unsigned> think("", "think-ms", "mean pause of a caller",
                                  false, 20, "MS", line);
  TCLAP::ValueArg<std::string> address("", "fault-address",
                                       "admin address of an endpoint", false,
                                       "", "IP:PORT", line);
  TCLAP::ValueArg<std::string> service(
      "", "fault-service", "service of that endpoint", false, "", "NAME", line);
  TCLAP::ValueArg<std::string> fault("", "fault", "fault to set", false,
                                     R"({"crash_ms":600000})", "JSON", line);
  TCLAP::ValueArg<std::string> control(
      "", "control-address", "where POST /mark/SERVICE marks a failure", false,
      "", "IP:PORT", line);
  TCLAP::ValueArg<unsigned> transactions(
      "", "transactions", "percent of the operations, taken from aged reads",
      false, 0, "N", line);
  line.parse(argc, argv);
  return {
      users.getValue(),   Split(proxies.getValue()), Split(services.getValue()),
      callers.getValue(), seconds.getValue(),        seed.getValue(),
      think.getValue(),   address.getValue(),        service.getValue(),
      fault.getValue(),   control.getValue(),        transactions.getValue()};
}

// A complete run: starts the callers, checks the final data and prints the
// result.
class Run : private HttpHandler {
 public:
  explicit Run(Options options)
      : options_(std::move(options)),
        websocket_(loop_),
        http_(loop_),
        context_{loop_,
                 websocket_,
                 ledger_,
                 statistics_,
                 Workload::ForUsers(options_.users),
                 options_.proxies,
                 options_.services,
                 std::chrono::milliseconds(options_.think_ms)},
        check_(context_, [this](bool complete) { ReportResult(complete); }) {}

  int Execute() {
    if (!options_.control_address.empty()) {
      const Address address = ParseAddress(options_.control_address);
      HttpHandler& handler = *this;
      control_ = std::make_unique<HttpServer>(loop_, address.ip, address.port,
                                              handler);
    }
    const std::uint32_t transaction_share =
        std::min(options_.transactions, context_.workload.bounded_read);
    context_.workload.bounded_read -= transaction_share;
    context_.ends_at =
        EventLoop::Now() + std::chrono::seconds(options_.seconds);
    for (std::uint32_t i = 0; i < options_.callers; ++i) {
      callers_.push_back(
          std::make_unique<Caller>(context_, i, options_.seed * 100'003 + i));
      callers_.back()->Start();
    }
    if (!options_.fault_address.empty()) {
      loop_.RunAfter(std::chrono::milliseconds(options_.seconds * 500),
                     [this] { SetFault(); });
    }
    PrintProgress();
    loop_.RunAfter(std::chrono::seconds(options_.seconds),
                   [this] { AwaitCallers(kFinishTimeout); });
    loop_.Run();
    return exit_code_;
  }

 private:
  void OnRequest(const HttpRequest& request, HttpResponder respond) override {
    const std::string prefix = "/mark/";
    if (!request.path.starts_with(prefix)) {
      respond({404, "text/plain", "", "unknown path"});
      return;
    }
    statistics_.MarkFailure(request.path.substr(prefix.size()),
                            EventLoop::Now());
    respond({200, "text/plain", "", ""});
  }

  void SetFault() {
    statistics_.MarkFailure(options_.fault_service, EventLoop::Now());
    HttpRequest request;
    request.method = "POST";
    request.path = "/faults";
    request.body = options_.fault;
    http_.Send(options_.fault_address, request, std::chrono::seconds(2),
               [](const HttpResponse&) {});
    std::cout << "primary of " << options_.fault_service
              << " failed: " << options_.fault << std::endl;
  }

  void PrintProgress() {
    if (EventLoop::Now() >= context_.ends_at) return;
    std::cout << "answers " << statistics_.answers() << ", p99 of short work "
              << Milliseconds(statistics_.ShortLatency(0.99)) << " ms"
              << std::endl;
    loop_.RunAfter(kProgressInterval, [this] { PrintProgress(); });
  }

  void AwaitCallers(Duration remaining) {
    const bool finished =
        std::all_of(callers_.begin(), callers_.end(),
                    [](const auto& caller) { return caller->finished(); });
    if (finished || remaining <= Duration::zero()) {
      check_.Start();
      return;
    }
    loop_.RunAfter(kFinishPollInterval, [this, remaining] {
      AwaitCallers(remaining - kFinishPollInterval);
    });
  }

  static double Milliseconds(Duration duration) {
    return static_cast<double>(duration.count()) / 1000.0;
  }

  void ReportResult(bool complete) {
    const LedgerResult ledger = ledger_.Check();
    const Duration gap = statistics_.FailoverGap();
    const nlohmann::json result = {
        {"answers", statistics_.answers()},
        {"verdicts", statistics_.verdicts()},
        {"reasons", statistics_.reasons()},
        {"acknowledged_writes", ledger.acknowledged},
        {"lost", ledger.lost},
        {"doubled", ledger.doubled},
        {"untrue_not_run", ledger.untrue_not_run},
        {"torn_transactions", ledger.torn_transactions},
        {"unresolved", ledger.unresolved},
        {"stale_own_reads", statistics_.stale_reads()},
        {"replica_share_of_aged_reads", statistics_.ReplicaShare()},
        {"failover_gap_ms", Milliseconds(gap)},
        {"short_p50_ms", Milliseconds(statistics_.ShortLatency(0.50))},
        {"short_p99_ms", Milliseconds(statistics_.ShortLatency(0.99))},
        {"data_checked", complete}};
    std::cout << "\n";
    for (const auto& [name, value] : result.items()) {
      std::cout << std::left << std::setw(32) << name << value.dump() << "\n";
    }
    std::cout << result.dump() << std::endl;
    const bool failed =
        ledger.lost != 0 || ledger.doubled != 0 || ledger.untrue_not_run != 0 ||
        ledger.torn_transactions != 0 || statistics_.stale_reads() != 0 ||
        !complete || gap < Duration::zero();
    exit_code_ = failed ? 1 : 0;
    loop_.Stop();
  }

  Options options_;
  EventLoop loop_;
  WebSocketClient websocket_;
  HttpClient http_;
  Ledger ledger_;
  Statistics statistics_;
  RunContext context_;
  std::vector<std::unique_ptr<Caller>> callers_;
  FinalCheck check_;
  std::unique_ptr<HttpServer> control_;
  int exit_code_ = 1;
};

}  // namespace
}  // namespace carawayhaven::load

int main(int argc, char** argv) {
  try {
    return carawayhaven::load::Run(carawayhaven::load::ParseOptions(argc, argv))
        .Execute();
  } catch (const std::exception& error) {
    std::cerr << "carawayhaven_load: " << error.what() << "\n";
    return 2;
  }
}
