#include "load/caller.h"

#include <algorithm>
#include <utility>

#include "net/event_loop.h"

namespace carawayhaven::load {
namespace {

constexpr Duration kReconnectDelay = std::chrono::milliseconds(50);
constexpr Duration kResolveDelay = std::chrono::milliseconds(200);
constexpr std::uint32_t kMaxResolveTries = 50;
// One operation in so many is followed by a move to another proxy.
constexpr std::uint64_t kRoamingInterval = 20;

Verdict VerdictOf(const nlohmann::json& answer) {
  const std::string verdict = answer.value("verdict", "may_have_run");
  if (verdict == "ran") return Verdict::kRan;
  return verdict == "not_run" ? Verdict::kNotRun : Verdict::kMayHaveRun;
}

bool IsConstraint(const nlohmann::json& answer) {
  return answer.value("reason", "") == "constraint";
}

}  // namespace

Caller::Caller(RunContext& context, std::uint32_t number, std::uint64_t seed)
    : context_(context),
      number_(number),
      random_(seed),
      service_(number % context.services.size()) {}

void Caller::Start() { Connect(); }

std::string Caller::KeyName(std::uint32_t key) {
  return "pack-" + std::to_string(key);
}

void Caller::Connect() {
  const std::string& proxy =
      context_.proxies[random_() % context_.proxies.size()];
  socket_ = context_.client.Connect(proxy, *this);
}

void Caller::OnOpen(const std::shared_ptr<WebSocketConnection>& socket) {
  if (socket != socket_) return;
  connected_ = true;
  proxy_leaves_ = false;
  if (resolving_) {
    Resolve();
  } else {
    NextOperation();
  }
}

// The answer to what was on the way is lost with the connection; a write is
// settled through another proxy by its request id.
void Caller::OnClose(const std::shared_ptr<WebSocketConnection>& socket) {
  if (socket != socket_) return;
  connected_ = false;
  if (waiting_for_ != 0) {
    context_.statistics.CountAnswer("connection_lost", "none");
    waiting_for_ = 0;
    resolving_ = !marker_.empty();
  }
  context_.loop.RunAfter(kReconnectDelay, [this] { Connect(); });
}

void Caller::OnMessage(const std::shared_ptr<WebSocketConnection>& socket,
                       std::string_view text) {
  context_.loop.RunAfter(context_.caller_latency,
                         [this, socket, message = std::string(text)] {
                           HandleMessage(socket, message);
                         });
}

void Caller::HandleMessage(const std::shared_ptr<WebSocketConnection>& socket,
                           const std::string& text) {
  // An answer that was on its way when the connection ended is lost.
  if (socket != socket_ || !connected_) return;
  const nlohmann::json message = nlohmann::json::parse(text, nullptr, false);
  if (!message.is_object()) return;
  if (message.value("type", "") == "leaving") {
    proxy_leaves_ = true;
    if (waiting_for_ == 0) socket->CloseAfterSend();
    return;
  }
  if (message.value("id", std::uint64_t{0}) != waiting_for_) {
    context_.statistics.CountAnswer("foreign_answer", "none");
    return;
  }
  waiting_for_ = 0;
  context_.statistics.CountAnswer(message.value("verdict", ""),
                                  message.value("reason", "none"));
  if (message.contains("token")) token_ = message["token"].get<std::string>();
  if (resolving_) {
    HandleResolved(message);
  } else {
    HandleAnswer(message);
  }
}

void Caller::NextOperation() {
  if (EventLoop::Now() >= context_.ends_at) {
    finished_ = true;
    return;
  }
  const auto pause = std::uniform_int_distribution<std::int64_t>(
      0, 2 * context_.think_time.count())(random_);
  context_.loop.RunAfter(Duration(pause), [this] { StartOperation(); });
}

void Caller::StartOperation() {
  if (!connected_ || waiting_for_ != 0) return;
  if (proxy_leaves_ || random_() % kRoamingInterval == 0) {
    socket_->CloseAfterSend();
    return;
  }
  operation_ = context_.workload.Choose(random_);
  started_at_ = EventLoop::Now();
  key_ = RandomKey();
  marker_.clear();
  resolve_tries_ = 0;
  nlohmann::json message = {{"type", "request"}};
  switch (operation_) {
    case Operation::kAppend:
    case Operation::kTransaction:
      marker_ =
          "m" + std::to_string(number_) + "-" + std::to_string(next_marker_++);
      if (operation_ == Operation::kTransaction) {
        // Two different keys, or one marker would stand twice in one list.
        do {
          second_key_ = RandomKey();
        } while (second_key_ == key_);
        context_.ledger.Record(marker_, {service(), {key_, second_key_}});
        transaction_step_ = 0;
        SendTransactionStep();
        return;
      }
      context_.ledger.Record(marker_, {service(), {key_}});
      message["statement"] = "append";
      message["parameters"] = {key_, marker_};
      message["access"] = "write";
      message["request_id"] = marker_;
      break;
    case Operation::kPut:
      message["statement"] = "put";
      message["parameters"] = {"value-" + key_, number_};
      message["access"] = "write";
      message["idempotent"] = true;
      break;
    case Operation::kOwnRead:
      if (!own_key_.empty()) key_ = own_key_;
      [[fallthrough]];
    case Operation::kAgedRead:
      message["max_age_ms"] = context_.workload.aged_read_max_age_ms;
      [[fallthrough]];
    case Operation::kCurrentRead:
      message["statement"] = "get";
      message["parameters"] = {key_};
      break;
    case Operation::kReport:
      message["statement"] = "report";
      message["parameters"] = {"pack", context_.workload.report_cost_ms};
      message["max_age_ms"] = 60'000;
      break;
  }
  SendRequest(std::move(message));
}

void Caller::SendRequest(nlohmann::json message) {
  waiting_for_ = next_id_++;
  message["id"] = waiting_for_;
  message["service"] = service();
  message["timeout_ms"] = context_.timeout_ms;
  if (!token_.empty()) message["token"] = token_;
  context_.loop.RunAfter(
      context_.caller_latency,
      [socket = socket_, text = message.dump()] { socket->Send(text); });
}

// Steps: begin, two statements, commit.
void Caller::SendTransactionStep() {
  switch (transaction_step_) {
    case 0:
      SendRequest({{"type", "begin"}});
      return;
    case 1:
    case 2:
      SendRequest({{"type", "request"},
                   {"statement", "append"},
                   {"parameters",
                    {transaction_step_ == 1 ? key_ : second_key_, marker_}},
                   {"access", "write"},
                   {"transaction", transaction_}});
      return;
    default:
      SendRequest({{"type", "commit"},
                   {"transaction", transaction_},
                   {"request_id", marker_}});
  }
}

void Caller::HandleAnswer(const nlohmann::json& answer) {
  if (operation_ == Operation::kTransaction) {
    HandleTransactionAnswer(answer);
    return;
  }
  const bool ran = VerdictOf(answer) == Verdict::kRan;
  if (operation_ == Operation::kAppend) {
    SettleWrite(answer);
    return;
  }
  if (ran && operation_ == Operation::kPut) {
    context_.statistics.AddAcknowledgement(service(), started_at_,
                                           EventLoop::Now());
  } else if (ran) {
    CheckRead(answer);
  }
  EndOperation();
}

void Caller::HandleTransactionAnswer(const nlohmann::json& answer) {
  const bool last = transaction_step_ == 3;
  if (last) {
    SettleWrite(answer);
    return;
  }
  if (VerdictOf(answer) != Verdict::kRan) {
    // Nothing was committed and the commit was not sent.
    context_.ledger.SetVerdict(marker_, Verdict::kNotRun);
    EndOperation();
    return;
  }
  if (transaction_step_ == 0) {
    transaction_ = answer.value("transaction", "");
  }
  ++transaction_step_;
  SendTransactionStep();
}

void Caller::SettleWrite(const nlohmann::json& answer) {
  const Verdict verdict = VerdictOf(answer);
  if (verdict == Verdict::kMayHaveRun) {
    resolving_ = true;
    Resolve();
    return;
  }
  const bool refused = verdict == Verdict::kRan && IsConstraint(answer);
  context_.ledger.SetVerdict(marker_, refused ? Verdict::kNotRun : verdict);
  if (verdict == Verdict::kRan && !refused) {
    context_.statistics.AddAcknowledgement(service(), started_at_,
                                           EventLoop::Now());
    own_key_ = key_;
    own_marker_ = marker_;
  }
  EndOperation();
}

void Caller::HandleResolved(const nlohmann::json& answer) {
  const Verdict verdict = VerdictOf(answer);
  const std::string reason = answer.value("reason", "none");
  const bool settled = verdict == Verdict::kRan ||
                       (verdict == Verdict::kNotRun && reason == "cancelled");
  if (!settled && ++resolve_tries_ < kMaxResolveTries) {
    context_.loop.RunAfter(kResolveDelay, [this] { Resolve(); });
    return;
  }
  resolving_ = false;
  if (settled) context_.ledger.SetVerdict(marker_, verdict);
  if (settled && verdict == Verdict::kRan) {
    own_key_ = key_;
    own_marker_ = marker_;
  }
  EndOperation();
}

void Caller::Resolve() {
  if (!connected_) return;
  SendRequest({{"type", "resolve"}, {"request_id", marker_}});
}

void Caller::CheckRead(const nlohmann::json& answer) {
  const bool aged = operation_ != Operation::kCurrentRead;
  context_.statistics.CountRead(aged, answer.value("from_replica", false));
  if (operation_ == Operation::kReport) return;
  if (key_ != own_key_) return;
  const nlohmann::json list = answer.value("result", nlohmann::json::array());
  const bool seen =
      list.is_array() && std::find(list.begin(), list.end(),
                                   nlohmann::json(own_marker_)) != list.end();
  if (!seen) context_.statistics.CountStaleRead();
}

void Caller::EndOperation() {
  const bool is_short =
      operation_ != Operation::kReport && operation_ != Operation::kTransaction;
  if (is_short && resolve_tries_ == 0) {
    context_.statistics.AddShortLatency(EventLoop::Now() - started_at_);
  }
  marker_.clear();
  NextOperation();
}

std::string Caller::RandomKey() {
  return KeyName(static_cast<std::uint32_t>(random_() % kKeysPerService));
}

}  // namespace carawayhaven::load
