#include "net/endpoint_connector.h"

#include "carawayhaven/exceptions.h"
#include "core/endpoint_answer.h"
#include "core/endpoint_command.h"
#include "net/event_loop.h"
#include "wire/endpoint_codec.h"

namespace carawayhaven {

EndpointConnector::EndpointConnector(EventLoop& loop) : client_(loop) {}

EndpointConnector::~EndpointConnector() {
  for (auto& [id, entry] : entries_) entry.socket->Abort();
}

ConnectionId EndpointConnector::Open(std::string_view address,
                                     EndpointEvents& events) {
  const ConnectionId id = next_id_++;
  std::shared_ptr<WebSocketConnection> socket = client_.Connect(address, *this);
  ids_by_socket_.emplace(socket.get(), id);
  entries_.emplace(id, Entry{std::move(socket), &events, false});
  return id;
}

bool EndpointConnector::Send(ConnectionId connection,
                             const EndpointCommand& command) {
  const auto found = entries_.find(connection);
  if (found == entries_.end() || !found->second.open) return false;
  try {
    found->second.socket->Send(EncodeEndpointCommand(command));
  } catch (const Error&) {
    // The command contains text that is not UTF-8, from a faulty peer, and
    // cannot be encoded as JSON.
    return false;
  }
  return true;
}

void EndpointConnector::Close(ConnectionId connection) {
  const auto found = entries_.find(connection);
  if (found == entries_.end()) return;
  found->second.socket->Abort();
  ids_by_socket_.erase(found->second.socket.get());
  entries_.erase(found);
}

void EndpointConnector::OnOpen(
    const std::shared_ptr<WebSocketConnection>& socket) {
  const auto id = ids_by_socket_.find(socket.get());
  if (id == ids_by_socket_.end()) return;
  Entry& entry = entries_.at(id->second);
  entry.open = true;
  entry.events->OnConnectionOpened(id->second, EventLoop::Now());
}

// A malformed answer closes its connection, since it is unknown which command
// it answers and with what outcome.
void EndpointConnector::OnMessage(
    const std::shared_ptr<WebSocketConnection>& socket,
    std::string_view message) {
  const auto id = ids_by_socket_.find(socket.get());
  if (id == ids_by_socket_.end()) return;
  EndpointEvents& events = *entries_.at(id->second).events;
  try {
    const EndpointAnswer answer = DecodeEndpointAnswer(message);
    events.OnAnswer(id->second, answer, EventLoop::Now());
  } catch (const DecodeError&) {
    ++malformed_answers_;
    socket->CloseAfterSend();
  }
}

void EndpointConnector::OnClose(
    const std::shared_ptr<WebSocketConnection>& socket) {
  const auto found = ids_by_socket_.find(socket.get());
  if (found == ids_by_socket_.end()) return;
  const ConnectionId id = found->second;
  EndpointEvents& events = *entries_.at(id).events;
  ids_by_socket_.erase(found);
  entries_.erase(id);
  events.OnConnectionClosed(id, EventLoop::Now());
}

}  // namespace carawayhaven
