#ifndef CARAWAYHAVEN_TEST_STANDINS_REPLICATION_H_
#define CARAWAYHAVEN_TEST_STANDINS_REPLICATION_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "carawayhaven/log_position.h"
#include "carawayhaven/names.h"
#include "carawayhaven/time.h"
#include "net/websocket_client.h"
#include "net/websocket_connection.h"
#include "standins/endpoint_state.h"

namespace carawayhaven {
class EventLoop;
}  // namespace carawayhaven

namespace carawayhaven::standins {

/// Terms, roles and asynchronous log replication of one endpoint. The primary
/// sends its log to the other endpoints of the group after a configurable lag.
class Replication : private WebSocketHandler {
 public:
  Replication(EventLoop& loop, EndpointState& state, std::string name,
              const std::map<std::string, std::string>& peers);

  Term term() const { return term_; }
  bool is_primary() const { return is_primary_; }
  const std::string& primary() const { return primary_; }
  /// Age of the data by this endpoint's own clock. On a primary, the time since
  /// the start of the last round that a replica has confirmed.
  Duration Age() const;

  /// Sets the role in term 1. Call one of the two once, at the start.
  void BecomeInitialPrimary();
  void FollowInitialPrimary(const std::string& primary);

  /// Appends an entry in the current term. This endpoint must be the primary.
  LogPosition Append(LogEntry entry);

  /// Calls `done(true)` after a replica has confirmed the index in a round that
  /// began after this call, or `done(false)` if this endpoint is not the
  /// primary or steps down.
  void Confirm(std::uint64_t min_index, std::function<void(bool)> done);

  enum class FenceResult { kGranted, kStale, kRefused };
  /// Adopts a higher term, steps down and grants the term to the candidate. In
  /// the current term only the same candidate is granted again.
  FenceResult Fence(Term term, const std::string& candidate);
  /// Becomes primary of a term that was granted to the candidate.
  bool Promote(Term term, const std::string& candidate);
  /// Adopts the term and its primary. Returns false for an older term, or if
  /// this endpoint is the primary of the same term and `primary` is another
  /// one.
  bool Follow(Term term, const std::string& primary);

  /// Handles a message of the replication stream. Returns the acknowledgement,
  /// or null if a fault suppresses it.
  nlohmann::json HandleAppend(const nlohmann::json& message);

  void set_lag(Duration lag) { lag_ = lag; }
  void set_link_delay(Duration delay) { link_delay_ = delay; }
  /// Cuts the traffic with the other endpoints; proxies still reach this one.
  void set_partitioned(bool partitioned) { partitioned_ = partitioned; }
  void set_frozen(bool frozen) { frozen_ = frozen; }

 private:
  struct Peer {
    std::string address;
    std::shared_ptr<WebSocketConnection> socket;
    bool open = false;
    std::uint64_t next_index = 1;
    std::uint64_t match_index = 0;
    std::uint64_t acked_round = 0;
    /// Time of its last acknowledgement by its own clock, and the last index of
    /// this endpoint when that arrived. Sent back to the replica, which derives
    /// the age of its data from them without comparing clocks.
    std::int64_t ack_time_at_replica = 0;
    std::uint64_t index_at_ack = 0;
  };
  struct Confirmation {
    std::uint64_t min_index = 0;
    std::uint64_t round = 0;
    std::function<void(bool)> done;
  };

  void OnOpen(const std::shared_ptr<WebSocketConnection>& socket) override;
  void OnMessage(const std::shared_ptr<WebSocketConnection>& socket,
                 std::string_view text) override;
  void OnClose(const std::shared_ptr<WebSocketConnection>& socket) override;

  Peer* FindPeer(const WebSocketConnection* socket);
  void Heartbeat();
  void SendAppends();
  void SendAppend(Peer& peer);
  void HandleAck(Peer& peer, const nlohmann::json& ack);
  void CompleteConfirmations();
  void StepDown();
  std::uint64_t StartRound();

  EventLoop& loop_;
  EndpointState& state_;
  std::string name_;
  WebSocketClient client_;
  std::map<std::string, Peer> peers_;
  Term term_ = 1;
  bool is_primary_ = false;
  std::string primary_;
  std::string granted_candidate_;
  /// Time at which each entry was appended; the lag counts from it.
  std::vector<TimePoint> appended_at_;
  std::uint64_t round_ = 0;
  /// Start of each round that no replica has confirmed yet, and of the last
  /// confirmed round.
  std::map<std::uint64_t, TimePoint> round_starts_;
  std::vector<Confirmation> confirmations_;
  /// Time at which the data of this endpoint was last known to be current.
  TimePoint fresh_as_of_;
  Duration lag_{0};
  Duration link_delay_{0};
  bool partitioned_ = false;
  bool frozen_ = false;
};

}  // namespace carawayhaven::standins

#endif  // CARAWAYHAVEN_TEST_STANDINS_REPLICATION_H_
