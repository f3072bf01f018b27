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

/// Reads the final value of every key through a proxy, as current data, and
/// puts them into the ledger. Not thread-safe.
class FinalCheck : private WebSocketHandler {
 public:
  /// `done(true)` is called once when all keys were read, `done(false)` when
  /// a key could not be read.
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
  std::uint32_t tries_ = 0;
  std::size_t proxy_ = 0;
};

}  // namespace carawayhaven::load

#endif  // CARAWAYHAVEN_UTIL_LOAD_FINAL_CHECK_H_
