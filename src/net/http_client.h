#ifndef CARAWAYHAVEN_NET_HTTP_CLIENT_H_
#define CARAWAYHAVEN_NET_HTTP_CLIENT_H_

#include <libwebsockets.h>

#include <array>
#include <functional>
#include <string>

#include "carawayhaven/time.h"
#include "net/http_server.h"

namespace carawayhaven {

class EventLoop;

/// Receives the response. Status 0 means that there was no complete response;
/// the request may have taken effect nevertheless.
using HttpResponseCallback = std::function<void(const HttpResponse&)>;

/// Sends HTTP/1.1 requests. Must outlive the last round of the loop. Not
/// thread-safe.
class HttpClient {
 public:
  explicit HttpClient(EventLoop& loop);
  HttpClient(const HttpClient&) = delete;
  HttpClient& operator=(const HttpClient&) = delete;

  /// Sends the request to `address` ("IP:port"). `done` is called exactly once,
  /// from the loop, shortly after `timeout` at the latest. It is not called if
  /// the loop is destroyed before.
  void Send(const std::string& address, HttpRequest request, Duration timeout,
            HttpResponseCallback done);

 private:
  struct Exchange;

  static void DiscardOnClose(lws* wsi);
  static int HandleEvent(lws* wsi, lws_callback_reasons reason, void* user,
                         void* in, size_t length);

  EventLoop& loop_;
  std::array<lws_protocols, 2> protocols_;
  lws_vhost* vhost_ = nullptr;
};

}  // namespace carawayhaven

#endif  // CARAWAYHAVEN_NET_HTTP_CLIENT_H_
