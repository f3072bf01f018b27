#ifndef CARAWAYHAVEN_UTIL_LOAD_CALLER_H_
#define CARAWAYHAVEN_UTIL_LOAD_CALLER_H_

#include <cstdint>
#include <memory>
#include <nlohmann/json.hpp>
#include <random>
#include <string>
#include <vector>

#include "carawayhaven/time.h"
#include "load/ledger.h"
#include "load/statistics.h"
#include "load/workload.h"
#include "net/websocket_client.h"
#include "net/websocket_connection.h"

namespace carawayhaven {
class EventLoop;
}  // namespace carawayhaven

namespace carawayhaven::load {

/// What all callers of a run share.
struct RunContext {
  EventLoop& loop;
  WebSocketClient& client;
  Ledger& ledger;
  Statistics& statistics;
  Workload workload;
  std::vector<std::string> proxies;
  std::vector<std::string> services;
  Duration think_time{20'000};
  /// One-way latency between a caller and its proxy.
  Duration caller_latency{3'000};
  std::uint64_t timeout_ms = 4000;
  /// No new operation starts after this.
  TimePoint ends_at{};
};

/// One caller in a closed loop: an operation, a pause, the next one. It changes
/// its proxy now and then and carries its session token along. Not thread-safe.
class Caller : private WebSocketHandler {
 public:
  static constexpr std::uint32_t kKeysPerService = 64;

  Caller(RunContext& context, std::uint32_t number, std::uint64_t seed);

  void Start();
  /// True when nothing is on the way and no more operations will start.
  bool finished() const { return finished_; }

  static std::string KeyName(std::uint32_t key);

 private:
  void OnOpen(const std::shared_ptr<WebSocketConnection>& socket) override;
  void OnMessage(const std::shared_ptr<WebSocketConnection>& socket,
                 std::string_view text) override;
  void OnClose(const std::shared_ptr<WebSocketConnection>& socket) override;

  void HandleMessage(const std::shared_ptr<WebSocketConnection>& socket,
                     const std::string& text);
  void Connect();
  void NextOperation();
  void StartOperation();
  void SendRequest(nlohmann::json message);
  void SendTransactionStep();
  void HandleAnswer(const nlohmann::json& answer);
  void HandleTransactionAnswer(const nlohmann::json& answer);
  void HandleResolved(const nlohmann::json& answer);
  void CheckRead(const nlohmann::json& answer);
  void SettleWrite(const nlohmann::json& answer);
  void Resolve();
  void EndOperation();
  std::string RandomKey();
  const std::string& service() const { return context_.services[service_]; }

  RunContext& context_;
  std::uint32_t number_;
  std::mt19937_64 random_;
  std::size_t service_;
  std::shared_ptr<WebSocketConnection> socket_;
  bool connected_ = false;
  bool finished_ = false;
  /// The proxy said that it leaves; the next operation goes to another one.
  bool proxy_leaves_ = false;

  std::uint64_t next_id_ = 1;
  std::uint64_t waiting_for_ = 0;
  std::uint64_t next_marker_ = 1;
  std::string token_;

  Operation operation_ = Operation::kCurrentRead;
  TimePoint started_at_;
  std::string key_;
  std::string marker_;
  bool resolving_ = false;
  std::uint32_t resolve_tries_ = 0;
  std::uint32_t transaction_step_ = 0;
  std::string transaction_;
  std::string second_key_;
  std::string own_key_;
  std::string own_marker_;
};

}  // namespace carawayhaven::load

#endif  // CARAWAYHAVEN_UTIL_LOAD_CALLER_H_
