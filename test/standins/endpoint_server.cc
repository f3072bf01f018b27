#include "standins/endpoint_server.h"

#include <algorithm>

#include "carawayhaven/exceptions.h"
#include "net/event_loop.h"
#include "wire/endpoint_codec.h"
#include "wire/json_fields.h"

namespace carawayhaven::standins {
namespace {

using std::chrono::milliseconds;

// Real endpoints take about 10 ms to open a connection.
constexpr Duration kConnectionOpenDelay = milliseconds(10);

std::string KeyOf(const nlohmann::json& parameters) {
  return parameters.empty() || !parameters[0].is_string()
             ? std::string()
             : parameters[0].get<std::string>();
}

}  // namespace

EndpointServer::EndpointServer(EventLoop& loop,
                               const EndpointServerOptions& options)
    : loop_(loop),
      options_(options),
      replication_(loop, state_, options.name, options.peers) {}

void EndpointServer::OnOpen(const Socket& socket) {
  const auto client_count = std::count_if(
      connections_.begin(), connections_.end(),
      [](const auto& entry) { return !entry.second.is_replication_link; });
  // Replication links do not count towards the limit, but only their first
  // message identifies them. The limit therefore has one more per peer.
  const auto max_connections = options_.connections + options_.peers.size();
  if (crashed_ || static_cast<std::size_t>(client_count) >= max_connections) {
    socket->Abort();
    return;
  }
  connections_[socket].ready_at = EventLoop::Now() + kConnectionOpenDelay;
}

void EndpointServer::OnMessage(const Socket& socket, std::string_view text) {
  const auto found = connections_.find(socket);
  if (found == connections_.end() || found->second.silent) return;
  const std::string message(text);
  if (frozen_) {
    frozen_messages_.emplace_back(socket, message);
    return;
  }
  const Duration wait = found->second.ready_at - EventLoop::Now();
  if (wait > Duration::zero()) {
    loop_.RunAfter(wait, [this, socket, message] {
      if (connections_.contains(socket)) HandleMessage(socket, message);
    });
    return;
  }
  HandleMessage(socket, message);
}

// Closing a connection cancels its statements and rolls back its transaction.
void EndpointServer::OnClose(const Socket& socket) {
  const auto found = connections_.find(socket);
  if (found == connections_.end()) return;
  running_ -= found->second.running_statements;
  connections_.erase(found);
}

void EndpointServer::HandleMessage(const Socket& socket,
                                   const std::string& text) {
  try {
    const nlohmann::json message = ParseJsonObject(text);
    if (message.contains("type") && message["type"] == "append") {
      connections_[socket].is_replication_link = true;
      const nlohmann::json ack = replication_.HandleAppend(message);
      if (!ack.is_null()) socket->Send(ack.dump());
      return;
    }
    HandleCommand(socket, DecodeEndpointCommand(text));
  } catch (const std::exception&) {
    socket->CloseAfterSend();
  }
}

void EndpointServer::HandleCommand(const Socket& socket,
                                   const EndpointCommand& command) {
  ConnectionState& connection = connections_[socket];
  switch (command.operation) {
    case EndpointOperation::kExecute:
      Execute(socket, command);
      return;
    case EndpointOperation::kBegin: {
      EndpointAnswer answer;
      if (CheckTermAndRole(command, answer)) {
        connection.in_transaction = true;
        answer = MakeAnswer(command, EndpointStatus::kOk);
      }
      Reply(socket, answer);
      return;
    }
    case EndpointOperation::kCommit:
      Reply(socket, Commit(command, connection));
      return;
    case EndpointOperation::kRollback:
      connection.in_transaction = false;
      connection.pending_changes.clear();
      connection.claimed_keys.clear();
      Reply(socket, MakeAnswer(command, EndpointStatus::kOk));
      return;
    case EndpointOperation::kResolve:
      Reply(socket, Resolve(command));
      return;
    case EndpointOperation::kConfirm: {
      EndpointAnswer answer;
      if (!CheckTermAndRole(command, answer)) {
        Reply(socket, answer);
        return;
      }
      replication_.Confirm(
          command.min_position.index, [this, socket, command](bool confirmed) {
            EndpointAnswer reply =
                MakeAnswer(command, confirmed ? EndpointStatus::kOk
                                              : EndpointStatus::kNotPrimary);
            if (confirmed) reply.position = command.min_position;
            Reply(socket, reply);
          });
      return;
    }
    default:
      Reply(socket, Control(command));
      return;
  }
}

// The statement occupies a slot for its run time and takes effect at the end.
void EndpointServer::Execute(const Socket& socket,
                             const EndpointCommand& command) {
  EndpointAnswer answer;
  if (command.access == AccessMode::kWrite &&
      !CheckTermAndRole(command, answer)) {
    Reply(socket, answer);
    return;
  }
  if (running_ >= options_.slots) {
    ++refused_busy_;
    Reply(socket, MakeAnswer(command, EndpointStatus::kBusy));
    return;
  }
  Duration run_time = statement_run_time_;
  const nlohmann::json parameters =
      nlohmann::json::parse(command.parameters, nullptr, false);
  if (command.statement == "report" && parameters.size() > 1 &&
      parameters[1].is_number_unsigned()) {
    run_time = milliseconds(parameters[1].get<std::uint64_t>());
  }
  ++running_;
  ++connections_[socket].running_statements;
  ++executed_;
  max_running_ = std::max(max_running_, running_);
  RunStatement(socket, command, run_time);
}

void EndpointServer::RunStatement(const Socket& socket,
                                  const EndpointCommand& command,
                                  Duration run_time) {
  loop_.RunAfter(run_time, [this, socket, command, run_time] {
    if (frozen_) {
      // A frozen process completes no statement.
      RunStatement(socket, command, run_time);
      return;
    }
    const auto found = connections_.find(socket);
    if (found == connections_.end()) return;
    ConnectionState& connection = found->second;
    --running_;
    --connection.running_statements;
    EndpointAnswer answer = command.access == AccessMode::kWrite
                                ? RunWrite(command, connection)
                                : RunRead(command, connection);
    answer.run_time = run_time;
    Reply(socket, answer);
  });
}

EndpointAnswer EndpointServer::RunRead(const EndpointCommand& command,
                                       const ConnectionState& connection) {
  if (command.term < replication_.term() && !command.max_age) {
    return MakeAnswer(command, EndpointStatus::kStaleTerm);
  }
  if (!command.max_age && !replication_.is_primary()) {
    return MakeAnswer(command, EndpointStatus::kNotPrimary);
  }
  const bool too_old = command.max_age && replication_.Age() > *command.max_age;
  if (too_old || !state_.HasReached(command.min_position)) {
    return MakeAnswer(command, EndpointStatus::kBehind);
  }
  EndpointAnswer answer = MakeAnswer(command, EndpointStatus::kOk);
  const nlohmann::json parameters =
      nlohmann::json::parse(command.parameters, nullptr, false);
  if (command.statement == "get") {
    answer.payload =
        ReadWithPendingChanges(KeyOf(parameters), connection).dump();
  } else if (command.statement == "report") {
    answer.payload = nlohmann::json(state_.values().size()).dump();
  } else {
    answer.status = EndpointStatus::kError;
    answer.payload = "unknown statement";
  }
  return answer;
}

EndpointAnswer EndpointServer::RunWrite(const EndpointCommand& command,
                                        ConnectionState& connection) {
  EndpointAnswer answer;
  if (!CheckTermAndRole(command, answer)) return answer;
  if (!connection.in_transaction && IsDecidedByRequestId(command, answer)) {
    return answer;
  }
  const nlohmann::json parameters =
      nlohmann::json::parse(command.parameters, nullptr, false);
  const std::string key = KeyOf(parameters);
  if (parameters.size() < 2 || key.empty()) {
    answer = MakeAnswer(command, EndpointStatus::kError);
    answer.payload = "expected [key, value]";
    return answer;
  }
  const bool claim = command.statement == "claim";
  if (claim && !ReadWithPendingChanges(key, connection).is_null()) {
    answer = MakeAnswer(command, EndpointStatus::kConflict);
    answer.payload = nlohmann::json("already claimed").dump();
    return answer;
  }
  const Change change{claim ? "put" : command.statement, key, parameters[1]};
  if (connection.in_transaction) {
    connection.pending_changes.push_back(change);
    if (claim) connection.claimed_keys.insert(key);
    return MakeAnswer(command, EndpointStatus::kOk);
  }
  LogEntry entry;
  entry.changes = {change};
  entry.request_id = command.id.value;
  entry.outcome = nlohmann::json("done").dump();
  replication_.Append(std::move(entry));
  answer = MakeAnswer(command, EndpointStatus::kOk);
  answer.payload = nlohmann::json("done").dump();
  return answer;
}

EndpointAnswer EndpointServer::Commit(const EndpointCommand& command,
                                      ConnectionState& connection) {
  EndpointAnswer answer;
  if (!CheckTermAndRole(command, answer) ||
      IsDecidedByRequestId(command, answer)) {
    connection.in_transaction = false;
    return answer;
  }
  const auto exists = [this](const std::string& key) {
    return !state_.Read(key).is_null();
  };
  if (!connection.in_transaction) {
    return MakeAnswer(command, EndpointStatus::kError);
  }
  connection.in_transaction = false;
  const bool conflict = std::any_of(connection.claimed_keys.begin(),
                                    connection.claimed_keys.end(), exists);
  LogEntry entry;
  if (!conflict) entry.changes = std::move(connection.pending_changes);
  connection.pending_changes.clear();
  connection.claimed_keys.clear();
  if (conflict) return MakeAnswer(command, EndpointStatus::kConflict);
  entry.request_id = command.id.value;
  entry.outcome = nlohmann::json("committed").dump();
  replication_.Append(std::move(entry));
  answer = MakeAnswer(command, EndpointStatus::kOk);
  answer.payload = nlohmann::json("committed").dump();
  return answer;
}

EndpointAnswer EndpointServer::Resolve(const EndpointCommand& command) {
  EndpointAnswer answer;
  if (!CheckTermAndRole(command, answer)) return answer;
  const RequestRecord record = state_.FindRecord(command.id.value);
  if (!record.ran && (!record.cancelled_attempt ||
                      *record.cancelled_attempt < command.id.attempt)) {
    LogEntry marker;
    marker.request_id = command.id.value;
    marker.cancelled_attempt = command.id.attempt;
    replication_.Append(std::move(marker));
  }
  answer = MakeAnswer(command, EndpointStatus::kOk);
  answer.ran = record.ran;
  answer.payload = record.outcome;
  return answer;
}

EndpointAnswer EndpointServer::Control(const EndpointCommand& command) {
  switch (command.operation) {
    case EndpointOperation::kFence:
      switch (replication_.Fence(command.term, command.candidate)) {
        case Replication::FenceResult::kGranted:
          return MakeAnswer(command, EndpointStatus::kOk);
        case Replication::FenceResult::kStale:
          return MakeAnswer(command, EndpointStatus::kStaleTerm);
        case Replication::FenceResult::kRefused:
          return MakeAnswer(command, EndpointStatus::kRefused);
      }
      break;
    case EndpointOperation::kPromote:
      return MakeAnswer(command,
                        replication_.Promote(command.term, command.candidate)
                            ? EndpointStatus::kOk
                            : EndpointStatus::kRefused);
    case EndpointOperation::kFollow:
      return MakeAnswer(command,
                        replication_.Follow(command.term, command.primary)
                            ? EndpointStatus::kOk
                            : EndpointStatus::kStaleTerm);
    default:
      break;
  }
  return MakeAnswer(command, EndpointStatus::kOk);
}

bool EndpointServer::IsDecidedByRequestId(const EndpointCommand& command,
                                          EndpointAnswer& answer) {
  if (command.id.value.empty()) return false;
  const RequestRecord record = state_.FindRecord(command.id.value);
  if (record.ran) {
    answer = MakeAnswer(command, EndpointStatus::kDuplicate);
    answer.payload = record.outcome;
    return true;
  }
  if (record.cancelled_attempt &&
      command.id.attempt <= *record.cancelled_attempt) {
    answer = MakeAnswer(command, EndpointStatus::kCancelled);
    answer.payload = nlohmann::json(*record.cancelled_attempt).dump();
    return true;
  }
  return false;
}

bool EndpointServer::CheckTermAndRole(const EndpointCommand& command,
                                      EndpointAnswer& answer) const {
  if (command.term < replication_.term()) {
    answer = MakeAnswer(command, EndpointStatus::kStaleTerm);
    return false;
  }
  if (!replication_.is_primary() || command.term > replication_.term()) {
    answer = MakeAnswer(command, EndpointStatus::kNotPrimary);
    return false;
  }
  return true;
}

EndpointAnswer EndpointServer::MakeAnswer(const EndpointCommand& command,
                                          EndpointStatus status) const {
  EndpointAnswer answer;
  answer.correlation = command.correlation;
  answer.status = status;
  answer.term = replication_.term();
  answer.role = replication_.is_primary() ? EndpointRole::kPrimary
                                          : EndpointRole::kReplica;
  answer.position = state_.last_position();
  answer.age = replication_.Age();
  answer.leaving = leaving_;
  answer.primary = replication_.primary();
  return answer;
}

void EndpointServer::Reply(const Socket& socket, const EndpointAnswer& answer) {
  const auto found = connections_.find(socket);
  if (found == connections_.end() || found->second.silent) return;
  socket->Send(EncodeEndpointAnswer(answer));
}

nlohmann::json EndpointServer::ReadWithPendingChanges(
    const std::string& key, const ConnectionState& connection) const {
  nlohmann::json value = state_.Read(key);
  for (const Change& change : connection.pending_changes) {
    if (change.key == key) ApplyChange(change, value);
  }
  return value;
}

void EndpointServer::OnRequest(const HttpRequest& request,
                               HttpResponder respond) {
  try {
    if (request.path == "/faults") SetFaults(ParseJsonObject(request.body));
  } catch (const DecodeError& error) {
    respond({400, "text/plain", "", error.what()});
    return;
  }
  const nlohmann::json status = {
      {"name", options_.name},
      {"term", replication_.term()},
      {"primary", replication_.is_primary()},
      {"term_of_last_entry", state_.last_position().term},
      {"index", state_.last_index()},
      {"connections", connections_.size()},
      {"max_running", max_running_},
      {"refused_busy", refused_busy_},
      {"executed", executed_}};
  if (request.path == "/values") {
    respond(
        {200, "application/json", "", nlohmann::json(state_.values()).dump()});
    return;
  }
  respond({200, "application/json", "", status.dump()});
}

void EndpointServer::SetFaults(const nlohmann::json& faults) {
  if (faults.contains("cut")) {
    replication_.set_partitioned(OptionalBool(faults, "cut", false));
  }
  if (OptionalBool(faults, "silent", false)) {
    for (auto& [socket, connection] : connections_) {
      connection.silent = !connection.is_replication_link;
    }
  }
  leaving_ = OptionalBool(faults, "leaving", leaving_);
  if (faults.contains("lag_ms")) {
    replication_.set_lag(milliseconds(RequiredNumber(faults, "lag_ms")));
  }
  if (faults.contains("link_delay_us")) {
    replication_.set_link_delay(
        Duration(RequiredNumber(faults, "link_delay_us")));
  }
  if (faults.contains("statement_us")) {
    statement_run_time_ = Duration(RequiredNumber(faults, "statement_us"));
  }
  if (faults.contains("crash_ms")) {
    Crash(milliseconds(RequiredNumber(faults, "crash_ms")));
  }
  if (faults.contains("frozen")) {
    frozen_ = OptionalBool(faults, "frozen", false);
    replication_.set_frozen(frozen_);
    if (!frozen_) {
      for (const auto& [socket, text] : std::exchange(frozen_messages_, {})) {
        if (connections_.contains(socket)) HandleMessage(socket, text);
      }
    }
  }
}

// Closes all connections but keeps the log, as a database on disk does.
void EndpointServer::Crash(Duration downtime) {
  crashed_ = true;
  replication_.set_frozen(true);
  for (auto& [socket, connection] : connections_) socket->Abort();
  connections_.clear();
  running_ = 0;
  loop_.RunAfter(downtime, [this] {
    crashed_ = false;
    replication_.set_frozen(frozen_);
  });
}

}  // namespace carawayhaven::standins
