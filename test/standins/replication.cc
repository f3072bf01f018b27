#include "standins/replication.h"

#include <algorithm>
#include <utility>

#include "net/event_loop.h"

namespace carawayhaven::standins {
namespace {

constexpr Duration kHeartbeatInterval = std::chrono::milliseconds(50);
constexpr std::uint64_t kMaxEntriesPerMessage = 200;
// Bounds the memory of a primary that no replica confirms.
constexpr std::size_t kMaxOpenRounds = 10'000;

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

void Replication::BecomeFirstPrimary() {
  primary_role_ = true;
  primary_ = name_;
}

void Replication::FollowFirst(const std::string& primary) {
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
  if (!primary_role_) {
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
  if (primary_role_) return true;
  primary_role_ = true;
  primary_ = name_;
  for (auto& [name, peer] : peers_) {
    peer.next_index = state_.last_index() + 1;
    peer.match_index = 0;
    peer.acked_round = 0;
  }
  // Marks the start of the term, so that a confirmed entry of this term covers
  // all entries of older terms.
  Append(LogEntry{});
  return true;
}

bool Replication::Follow(Term term, const std::string& primary) {
  if (term < term_) return false;
  if (term == term_ && primary_role_) return primary == name_;
  term_ = term;
  primary_ = primary;
  StepDown();
  return true;
}

nlohmann::json Replication::HandleAppend(const nlohmann::json& message) {
  const Term term = message.at("term").get<Term>();
  nlohmann::json ack = {{"type", "ack"}, {"ok", false}};
  if (cut_ || frozen_) return nullptr;
  if (term >= term_ && !(term == term_ && primary_role_)) {
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
    const TimePoint asked(Duration(message.at("ask").get<std::int64_t>()));
    if (state_.last_index() >= message.at("ask_index").get<std::uint64_t>() &&
        matches) {
      fresh_as_of_ = std::max(fresh_as_of_, asked);
    }
  }
  ack["term"] = term_;
  ack["round"] = message.at("round");
  ack["ask"] = EventLoop::Now().time_since_epoch().count();
  return ack;
}

void Replication::OnOpen(const std::shared_ptr<WebSocketConnection>& socket) {
  if (Peer* peer = PeerOf(socket.get())) {
    peer->open = true;
    if (primary_role_) SendAppend(*peer);
  }
}

void Replication::OnMessage(const std::shared_ptr<WebSocketConnection>& socket,
                            std::string_view text) {
  if (cut_ || frozen_) return;
  Peer* peer = PeerOf(socket.get());
  const nlohmann::json ack = nlohmann::json::parse(text, nullptr, false);
  if (peer != nullptr && ack.is_object()) HandleAck(*peer, ack);
}

void Replication::OnClose(const std::shared_ptr<WebSocketConnection>& socket) {
  if (Peer* peer = PeerOf(socket.get())) {
    peer->socket.reset();
    peer->open = false;
  }
}

Replication::Peer* Replication::PeerOf(const WebSocketConnection* socket) {
  for (auto& [name, peer] : peers_) {
    if (peer.socket.get() == socket) return &peer;
  }
  return nullptr;
}

void Replication::Heartbeat() {
  if (primary_role_ && !frozen_) {
    StartRound();
    SendAppends();
  }
  loop_.RunAfter(kHeartbeatInterval, [this] { Heartbeat(); });
}

std::uint64_t Replication::StartRound() {
  round_starts_.emplace(++round_, EventLoop::Now());
  if (round_starts_.size() > kMaxOpenRounds) {
    round_starts_.erase(round_starts_.begin());
  }
  return round_;
}

void Replication::SendAppends() {
  if (!primary_role_ || cut_ || frozen_) return;
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
                            {"ask", peer.ask},
                            {"ask_index", peer.ask_index},
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
  if (!primary_role_) return;
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
    // The answer may have been long on its way, and another primary may have
    // been elected meanwhile.
    const auto start = round_starts_.find(peer.acked_round);
    if (start != round_starts_.end()) {
      fresh_as_of_ = std::max(fresh_as_of_, start->second);
      round_starts_.erase(round_starts_.begin(), start);
    }
  } else {
    peer.next_index = match + 1;
  }
  peer.ask = ack.at("ask").get<std::int64_t>();
  peer.ask_index = state_.last_index();
  ReleaseConfirmations();
}

void Replication::ReleaseConfirmations() {
  const auto is_confirmed = [this](const Confirmation& wanted) {
    return std::any_of(peers_.begin(), peers_.end(),
                       [&wanted](const auto& entry) {
                         return entry.second.acked_round >= wanted.round &&
                                entry.second.match_index >= wanted.min_index;
                       });
  };
  std::vector<Confirmation> waiting;
  for (Confirmation& entry : std::exchange(confirmations_, {})) {
    if (is_confirmed(entry)) {
      entry.done(true);
    } else {
      waiting.push_back(std::move(entry));
    }
  }
  confirmations_.insert(confirmations_.end(),
                        std::make_move_iterator(waiting.begin()),
                        std::make_move_iterator(waiting.end()));
}

void Replication::StepDown() {
  primary_role_ = false;
  for (Confirmation& entry : std::exchange(confirmations_, {})) {
    entry.done(false);
  }
}

}  // namespace carawayhaven::standins
