#ifndef CARAWAYHAVEN_NET_PLATFORM_CLIENT_H_
#define CARAWAYHAVEN_NET_PLATFORM_CLIENT_H_

#include <cstdint>
#include <functional>
#include <map>
#include <string>

#include "core/platform_store.h"
#include "net/http_client.h"

namespace carawayhaven {

class EventLoop;

/// Client of the platform's object store over HTTP; docs/platform.md describes
/// the API. The highest era that the store has reported is the present one;
/// replies of earlier eras are kUnknown. A pending watch ends when a call
/// reports a new era. Not thread-safe.
class PlatformClient : public PlatformStore {
 public:
  /// `address` is the address of the store ("IP:port").
  PlatformClient(EventLoop& loop, std::string address);

  void Get(std::string_view path, StoreCallback callback) override;
  void Put(std::string_view path, std::string_view value,
           ObjectVersion expected, StoreCallback callback) override;
  void Watch(std::string_view prefix, ObjectVersion after,
             StoreCallback callback) override;

  /// Number of calls so far; a watch counts as one call.
  std::uint64_t calls() const { return calls_; }

  /// False if the last completed call got no reply or an error of the store. A
  /// watch whose connection breaks late does not change the result.
  bool reachable() const { return reachable_; }

 private:
  struct Response;
  using ResponseCallback = std::function<void(const Response&)>;

  /// Sends a call and records whether the store replied.
  void Send(HttpRequest request, Duration timeout, ResponseCallback done);
  Response Examine(const HttpResponse& response);
  void BeginEra(std::uint64_t era);
  /// Ends a watch after a version of an earlier era.
  void EndOutdatedWatch(StoreCallback callback);

  EventLoop& loop_;
  std::string address_;
  HttpClient client_;
  std::uint64_t era_ = 0;
  /// Pending watches; all are after versions of the present era, or list.
  std::map<std::uint64_t, StoreCallback> watches_;
  std::uint64_t last_watch_ = 0;
  std::uint64_t calls_ = 0;
  bool reachable_ = true;
};

}  // namespace carawayhaven

#endif  // CARAWAYHAVEN_NET_PLATFORM_CLIENT_H_
