#ifndef CARAWAYHAVEN_NET_HTTP_SERVER_H_
#define CARAWAYHAVEN_NET_HTTP_SERVER_H_

#include <libwebsockets.h>

#include <array>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace carawayhaven {

class EventLoop;

struct HttpRequest {
  /// "GET", "PUT", "POST" or "DELETE".
  std::string method;
  /// Path without the query string.
  std::string path;
  /// Query string without the question mark, not decoded.
  std::string query;
  /// Value of the If-Match header without quotes; empty if absent.
  std::string if_match;
  /// Token of an "Authorization: Bearer" header; empty if absent.
  std::string bearer_token;
  std::string body;
  /// Client only: additional headers. Names are in lower case and end with a
  /// colon.
  std::vector<std::pair<std::string, std::string>> headers = {};
  /// Client only: names, in the same form, of the headers to read from the
  /// response.
  std::vector<std::string> response_headers = {};
};

struct HttpResponse {
  int status = 200;
  std::string content_type = "application/json";
  /// Value of the ETag header without quotes; no such header is sent if empty.
  std::string etag;
  std::string body;
  /// Additional headers. Names are in lower case and end with a colon. The
  /// client reads those that the request names, if they are present.
  std::vector<std::pair<std::string, std::string>> headers = {};
};

/// Completes a request with a response. May be called from within OnRequest, or
/// later from the loop. Only the first call has an effect; it is ignored if the
/// client has disconnected.
using HttpResponder = std::function<void(const HttpResponse&)>;

class HttpHandler {
 public:
  virtual ~HttpHandler() = default;

  virtual void OnRequest(const HttpRequest& request,
                         HttpResponder responder) = 0;
};

/// Serves HTTP/1.1 on a port. Must outlive the last round of the loop. Not
/// thread-safe.
class HttpServer {
 public:
  /// Longer request bodies are refused with status 413.
  static constexpr std::size_t kMaxBodyBytes = 1024 * 1024;

  /// `handler` must outlive the server. Throws NetworkError if listening on the
  /// port fails.
  HttpServer(EventLoop& loop, const std::string& ip, std::uint16_t port,
             HttpHandler& handler);
  HttpServer(const HttpServer&) = delete;
  HttpServer& operator=(const HttpServer&) = delete;

 private:
  struct Exchange;

  static int HandleEvent(lws* wsi, lws_callback_reasons reason, void* user,
                         void* in, size_t length);
  static int StartExchange(lws* wsi, std::string_view path);
  static void Dispatch(lws* wsi, Exchange& exchange);
  static int WriteHeaders(lws* wsi, Exchange& exchange);
  static int WriteBody(lws* wsi, Exchange& exchange);

  HttpHandler& handler_;
  std::array<lws_protocols, 2> protocols_;
  /// libwebsockets keeps a pointer to this string.
  std::string vhost_name_;
};

}  // namespace carawayhaven

#endif  // CARAWAYHAVEN_NET_HTTP_SERVER_H_
