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

/// State and settings shared by all callers of a run.
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
  /// Callers start no operation from this time on.
  TimePoint ends_at{};
};

/// Simulates a caller in a closed loop: it pauses after each operation before
/// it starts the next. It occasionally reconnects to a randomly chosen proxy
/// and keeps its session token across connections. Not thread-safe.
class Caller : private WebSocketHandler {
 public:
  static constexpr std::uint32_t kKeysPerService = 64;

  Caller(RunContext& context, std::uint32_t number, std::uint64_t seed);

  void Start();
  /// True when no request is pending and no further operation will start.
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
  void HandleResolveAnswer(const nlohmann::json& answer);
  void CheckRead(const nlohmann::json& answer);
  void RecordWriteVerdict(const nlohmann::json& answer);
  void Resolve();
  void EndOperation();
  std::string RandomKey();
  const std::string& service() const {
    return context_.services[service_index_];
  }

  RunContext& context_;
  std::uint32_t number_;
  std::mt19937_64 random_;
  std::size_t service_index_;
  std::shared_ptr<WebSocketConnection> socket_;
  bool connected_ = false;
  bool finished_ = false;
  /// The proxy announced that it is leaving; the caller reconnects before its
  /// next operation.
  bool proxy_is_leaving_ = false;

  std::uint64_t next_request_id_ = 1;
  /// 0 when no request is pending.
  std::uint64_t pending_request_id_ = 0;
  std::uint64_t next_marker_ = 1;
  std::string token_;

  Operation operation_ = Operation::kCurrentRead;
  TimePoint started_at_;
  std::string key_;
  /// Marker and request id of the current write; empty for other operations.
  std::string marker_;
  bool resolving_ = false;
  std::uint32_t resolve_attempts_ = 0;
  std::uint32_t transaction_step_ = 0;
  std::string transaction_;
  std::string second_key_;
  /// The last write of this caller known to have run.
  std::string last_written_key_;
  std::string last_written_marker_;
};

}  // namespace carawayhaven::load

#endif  // CARAWAYHAVEN_UTIL_LOAD_CALLER_H_
