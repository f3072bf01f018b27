#include "net/platform_client.h"

#include <charconv>
#include <nlohmann/json.hpp>
#include <utility>

#include "carawayhaven/exceptions.h"
#include "net/event_loop.h"
#include "wire/json_fields.h"

namespace carawayhaven {
namespace {

// The store answers in milliseconds, at times in 2 s. A call without an answer
// for this long is taken for lost. Not shorter than kSubmitCallTimeout.
constexpr Duration kCallTimeout = std::chrono::milliseconds(2500);
// The store ends a watch without changes after 30 s.
constexpr Duration kWatchTimeout = std::chrono::seconds(40);

std::string ObjectPath(std::string_view path) {
  return "/objects/" + std::string(path);
}

ObjectVersion VersionOf(const HttpResponse& response) {
  ObjectVersion version = 0;
  const std::string& text = response.etag;
  std::from_chars(text.data(), text.data() + text.size(), version);
  return version;
}

StoreStatus StatusOf(int http_status) {
  switch (http_status) {
    case 200:
    case 201:
      return StoreStatus::kOk;
    case 404:
      return StoreStatus::kNotFound;
    case 412:
      return StoreStatus::kConflict;
    case 429:
      return StoreStatus::kOverloaded;
    default:
      return StoreStatus::kUnknown;
  }
}

StoreReply ObjectReply(const std::string& path, const HttpResponse& response) {
  StoreReply reply;
  reply.status = StatusOf(response.status);
  reply.object = {path, response.body, VersionOf(response)};
  return reply;
}

// Reads the list of changed objects. A malformed list is an unknown outcome.
StoreReply WatchReply(const HttpResponse& response) {
  StoreReply reply;
  reply.status = StatusOf(response.status);
  if (reply.status != StoreStatus::kOk) return reply;
  try {
    const nlohmann::json list = ParseJsonObject(response.body);
    reply.revision = RequiredNumber(list, "revision");
    for (const nlohmann::json& entry : list.at("objects")) {
      reply.objects.push_back({RequiredString(entry, "path"),
                               RequiredString(entry, "value"),
                               RequiredNumber(entry, "version")});
    }
  } catch (const std::exception&) {
    return StoreReply{};
  }
  return reply;
}

}  // namespace

PlatformClient::PlatformClient(EventLoop& loop, std::string address)
    : address_(std::move(address)), client_(loop) {}

void PlatformClient::Get(std::string_view path, StoreCallback callback) {
  HttpRequest request;
  request.method = "GET";
  request.path = ObjectPath(path);
  Send(std::move(request), kCallTimeout,
       [path = std::string(path),
        callback = std::move(callback)](const HttpResponse& response) {
         callback(ObjectReply(path, response));
       });
}

void PlatformClient::Put(std::string_view path, std::string_view value,
                         ObjectVersion expected, StoreCallback callback) {
  HttpRequest request;
  request.method = "PUT";
  request.path = ObjectPath(path);
  request.if_match = std::to_string(expected);
  request.body = value;
  Send(std::move(request), kCallTimeout,
       [path = std::string(path),
        callback = std::move(callback)](const HttpResponse& response) {
         callback(ObjectReply(path, response));
       });
}

void PlatformClient::Watch(std::string_view prefix, ObjectVersion after,
                           StoreCallback callback) {
  HttpRequest request;
  request.method = "GET";
  request.path = ObjectPath(prefix);
  request.query = "watch=" + std::to_string(after);
  ++calls_;
  // A watch that breaks after it has waited tells only that its connection was
  // lost; the next one tells whether the store can be reached.
  const TimePoint started = EventLoop::Now();
  client_.Send(address_, std::move(request), kWatchTimeout,
               [this, started,
                callback = std::move(callback)](const HttpResponse& response) {
                 const bool answered =
                     StatusOf(response.status) != StoreStatus::kUnknown;
                 const bool waited = EventLoop::Now() - started >= kCallTimeout;
                 if (answered || !waited) reachable_ = answered;
                 callback(WatchReply(response));
               });
}

void PlatformClient::Send(HttpRequest request, Duration timeout,
                          HttpResponseCallback done) {
  ++calls_;
  client_.Send(address_, std::move(request), timeout,
               [this, done = std::move(done)](const HttpResponse& response) {
                 reachable_ =
                     StatusOf(response.status) != StoreStatus::kUnknown;
                 done(response);
               });
}

}  // namespace carawayhaven
