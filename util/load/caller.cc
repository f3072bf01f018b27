#include "load/caller.h"

#include <algorithm>
#include <utility>

#include "net/event_loop.h"

namespace carawayhaven::load {
namespace {

constexpr Duration kReconnectDelay = std::chrono::milliseconds(50);
constexpr Duration kResolveRetryDelay = std::chrono::milliseconds(200);
constexpr std::uint32_t kMaxResolveAttempts = 50;
// On average, one in this many operations is preceded by a reconnect to a
// randomly chosen proxy.
constexpr std::uint64_t kMeanOperationsPerProxy = 20;

Verdict ParseVerdict(const nlohmann::json& answer) {
  const std::string verdict = answer.value("verdict", "may_have_run");
  if (verdict == "ran") return Verdict::kRan;
  return verdict == "not_run" ? Verdict::kNotRun : Verdict::kMayHaveRun;
}

bool ViolatedConstraint(const nlohmann::json& answer) {
  return answer.value("reason", "") == "constraint";
}

}  // namespace

Caller::Caller(RunContext& context, std::uint32_t number, std::uint64_t seed)
    : context_(context),
      number_(number),
      random_(seed),
      service_index_(number % context.services.size()) {}

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
  proxy_is_leaving_ = false;
  if (resolving_) {
    Resolve();
  } else {
    NextOperation();
  }
}

// The answer to a pending request is lost with the connection. The verdict of a
// pending write is resolved by its request id over the next connection.
void Caller::OnClose(const std::shared_ptr<WebSocketConnection>& socket) {
  if (socket != socket_) return;
  connected_ = false;
  if (pending_request_id_ != 0) {
    context_.statistics.CountAnswer("connection_lost", "none");
    pending_request_id_ = 0;
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
  // Answers that are still delayed by caller_latency when the connection closes
  // are discarded.
  if (socket != socket_ || !connected_) return;
  const nlohmann::json message = nlohmann::json::parse(text, nullptr, false);
  if (!message.is_object()) return;
  if (message.value("type", "") == "leaving") {
    proxy_is_leaving_ = true;
    if (pending_request_id_ == 0) socket->CloseAfterSend();
    return;
  }
  if (message.value("id", std::uint64_t{0}) != pending_request_id_) {
    context_.statistics.CountAnswer("foreign_answer", "none");
    return;
  }
  pending_request_id_ = 0;
  context_.statistics.CountAnswer(message.value("verdict", ""),
                                  message.value("reason", "none"));
  if (message.contains("token")) token_ = message["token"].get<std::string>();
  if (resolving_) {
    HandleResolveAnswer(message);
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
  if (!connected_ || pending_request_id_ != 0) return;
  if (proxy_is_leaving_ || random_() % kMeanOperationsPerProxy == 0) {
    socket_->CloseAfterSend();
    return;
  }
  operation_ = context_.workload.Choose(random_);
  started_at_ = EventLoop::Now();
  key_ = RandomKey();
  marker_.clear();
  resolve_attempts_ = 0;
  nlohmann::json message = {{"type", "request"}};
  switch (operation_) {
    case Operation::kAppend:
    case Operation::kTransaction:
      marker_ =
          "m" + std::to_string(number_) + "-" + std::to_string(next_marker_++);
      if (operation_ == Operation::kTransaction) {
        // With equal keys, the marker would occur twice in one list and be
        // counted as a doubled write.
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
    case Operation::kReadYourWrites:
      if (!last_written_key_.empty()) key_ = last_written_key_;
      [[fallthrough]];
    case Operation::kBoundedRead:
      message["max_age_ms"] = context_.workload.max_staleness_ms;
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
  pending_request_id_ = next_request_id_++;
  message["id"] = pending_request_id_;
  message["service"] = service();
  message["timeout_ms"] = context_.timeout_ms;
  if (!token_.empty()) message["token"] = token_;
  context_.loop.RunAfter(
      context_.caller_latency,
      [socket = socket_, text = message.dump()] { socket->Send(text); });
}

// Steps: 0 begin, 1 and 2 statements, 3 commit.
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
  const bool ran = ParseVerdict(answer) == Verdict::kRan;
  if (operation_ == Operation::kAppend) {
    RecordWriteVerdict(answer);
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
    RecordWriteVerdict(answer);
    return;
  }
  if (ParseVerdict(answer) != Verdict::kRan) {
    // The commit was not sent, so the transaction cannot have been committed.
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

void Caller::RecordWriteVerdict(const nlohmann::json& answer) {
  const Verdict verdict = ParseVerdict(answer);
  if (verdict == Verdict::kMayHaveRun) {
    resolving_ = true;
    Resolve();
    return;
  }
  const bool refused = verdict == Verdict::kRan && ViolatedConstraint(answer);
  context_.ledger.SetVerdict(marker_, refused ? Verdict::kNotRun : verdict);
  if (verdict == Verdict::kRan && !refused) {
    context_.statistics.AddAcknowledgement(service(), started_at_,
                                           EventLoop::Now());
    last_written_key_ = key_;
    last_written_marker_ = marker_;
  }
  EndOperation();
}

void Caller::HandleResolveAnswer(const nlohmann::json& answer) {
  const Verdict verdict = ParseVerdict(answer);
  const std::string reason = answer.value("reason", "none");
  const bool settled = verdict == Verdict::kRan ||
                       (verdict == Verdict::kNotRun && reason == "cancelled");
  if (!settled && ++resolve_attempts_ < kMaxResolveAttempts) {
    context_.loop.RunAfter(kResolveRetryDelay, [this] { Resolve(); });
    return;
  }
  resolving_ = false;
  if (settled) context_.ledger.SetVerdict(marker_, verdict);
  if (settled && verdict == Verdict::kRan) {
    last_written_key_ = key_;
    last_written_marker_ = marker_;
  }
  EndOperation();
}

void Caller::Resolve() {
  if (!connected_) return;
  SendRequest({{"type", "resolve"}, {"request_id", marker_}});
}

void Caller::CheckRead(const nlohmann::json& answer) {
  const bool accepts_staleness = operation_ != Operation::kCurrentRead;
  context_.statistics.CountRead(accepts_staleness,
                                answer.value("from_replica", false));
  if (operation_ == Operation::kReport) return;
  if (key_ != last_written_key_) return;
  const nlohmann::json list = answer.value("result", nlohmann::json::array());
  const bool seen =
      list.is_array() &&
      std::find(list.begin(), list.end(),
                nlohmann::json(last_written_marker_)) != list.end();
  if (!seen) context_.statistics.CountStaleRead();
}

void Caller::EndOperation() {
  const bool is_short =
      operation_ != Operation::kReport && operation_ != Operation::kTransaction;
  if (is_short && resolve_attempts_ == 0) {
    context_.statistics.AddShortLatency(EventLoop::Now() - started_at_);
  }
  marker_.clear();
  NextOperation();
}

std::string Caller::RandomKey() {
  return KeyName(static_cast<std::uint32_t>(random_() % kKeysPerService));
}

}  // namespace carawayhaven::load
