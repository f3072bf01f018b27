#ifndef CARAWAYHAVEN_UTIL_LOAD_FINAL_CHECK_H_
#define CARAWAYHAVEN_UTIL_LOAD_FINAL_CHECK_H_

#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <string>
#include <utility>

#include "load/caller.h"
#include "net/websocket_connection.h"

namespace carawayhaven::load {

/// Reads the final value of every key through a proxy, without accepting stale
/// data, and stores the values in the ledger. Not thread-safe.
class FinalCheck : private WebSocketHandler {
 public:
  /// Calls `done(true)` when all keys have been read, or `done(false)` when the
  /// attempts to read a key are exhausted.
  FinalCheck(RunContext& context, std::function<void(bool)> done);

  void Start();

 private:
  void OnOpen(const std::shared_ptr<WebSocketConnection>& socket) override;
  void OnMessage(const std::shared_ptr<WebSocketConnection>& socket,
                 std::string_view text) override;
  void OnClose(const std::shared_ptr<WebSocketConnection>& socket) override;

  void ReadNext();
  void Retry();

  RunContext& context_;
  std::function<void(bool)> done_;
  std::shared_ptr<WebSocketConnection> socket_;
  std::deque<std::pair<std::string, std::string>> keys_;
  std::uint64_t next_id_ = 1;
  std::uint32_t read_attempts_ = 0;
  std::size_t next_proxy_ = 0;
};

}  // namespace carawayhaven::load

#endif  // CARAWAYHAVEN_UTIL_LOAD_FINAL_CHECK_H_
