#include "load/final_check.h"

#include <nlohmann/json.hpp>

#include "net/event_loop.h"

namespace carawayhaven::load {
namespace {

constexpr Duration kRetryDelay = std::chrono::milliseconds(250);
constexpr std::uint32_t kMaxReadAttempts = 100;

}  // namespace

FinalCheck::FinalCheck(RunContext& context, std::function<void(bool)> done)
    : context_(context), done_(std::move(done)) {
  for (const std::string& service : context_.services) {
    for (std::uint32_t key = 0; key < Caller::kKeysPerService; ++key) {
      keys_.emplace_back(service, Caller::KeyName(key));
    }
  }
}

void FinalCheck::Start() {
  socket_ = context_.client.Connect(
      context_.proxies[next_proxy_++ % context_.proxies.size()], *this);
}

void FinalCheck::OnOpen(const std::shared_ptr<WebSocketConnection>& socket) {
  if (socket == socket_) ReadNext();
}

void FinalCheck::OnMessage(
    const std::shared_ptr<WebSocketConnection>& /*socket*/,
    std::string_view text) {
  const nlohmann::json answer = nlohmann::json::parse(text, nullptr, false);
  if (!answer.is_object() || answer.value("id", std::uint64_t{0}) != next_id_) {
    return;
  }
  if (answer.value("verdict", "") != "ran") {
    Retry();
    return;
  }
  const auto& [service, key] = keys_.front();
  context_.ledger.SetFinalValue(service, key,
                                answer.value("result", nlohmann::json()));
  keys_.pop_front();
  read_attempts_ = 0;
  ReadNext();
}

void FinalCheck::OnClose(const std::shared_ptr<WebSocketConnection>& socket) {
  if (socket != socket_) return;
  context_.loop.RunAfter(kRetryDelay, [this] { Start(); });
}

void FinalCheck::ReadNext() {
  if (keys_.empty()) {
    done_(true);
    return;
  }
  const auto& [service, key] = keys_.front();
  const nlohmann::json request = {
      {"type", "request"},   {"id", ++next_id_},
      {"service", service},  {"statement", "get"},
      {"parameters", {key}}, {"timeout_ms", context_.timeout_ms}};
  socket_->Send(request.dump());
}

void FinalCheck::Retry() {
  if (++read_attempts_ > kMaxReadAttempts) {
    done_(false);
    return;
  }
  context_.loop.RunAfter(kRetryDelay, [this] { ReadNext(); });
}

}  // namespace carawayhaven::load
