#include "net/http_client.h"

#include <sys/socket.h>

#include <algorithm>
#include <cstring>
#include <memory>
#include <utility>
#include <vector>

#include "carawayhaven/error_messages.h"
#include "carawayhaven/exceptions.h"
#include "net/address.h"
#include "net/event_loop.h"

namespace carawayhaven {
namespace {

constexpr char kProtocolName[] = "http-client";
constexpr size_t kReadBufferBytes = 4096;
constexpr size_t kWriteChunkBytes = 4096;
// Delay after which the timeout of libwebsockets is disabled. By then the
// request has normally been sent; otherwise the network is unreachable.
constexpr Duration kTimeoutOverrideDelay = std::chrono::seconds(2);

}  // namespace

// A request and its response. `self` keeps the exchange alive until its socket
// is destroyed.
struct HttpClient::Exchange : std::enable_shared_from_this<Exchange> {
  lws* wsi = nullptr;
  HttpRequest request;
  HttpResponse response;
  HttpResponseCallback done;
  size_t written_bytes = 0;
  bool complete = false;
  std::shared_ptr<Exchange> self;

  // Calls the callback unless it has been called. Without a complete response,
  // the status is 0.
  void InvokeCallback() {
    if (done == nullptr) return;
    if (!complete) response = HttpResponse{0, "", "", ""};
    std::exchange(done, nullptr)(response);
  }

  bool AppendHeaders(unsigned char** position, unsigned char* end) const {
    const auto add = [&](const char* name, const std::string& value) {
      return lws_add_http_header_by_name(
                 wsi, reinterpret_cast<const unsigned char*>(name),
                 reinterpret_cast<const unsigned char*>(value.data()),
                 static_cast<int>(value.size()), position, end) == 0;
    };
    const bool has_body = request.method == "PUT" || request.method == "POST";
    if (has_body &&
        !add("content-length:", std::to_string(request.body.size()))) {
      return false;
    }
    if (!request.if_match.empty() &&
        !add("if-match:", '"' + request.if_match + '"')) {
      return false;
    }
    for (const auto& [name, value] : request.headers) {
      if (!add(name.c_str(), value)) return false;
    }
    return request.bearer_token.empty() ||
           add("authorization:", "Bearer " + request.bearer_token);
  }

  void ReadEtag() {
    std::array<char, 64> value{};
    if (lws_hdr_copy(wsi, value.data(), value.size(), WSI_TOKEN_HTTP_ETAG) <=
        2) {
      return;
    }
    const std::string_view quoted(value.data());
    response.etag = quoted.substr(1, quoted.size() - 2);
  }

  void ReadHeaders() {
    for (const std::string& name : request.response_headers) {
      const int name_length = static_cast<int>(name.size());
      const int length = lws_hdr_custom_length(wsi, name.c_str(), name_length);
      if (length < 0) continue;
      std::string value(static_cast<size_t>(length) + 1, '\0');
      if (lws_hdr_custom_copy(wsi, value.data(), length + 1, name.c_str(),
                              name_length) < 0) {
        continue;
      }
      value.resize(static_cast<size_t>(length));
      response.headers.emplace_back(name, std::move(value));
    }
  }

  // Writes the next chunk of the body. When a body of 100 KB was written in one
  // call, 8 of 360 requests on a busy machine ended without a response.
  int WriteBodyChunk() {
    const size_t chunk =
        std::min(kWriteChunkBytes, request.body.size() - written_bytes);
    const bool last = written_bytes + chunk == request.body.size();
    std::vector<unsigned char> buffer(LWS_PRE + chunk);
    std::memcpy(buffer.data() + LWS_PRE, request.body.data() + written_bytes,
                chunk);
    written_bytes += chunk;
    if (last) lws_client_http_body_pending(wsi, 0);
    if (lws_write(wsi, buffer.data() + LWS_PRE, chunk,
                  last ? LWS_WRITE_HTTP_FINAL : LWS_WRITE_HTTP) < 0) {
      return -1;
    }
    if (!last) lws_callback_on_writable(wsi);
    return 0;
  }

  int ReadResponseBody() {
    std::array<char, LWS_PRE + kReadBufferBytes> buffer{};
    char* start = buffer.data() + LWS_PRE;
    int length = kReadBufferBytes;
    return lws_http_client_read(wsi, &start, &length) < 0 ? -1 : 0;
  }
};

HttpClient::HttpClient(EventLoop& loop)
    : loop_(loop),
      protocols_{{{kProtocolName, &HttpClient::HandleEvent, 0, 0, 0, this, 0},
                  {nullptr, nullptr, 0, 0, 0, nullptr, 0}}} {
  lws_context_creation_info info{};
  info.port = CONTEXT_PORT_NO_LISTEN;
  info.protocols = protocols_.data();
  info.vhost_name = kProtocolName;
  vhost_ = lws_create_vhost(loop.context(), &info);
  if (vhost_ == nullptr) throw NetworkError(error_messages::kEventLoopFailed);
}

// Discards what the kernel has not delivered: a request that was given up must
// not arrive behind a later one.
void HttpClient::DiscardOnClose(lws* wsi) {
  const linger discard{1, 0};
  setsockopt(lws_get_socket_fd(wsi), SOL_SOCKET, SO_LINGER, &discard,
             sizeof(discard));
}

void HttpClient::Send(const std::string& address_text, HttpRequest request,
                      Duration timeout, HttpResponseCallback done) {
  auto exchange = std::make_shared<Exchange>();
  exchange->request = std::move(request);
  exchange->done = std::move(done);
  loop_.Post([this, exchange, address_text] {
    const std::optional<Address> address = TryParseAddress(address_text);
    if (!address) {
      exchange->InvokeCallback();
      return;
    }
    std::string path = exchange->request.path;
    if (!exchange->request.query.empty()) path += '?' + exchange->request.query;
    lws_client_connect_info info{};
    info.context = loop_.context();
    info.vhost = vhost_;
    info.address = address->ip.c_str();
    info.host = info.address;
    info.origin = info.address;
    info.port = address->port;
    info.path = path.c_str();
    info.method = exchange->request.method.c_str();
    info.protocol = kProtocolName;
    info.local_protocol_name = kProtocolName;
    info.opaque_user_data = exchange.get();
    info.pwsi = &exchange->wsi;
    exchange->self = exchange;
    if (lws_client_connect_via_info(&info) == nullptr) {
      exchange->self.reset();
      exchange->InvokeCallback();
    }
  });
  // libwebsockets has a timeout of its own for requests without a response,
  // which ended watches after a few seconds. It is disabled here; the timer
  // below enforces `timeout` instead.
  loop_.RunAfter(kTimeoutOverrideDelay,
                 [weak = std::weak_ptr<Exchange>(exchange)] {
                   const std::shared_ptr<Exchange> alive = weak.lock();
                   if (alive != nullptr && alive->wsi != nullptr) {
                     lws_set_timeout(alive->wsi, NO_PENDING_TIMEOUT, 0);
                   }
                 });
  loop_.RunAfter(timeout, [weak = std::weak_ptr<Exchange>(exchange)] {
    const std::shared_ptr<Exchange> alive = weak.lock();
    if (alive == nullptr || alive->done == nullptr) return;
    if (alive->wsi != nullptr) {
      DiscardOnClose(alive->wsi);
      lws_set_timeout(alive->wsi, PENDING_TIMEOUT_USER_OK, LWS_TO_KILL_ASYNC);
    }
    alive->InvokeCallback();
  });
}

int HttpClient::HandleEvent(lws* wsi, lws_callback_reasons reason,
                            void* /*user*/, void* in, size_t length) {
  auto* exchange = static_cast<Exchange*>(lws_get_opaque_user_data(wsi));
  if (exchange == nullptr) return 0;
  exchange->wsi = wsi;
  switch (reason) {
    case LWS_CALLBACK_CLIENT_APPEND_HANDSHAKE_HEADER: {
      auto** position = static_cast<unsigned char**>(in);
      if (!exchange->AppendHeaders(position, *position + length)) return -1;
      if (!exchange->request.body.empty()) {
        lws_client_http_body_pending(wsi, 1);
        lws_callback_on_writable(wsi);
      }
      return 0;
    }
    case LWS_CALLBACK_CLIENT_HTTP_WRITEABLE:
      if (exchange->written_bytes == exchange->request.body.size()) return 0;
      return exchange->WriteBodyChunk();
    case LWS_CALLBACK_ESTABLISHED_CLIENT_HTTP:
      exchange->response.status =
          static_cast<int>(lws_http_client_http_response(wsi));
      exchange->ReadEtag();
      exchange->ReadHeaders();
      // The response to a watch may come late; Send enforces its own timeout.
      lws_set_timeout(wsi, NO_PENDING_TIMEOUT, 0);
      return 0;
    case LWS_CALLBACK_RECEIVE_CLIENT_HTTP:
      return exchange->ReadResponseBody();
    case LWS_CALLBACK_RECEIVE_CLIENT_HTTP_READ:
      exchange->response.body.append(static_cast<const char*>(in), length);
      return exchange->response.body.size() > 16 * HttpServer::kMaxBodyBytes
                 ? -1
                 : 0;
    case LWS_CALLBACK_COMPLETED_CLIENT_HTTP:
      exchange->complete = true;
      exchange->InvokeCallback();
      return 0;
    case LWS_CALLBACK_CLIENT_CONNECTION_ERROR:
    case LWS_CALLBACK_CLOSED_CLIENT_HTTP:
    case LWS_CALLBACK_WSI_DESTROY: {
      lws_set_opaque_user_data(wsi, nullptr);
      exchange->wsi = nullptr;
      const std::shared_ptr<Exchange> self = std::move(exchange->self);
      if (!EventLoop::IsShuttingDown(wsi)) exchange->InvokeCallback();
      return 0;
    }
    default:
      return 0;
  }
}

}  // namespace carawayhaven
