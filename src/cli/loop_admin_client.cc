#include "cli/loop_admin_client.h"

#include <memory>

#include "net/event_loop.h"
#include "net/http_client.h"

namespace carawayhaven {

HttpResponse LoopAdminClient::Call(const std::string& address,
                                   const HttpRequest& request) {
  auto loop = std::make_unique<EventLoop>();
  HttpClient client(*loop);
  HttpResponse result;
  client.Send(address, request, kCallTimeout,
              [&result, &loop](const HttpResponse& response) {
                result = response;
                loop->Stop();
              });
  loop->Run();
  // The loop holds references to the client, so it is destroyed first.
  loop.reset();
  return result;
}

}  // namespace carawayhaven
