#include "standins/replication.h"

#include <algorithm>
#include <utility>

#include "net/event_loop.h"

namespace carawayhaven::standins {
namespace {

constexpr Duration kHeartbeatInterval = std::chrono::milliseconds(50);
constexpr std::uint64_t kMaxEntriesPerMessage = 200;
// Limits the memory of a primary without a replica that confirms.
constexpr std::size_t kMaxUnconfirmedRounds = 10'000;

}  // namespace

Replication::Replication(EventLoop& loop, EndpointState& state,
                         std::string name,
                         const std::map<std::string, std::string>& peers)
    : loop_(loop), state_(state), name_(std::move(name)), client_(loop) {
  for (const auto& [peer, address] : peers) {
    peers_[peer].address = address;
  }
  Heartbeat();
}

Duration Replication::Age() const { return EventLoop::Now() - fresh_as_of_; }

void Replication::BecomeInitialPrimary() {
  is_primary_ = true;
  primary_ = name_;
}

void Replication::FollowInitialPrimary(const std::string& primary) {
  primary_ = primary;
}

LogPosition Replication::Append(LogEntry entry) {
  entry.term = term_;
  state_.Append(std::move(entry));
  appended_at_.resize(state_.last_index(), TimePoint{});
  appended_at_.back() = EventLoop::Now();
  loop_.RunAfter(lag_, [this] { SendAppends(); });
  return state_.last_position();
}

void Replication::Confirm(std::uint64_t min_index,
                          std::function<void(bool)> done) {
  if (!is_primary_) {
    done(false);
    return;
  }
  confirmations_.push_back({min_index, StartRound(), std::move(done)});
  SendAppends();
}

Replication::FenceResult Replication::Fence(Term term,
                                            const std::string& candidate) {
  if (term < term_) return FenceResult::kStale;
  if (term == term_) {
    return candidate == granted_candidate_ ? FenceResult::kGranted
                                           : FenceResult::kRefused;
  }
  term_ = term;
  granted_candidate_ = candidate;
  primary_.clear();
  StepDown();
  return FenceResult::kGranted;
}

bool Replication::Promote(Term term, const std::string& candidate) {
  if (term != term_ || candidate != granted_candidate_) return false;
  if (is_primary_) return true;
  is_primary_ = true;
  primary_ = name_;
  for (auto& [name, peer] : peers_) {
    peer.next_index = state_.last_index() + 1;
    peer.match_index = 0;
    peer.acked_round = 0;
  }
  // Marks the start of the term: once an entry of this term is confirmed, all
  // entries of older terms are confirmed too.
  Append(LogEntry{});
  return true;
}

bool Replication::Follow(Term term, const std::string& primary) {
  if (term < term_) return false;
  if (term == term_ && is_primary_) return primary == name_;
  term_ = term;
  primary_ = primary;
  StepDown();
  return true;
}

nlohmann::json Replication::HandleAppend(const nlohmann::json& message) {
  const Term term = message.at("term").get<Term>();
  nlohmann::json ack = {{"type", "ack"}, {"ok", false}};
  if (partitioned_ || frozen_) return nullptr;
  if (term >= term_ && !(term == term_ && is_primary_)) {
    if (term > term_) StepDown();
    term_ = term;
    primary_ = message.at("primary").get<std::string>();
    const auto previous = message.at("previous").get<std::uint64_t>();
    const bool matches =
        previous <= state_.last_index() &&
        state_.TermAt(previous) == message.at("previous_term").get<Term>();
    if (matches) {
      std::uint64_t index = previous;
      for (const nlohmann::json& json : message.at("entries")) {
        LogEntry entry = DecodeEntry(json);
        ++index;
        if (state_.TermAt(index) == entry.term) continue;
        state_.Truncate(index - 1);
        state_.Append(std::move(entry));
      }
      ack["ok"] = true;
      ack["match"] = index;
    } else {
      ack["match"] = std::min(state_.last_index(), previous - 1);
    }
    const TimePoint acked_at(Duration(message.at("ask").get<std::int64_t>()));
    if (state_.last_index() >= message.at("ask_index").get<std::uint64_t>() &&
        matches) {
      fresh_as_of_ = std::max(fresh_as_of_, acked_at);
    }
  }
  ack["term"] = term_;
  ack["round"] = message.at("round");
  ack["ask"] = EventLoop::Now().time_since_epoch().count();
  return ack;
}

void Replication::OnOpen(const std::shared_ptr<WebSocketConnection>& socket) {
  if (Peer* peer = FindPeer(socket.get())) {
    peer->open = true;
    if (is_primary_) SendAppend(*peer);
  }
}

void Replication::OnMessage(const std::shared_ptr<WebSocketConnection>& socket,
                            std::string_view text) {
  if (partitioned_ || frozen_) return;
  Peer* peer = FindPeer(socket.get());
  const nlohmann::json ack = nlohmann::json::parse(text, nullptr, false);
  if (peer != nullptr && ack.is_object()) HandleAck(*peer, ack);
}

void Replication::OnClose(const std::shared_ptr<WebSocketConnection>& socket) {
  if (Peer* peer = FindPeer(socket.get())) {
    peer->socket.reset();
    peer->open = false;
  }
}

Replication::Peer* Replication::FindPeer(const WebSocketConnection* socket) {
  for (auto& [name, peer] : peers_) {
    if (peer.socket.get() == socket) return &peer;
  }
  return nullptr;
}

void Replication::Heartbeat() {
  if (is_primary_ && !frozen_) {
    StartRound();
    SendAppends();
  }
  loop_.RunAfter(kHeartbeatInterval, [this] { Heartbeat(); });
}

std::uint64_t Replication::StartRound() {
  round_starts_.emplace(++round_, EventLoop::Now());
  if (round_starts_.size() > kMaxUnconfirmedRounds) {
    round_starts_.erase(round_starts_.begin());
  }
  return round_;
}

void Replication::SendAppends() {
  if (!is_primary_ || partitioned_ || frozen_) return;
  for (auto& [name, peer] : peers_) {
    if (peer.socket == nullptr) {
      peer.socket = client_.Connect(peer.address, *this);
    } else if (peer.open) {
      SendAppend(peer);
    }
  }
}

void Replication::SendAppend(Peer& peer) {
  const std::uint64_t previous = peer.next_index - 1;
  nlohmann::json message = {{"type", "append"},
                            {"term", term_},
                            {"primary", name_},
                            {"previous", previous},
                            {"previous_term", state_.TermAt(previous)},
                            {"round", round_},
                            {"ask", peer.ack_time_at_replica},
                            {"ask_index", peer.index_at_ack},
                            {"entries", nlohmann::json::array()}};
  const TimePoint now = EventLoop::Now();
  appended_at_.resize(state_.last_index(), TimePoint{});
  for (std::uint64_t index = peer.next_index;
       index <= state_.last_index() &&
       index < peer.next_index + kMaxEntriesPerMessage &&
       appended_at_[index - 1] + lag_ <= now;
       ++index) {
    message["entries"].push_back(EncodeEntry(state_.EntryAt(index)));
  }
  loop_.RunAfter(link_delay_, [socket = peer.socket, text = message.dump()] {
    socket->Send(text);
  });
}

void Replication::HandleAck(Peer& peer, const nlohmann::json& ack) {
  const Term term = ack.at("term").get<Term>();
  if (!is_primary_) return;
  if (term > term_) {
    StepDown();
    return;
  }
  const auto match = ack.value("match", std::uint64_t{0});
  if (ack.at("ok").get<bool>()) {
    peer.match_index = std::max(peer.match_index, match);
    peer.next_index = peer.match_index + 1;
    peer.acked_round =
        std::max(peer.acked_round, ack.at("round").get<std::uint64_t>());
    // The data counts as current as of the start of the round, not the arrival
    // of the acknowledgement: it may have been delayed for long, and another
    // primary may have been elected meanwhile.
    const auto start = round_starts_.find(peer.acked_round);
    if (start != round_starts_.end()) {
      fresh_as_of_ = std::max(fresh_as_of_, start->second);
      round_starts_.erase(round_starts_.begin(), start);
    }
  } else {
    peer.next_index = match + 1;
  }
  peer.ack_time_at_replica = ack.at("ask").get<std::int64_t>();
  peer.index_at_ack = state_.last_index();
  CompleteConfirmations();
}

void Replication::CompleteConfirmations() {
  const auto is_confirmed = [this](const Confirmation& confirmation) {
    return std::any_of(
        peers_.begin(), peers_.end(), [&confirmation](const auto& entry) {
          return entry.second.acked_round >= confirmation.round &&
                 entry.second.match_index >= confirmation.min_index;
        });
  };
  std::vector<Confirmation> pending;
  for (Confirmation& entry : std::exchange(confirmations_, {})) {
    if (is_confirmed(entry)) {
      entry.done(true);
    } else {
      pending.push_back(std::move(entry));
    }
  }
  confirmations_.insert(confirmations_.end(),
                        std::make_move_iterator(pending.begin()),
                        std::make_move_iterator(pending.end()));
}

void Replication::StepDown() {
  is_primary_ = false;
  for (Confirmation& entry : std::exchange(confirmations_, {})) {
    entry.done(false);
  }
}

}  // namespace carawayhaven::standins
