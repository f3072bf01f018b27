#ifndef CARAWAYHAVEN_NET_PLATFORM_CLIENT_H_
#define CARAWAYHAVEN_NET_PLATFORM_CLIENT_H_

#include <cstdint>
#include <string>

#include "core/platform_store.h"
#include "net/http_client.h"

namespace carawayhaven {

class EventLoop;

/// The platform's object API over HTTP, as docs/platform.md describes it. Not
/// thread-safe.
class PlatformClient : public PlatformStore {
 public:
  /// `address` is "IP:port" of the platform's service.
  PlatformClient(EventLoop& loop, std::string address);

  void Get(std::string_view path, StoreCallback callback) override;
  void Put(std::string_view path, std::string_view value,
           ObjectVersion expected, StoreCallback callback) override;
  void Watch(std::string_view prefix, ObjectVersion after,
             StoreCallback callback) override;

  /// Calls made so far; a watch counts as one.
  std::uint64_t calls() const { return calls_; }

  /// False when the last call that ended got no answer.
  bool reachable() const { return reachable_; }

 private:
  /// Makes a call and notes whether it was answered.
  void Send(HttpRequest request, Duration timeout, HttpResponseCallback done);

  std::string address_;
  HttpClient client_;
  std::uint64_t calls_ = 0;
  bool reachable_ = true;
};

}  // namespace carawayhaven

#endif  // CARAWAYHAVEN_NET_PLATFORM_CLIENT_H_
