#ifndef CARAWAYHAVEN_NET_STREAM_CONNECTION_H_
#define CARAWAYHAVEN_NET_STREAM_CONNECTION_H_

#include <cstddef>
#include <memory>
#include <string>
#include <string_view>

#include "core/limits/memory_budget.h"

struct lws;

namespace carawayhaven {

class StreamEvents;
class StreamTransport;

/// A TCP connection. All bytes sent in a round of the loop are combined into
/// one write at the end of the round. The connection keeps itself alive until
/// its socket is closed. Not thread-safe.
class StreamConnection : public MemoryHolder,
                         public std::enable_shared_from_this<StreamConnection> {
 public:
  /// Send refuses bytes if the unsent ones would exceed this limit, so that a
  /// peer that does not read cannot exhaust the memory.
  static constexpr std::size_t kMaxBacklogBytes = 4 * 1024 * 1024;

  explicit StreamConnection(StreamTransport& transport);

  /// Sets the receiver of the events, or null for none. The receiver must
  /// outlive the connection, or null must be set before the receiver is
  /// destroyed.
  void SetEvents(StreamEvents* events) { events_ = events; }

  /// Queues bytes. Returns false, and sends no byte of them, if the connection
  /// is not open or its backlog is full.
  bool Send(std::string_view bytes);

  /// Closes the connection after all queued bytes are sent. No event follows.
  /// The bytes count in `budget` until then, unless it is null.
  void CloseAfterSend(MemoryBudget* budget = nullptr);
  /// Closes the connection without sending the queued bytes. No event follows.
  void Abort();

  bool connected() const { return connected_; }

  /// Starts or stops reading; bytes that arrive meanwhile stay in the socket.
  void SetReading(bool reading) override;

  /// Number of queued bytes that were not written to the socket.
  std::size_t unsent_bytes() const { return send_buffer_.size() - sent_; }

  /// True if bytes of the peer have arrived that were not delivered yet.
  bool HasUnreadBytes() const;

 private:
  friend class StreamTransport;

  /// Closes the connection while the last queued bytes are sent.
  void CloseForMemory() override;

  /// Called by StreamTransport only, from the callbacks of the socket. If one
  /// returns false, the socket is closed.
  bool Attach(lws* wsi);
  bool HandleReceive(std::string_view bytes);
  bool HandleWritable();
  /// Calls HandleClose and Discard.
  template <typename Connection>
  friend void ReleaseConnection(lws* wsi);
  void HandleClose();
  void Discard();
  /// Closes the socket at once, or at the end of the callback that runs for it.
  void CloseSocket();
  bool Flush();
  /// Sends the queued bytes; returns false if the socket is to be closed.
  bool Write();
  /// Writes queued bytes until the socket takes no more; returns false on an
  /// error.
  bool WriteQueued();

  StreamTransport& transport_;
  StreamEvents* events_ = nullptr;
  lws* wsi_ = nullptr;
  std::string send_buffer_;
  /// Number of bytes at the start of the buffer that were written.
  std::size_t sent_ = 0;
  bool reading_ = true;
  bool connected_ = false;
  bool closed_ = false;
  bool closing_ = false;
  bool flush_pending_ = false;
  /// A callback of the socket runs, in which libwebsockets must not close it.
  bool in_callback_ = false;
  bool close_after_callback_ = false;
  std::shared_ptr<StreamConnection> self_;
  /// Counts the bytes that remain to be sent after CloseAfterSend.
  std::unique_ptr<MemoryBudget::Account> closing_account_;
};

}  // namespace carawayhaven

#endif  // CARAWAYHAVEN_NET_STREAM_CONNECTION_H_
