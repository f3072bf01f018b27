#include "net/http_server.h"

#include <algorithm>
#include <charconv>
#include <cstdint>
#include <cstring>
#include <memory>
#include <utility>
#include <vector>

#include "carawayhaven/error_messages.h"
#include "carawayhaven/exceptions.h"
#include "net/event_loop.h"

namespace carawayhaven {
namespace {

constexpr size_t kHeaderBufferBytes = 2048;
constexpr size_t kWriteChunkBytes = 32 * 1024;
constexpr char kBearerPrefix[] = "Bearer ";

std::string ReadHeader(lws* wsi, lws_token_indexes token) {
  const int length = lws_hdr_total_length(wsi, token);
  if (length <= 0) return {};
  std::string value(static_cast<size_t>(length) + 1, '\0');
  if (lws_hdr_copy(wsi, value.data(), length + 1, token) < 0) return {};
  value.resize(static_cast<size_t>(length));
  return value;
}

std::string StripQuotes(std::string value) {
  if (value.size() >= 2 && value.front() == '"' && value.back() == '"') {
    return value.substr(1, value.size() - 2);
  }
  return value;
}

const char* MethodName(int method) {
  switch (method) {
    case LWSHUMETH_GET:
      return "GET";
    case LWSHUMETH_POST:
      return "POST";
    case LWSHUMETH_PUT:
      return "PUT";
    case LWSHUMETH_DELETE:
      return "DELETE";
    default:
      return "";
  }
}

}  // namespace

// A request and its response. `self` keeps the exchange alive until its socket
// is closed or receives the next request. A responder has only a weak
// reference, so it may outlive the connection.
struct HttpServer::Exchange : std::enable_shared_from_this<Exchange> {
  lws* wsi = nullptr;
  HttpRequest request;
  HttpResponse response;
  bool handled = false;
  bool answered = false;
  bool headers_sent = false;
  size_t sent_bytes = 0;
  std::shared_ptr<Exchange> self;

  void Respond(const HttpResponse& answer) {
    if (answered) return;
    answered = true;
    response = answer;
    if (wsi != nullptr) lws_callback_on_writable(wsi);
  }
};

HttpServer::HttpServer(EventLoop& loop, const std::string& ip,
                       std::uint16_t port, HttpHandler& handler)
    : handler_(handler),
      protocols_{{{"http", &HttpServer::HandleEvent, 0, 0, 0, this, 0},
                  {nullptr, nullptr, 0, 0, 0, nullptr, 0}}} {
  lws_context_creation_info info{};
  info.port = port;
  info.iface = ip.c_str();
  info.protocols = protocols_.data();
  vhost_name_ = "http-" + std::to_string(port);
  info.vhost_name = vhost_name_.c_str();
  info.options = LWS_SERVER_OPTION_FAIL_UPON_UNABLE_TO_BIND;
  if (lws_create_vhost(loop.context(), &info) == nullptr) {
    throw NetworkError(error_messages::kListenFailed + std::to_string(port));
  }
}

int HttpServer::HandleEvent(lws* wsi, lws_callback_reasons reason,
                            void* /*user*/, void* in, size_t length) {
  auto* exchange = static_cast<Exchange*>(lws_get_opaque_user_data(wsi));
  switch (reason) {
    case LWS_CALLBACK_HTTP:
      return StartExchange(wsi, static_cast<const char*>(in));
    case LWS_CALLBACK_HTTP_BODY:
      if (exchange == nullptr) return -1;
      exchange->request.body.append(static_cast<const char*>(in), length);
      if (exchange->request.body.size() > kMaxBodyBytes) {
        exchange->request.body.clear();
        exchange->handled = true;
        exchange->Respond(
            {413, "application/json", "", R"({"error":"body exceeds 1 MiB"})"});
      }
      return 0;
    case LWS_CALLBACK_HTTP_BODY_COMPLETION:
      if (exchange != nullptr) Dispatch(wsi, *exchange);
      return 0;
    case LWS_CALLBACK_HTTP_WRITEABLE:
      if (exchange == nullptr || !exchange->answered) return 0;
      return exchange->headers_sent ? WriteBody(wsi, *exchange)
                                    : WriteHeaders(wsi, *exchange);
    case LWS_CALLBACK_CLOSED_HTTP:
    case LWS_CALLBACK_WSI_DESTROY:
      if (exchange != nullptr) {
        lws_set_opaque_user_data(wsi, nullptr);
        exchange->wsi = nullptr;
        exchange->self.reset();
      }
      return 0;
    default:
      return 0;
  }
}

int HttpServer::StartExchange(lws* wsi, std::string_view path) {
  auto* previous = static_cast<Exchange*>(lws_get_opaque_user_data(wsi));
  if (previous != nullptr) previous->self.reset();
  auto exchange = std::make_shared<Exchange>();
  exchange->self = exchange;
  exchange->wsi = wsi;
  lws_set_opaque_user_data(wsi, exchange.get());
  HttpRequest& request = exchange->request;
  char* uri = nullptr;
  int uri_length = 0;
  request.method =
      MethodName(lws_http_get_uri_and_method(wsi, &uri, &uri_length));
  request.path = path;
  request.query = ReadHeader(wsi, WSI_TOKEN_HTTP_URI_ARGS);
  request.if_match = StripQuotes(ReadHeader(wsi, WSI_TOKEN_HTTP_IF_MATCH));
  const std::string authorization =
      ReadHeader(wsi, WSI_TOKEN_HTTP_AUTHORIZATION);
  if (authorization.rfind(kBearerPrefix, 0) == 0) {
    request.bearer_token = authorization.substr(sizeof(kBearerPrefix) - 1);
  }
  // A response may come much later than the default timeout of libwebsockets
  // allows.
  lws_set_timeout(wsi, NO_PENDING_TIMEOUT, 0);
  const bool has_body = request.method == "PUT" || request.method == "POST";
  const std::string length = ReadHeader(wsi, WSI_TOKEN_HTTP_CONTENT_LENGTH);
  // libwebsockets reports no end of an empty body, nor of one whose length is
  // not a number.
  std::uint64_t body_bytes = 0;
  std::from_chars(length.data(), length.data() + length.size(), body_bytes);
  if (!has_body || body_bytes == 0) Dispatch(wsi, *exchange);
  return 0;
}

void HttpServer::Dispatch(lws* wsi, Exchange& exchange) {
  if (exchange.handled) return;
  exchange.handled = true;
  auto* server = static_cast<HttpServer*>(lws_get_protocol(wsi)->user);
  const std::weak_ptr<Exchange> weak = exchange.weak_from_this();
  server->handler_.OnRequest(exchange.request,
                             [weak](const HttpResponse& response) {
                               if (auto alive = weak.lock()) {
                                 alive->Respond(response);
                               }
                             });
}

int HttpServer::WriteHeaders(lws* wsi, Exchange& exchange) {
  std::array<unsigned char, LWS_PRE + kHeaderBufferBytes> buffer{};
  unsigned char* start = buffer.data() + LWS_PRE;
  unsigned char* position = start;
  unsigned char* end = buffer.data() + buffer.size() - 1;
  const HttpResponse& response = exchange.response;
  if (lws_add_http_common_headers(wsi, static_cast<unsigned>(response.status),
                                  response.content_type.c_str(),
                                  response.body.size(), &position, end) != 0) {
    return -1;
  }
  if (!response.etag.empty()) {
    const std::string quoted = '"' + response.etag + '"';
    if (lws_add_http_header_by_token(
            wsi, WSI_TOKEN_HTTP_ETAG,
            reinterpret_cast<const unsigned char*>(quoted.data()),
            static_cast<int>(quoted.size()), &position, end) != 0) {
      return -1;
    }
  }
  for (const auto& [name, value] : response.headers) {
    if (lws_add_http_header_by_name(
            wsi, reinterpret_cast<const unsigned char*>(name.c_str()),
            reinterpret_cast<const unsigned char*>(value.data()),
            static_cast<int>(value.size()), &position, end) != 0) {
      return -1;
    }
  }
  if (lws_finalize_write_http_header(wsi, start, &position, end) != 0) {
    return -1;
  }
  exchange.headers_sent = true;
  if (response.body.empty()) {
    return lws_http_transaction_completed(wsi) != 0 ? -1 : 0;
  }
  lws_callback_on_writable(wsi);
  return 0;
}

int HttpServer::WriteBody(lws* wsi, Exchange& exchange) {
  const std::string& body = exchange.response.body;
  if (exchange.sent_bytes >= body.size()) return 0;
  const size_t chunk =
      std::min(kWriteChunkBytes, body.size() - exchange.sent_bytes);
  std::vector<unsigned char> buffer(LWS_PRE + chunk);
  std::memcpy(buffer.data() + LWS_PRE, body.data() + exchange.sent_bytes,
              chunk);
  exchange.sent_bytes += chunk;
  const bool last = exchange.sent_bytes == body.size();
  if (lws_write(wsi, buffer.data() + LWS_PRE, chunk,
                last ? LWS_WRITE_HTTP_FINAL : LWS_WRITE_HTTP) < 0) {
    return -1;
  }
  if (last) return lws_http_transaction_completed(wsi) != 0 ? -1 : 0;
  lws_callback_on_writable(wsi);
  return 0;
}

}  // namespace carawayhaven
