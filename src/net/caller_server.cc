#include "net/caller_server.h"

#include <algorithm>
#include <utility>

#include "carawayhaven/error_messages.h"
#include "carawayhaven/exceptions.h"
#include "net/address.h"
#include "net/event_loop.h"

namespace carawayhaven {
namespace {

// Returns true if the session token must include the position of the outcome:
// only acknowledged writes advance the token, since the session has to read its
// own writes. Advancing it on reads would send later reads to the primary.
bool AdvancesToken(const Request& request, const Outcome& outcome) {
  if (outcome.verdict != Verdict::kRan) return false;
  switch (request.kind) {
    case RequestKind::kStatement:
      return request.access == AccessMode::kWrite &&
             request.transaction.empty();
    case RequestKind::kCommit:
    case RequestKind::kResolve:
      return true;
    default:
      return false;
  }
}

}  // namespace

CallerServer::CallerServer(EventLoop& loop, const std::string& address,
                           std::size_t max_sessions, CallerLimits limits,
                           CallerHandler& handler)
    : loop_(loop),
      max_sessions_(max_sessions),
      limits_(limits),
      handler_(handler),
      server_(loop, ParseAddress(address).ip, ParseAddress(address).port,
              *this) {}

void CallerServer::AnnounceLeaving() {
  leaving_ = true;
  for (const auto& [socket, session] : sessions_) {
    socket->Send(EncodeLeavingNotice());
  }
}

bool CallerServer::HasPendingBytes() const {
  return std::any_of(sessions_.begin(), sessions_.end(),
                     [](const auto& entry) {
                       return entry.first->HasPendingBytes();
                     }) ||
         std::any_of(refused_.begin(), refused_.end(), [](const auto& socket) {
           return socket->HasPendingBytes();
         });
}

std::uint64_t CallerServer::DeliveredBytes() const {
  std::uint64_t bytes = 0;
  for (const auto& [socket, session] : sessions_) {
    bytes += socket->DeliveredBytes();
  }
  for (const auto& socket : refused_) bytes += socket->DeliveredBytes();
  return bytes;
}

void CallerServer::OnOpen(const std::shared_ptr<WebSocketConnection>& socket) {
  if (leaving_ || sessions_.size() >= max_sessions_) {
    ++stats_.sessions_refused;
    refused_.insert(socket);
    socket->Send(EncodeLeavingNotice());
    loop_.RunAfter(kRefusedSessionLinger,
                   [socket] { socket->CloseAfterSend(); });
    return;
  }
  ++stats_.sessions_opened;
  sessions_.emplace(socket, Session{});
}

// A message without a valid id ends its session, since the messages that follow
// cannot be trusted either. Requests that arrived before it are answered. A
// message with a valid id and another invalid field gets an error answer, and
// the session continues.
void CallerServer::OnMessage(const std::shared_ptr<WebSocketConnection>& socket,
                             std::string_view message) {
  const auto found = sessions_.find(socket);
  const bool refused = refused_.contains(socket);
  if (!refused && (found == sessions_.end() || found->second.closing)) return;
  ++stats_.requests;
  try {
    CallerRequest decoded =
        DecodeCallerRequest(message, limits_, EventLoop::Now());
    if (refused) {
      Refuse(*socket, decoded, Reason::kLeaving);
      return;
    }
    if (found->second.in_flight >= kMaxInFlightPerSession) {
      Refuse(*socket, decoded, Reason::kOverloaded);
      return;
    }
    StartRequest(socket, std::move(decoded));
  } catch (const Error& error) {
    const std::uint64_t id = PeekCallerRequestId(message);
    if (id == 0) {
      RejectMessage(socket, error.what());
      return;
    }
    ++stats_.invalid_messages;
    socket->Send(EncodeCallerError(id, error.what()));
  }
}

void CallerServer::OnMessageTooLarge(
    const std::shared_ptr<WebSocketConnection>& socket) {
  RejectMessage(socket, error_messages::kMessageTooLarge);
}

void CallerServer::OnClose(const std::shared_ptr<WebSocketConnection>& socket) {
  refused_.erase(socket);
  const auto found = sessions_.find(socket);
  if (found == sessions_.end()) return;
  const Session session = std::move(found->second);
  sessions_.erase(found);
  for (const auto& [transaction, service] : session.transactions) {
    handler_.OnTransactionAbandoned(service, transaction);
  }
}

void CallerServer::Refuse(WebSocketConnection& socket,
                          const CallerRequest& message, Reason reason) {
  Outcome refusal;
  refusal.reason = reason;
  // kNotRun would be wrong here: the verdict of a resolve is about the write
  // with its id, and a commit may be a copy of one that ran.
  const RequestKind kind = message.request.kind;
  if (kind == RequestKind::kResolve || kind == RequestKind::kCommit) {
    refusal.verdict = Verdict::kMayHaveRun;
  }
  socket.Send(EncodeCallerAnswer(message.id, refusal, message.token, ""));
}

void CallerServer::RejectMessage(
    const std::shared_ptr<WebSocketConnection>& socket,
    std::string_view error) {
  ++stats_.invalid_messages;
  socket->Send(EncodeCallerError(0, error));
  const auto found = sessions_.find(socket);
  if (found != sessions_.end() && found->second.in_flight > 0) {
    found->second.closing = true;
  } else {
    socket->CloseAfterSend();
  }
}

void CallerServer::StartRequest(
    const std::shared_ptr<WebSocketConnection>& socket, CallerRequest message) {
  ++sessions_.at(socket).in_flight;
  ++in_flight_;
  Request request = message.request;
  handler_.OnCallerRequest(
      std::move(request),
      [this, socket, message = std::move(message)](
          const Outcome& outcome, std::string_view transaction) {
        CompleteRequest(socket, message, outcome, transaction);
      });
}

void CallerServer::CompleteRequest(
    const std::shared_ptr<WebSocketConnection>& socket,
    const CallerRequest& message, const Outcome& outcome,
    std::string_view transaction) {
  --in_flight_;
  const Request& request = message.request;
  const auto found = sessions_.find(socket);
  if (found == sessions_.end()) {
    // The caller disconnected while its begin was in flight, so nobody else can
    // end the new transaction.
    if (request.kind == RequestKind::kBegin &&
        outcome.verdict == Verdict::kRan) {
      handler_.OnTransactionAbandoned(request.service,
                                      TransactionId(transaction));
    }
    return;
  }
  Session& session = found->second;
  --session.in_flight;
  if (request.kind == RequestKind::kBegin && outcome.verdict == Verdict::kRan) {
    session.transactions.emplace(transaction, request.service);
  } else if (request.kind == RequestKind::kCommit ||
             request.kind == RequestKind::kRollback) {
    session.transactions.erase(request.transaction);
  }
  SessionToken token = message.token;
  if (AdvancesToken(request, outcome)) {
    token.Advance(request.service, outcome.position);
  }
  socket->Send(EncodeCallerAnswer(message.id, outcome, token, transaction));
  if (session.closing && session.in_flight == 0) socket->CloseAfterSend();
}

}  // namespace carawayhaven
