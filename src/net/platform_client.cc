#include "net/platform_client.h"

#include <charconv>
#include <nlohmann/json.hpp>
#include <optional>
#include <string_view>
#include <utility>

#include "carawayhaven/exceptions.h"
#include "net/event_loop.h"
#include "wire/json_fields.h"
#include "wire/json_slices.h"

namespace carawayhaven {
namespace {

// The store usually replies within milliseconds, but sometimes takes 2 s. A
// call without a reply for this long is considered lost. Must not be shorter
// than kSubmitCallTimeout.
constexpr Duration kCallTimeout = std::chrono::milliseconds(2500);
// Longer than the 30 s after which the store ends a watch without changes.
constexpr Duration kWatchTimeout = std::chrono::seconds(40);

std::string ObjectPath(std::string_view path) {
  return "/objects/" + std::string(path);
}

ObjectVersion ParseVersion(const HttpResponse& response) {
  ObjectVersion version = 0;
  const std::string& text = response.etag;
  std::from_chars(text.data(), text.data() + text.size(), version);
  return version;
}

StoreStatus ToStoreStatus(int http_status) {
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
  reply.status = ToStoreStatus(response.status);
  reply.object = {path, response.body, ParseVersion(response)};
  return reply;
}

// Returns nothing if the object is malformed.
std::optional<StoredObject> DecodeObject(std::string_view text) {
  try {
    const nlohmann::json entry = ParseJsonObject(text);
    return StoredObject{RequiredString(entry, "path"),
                        RequiredString(entry, "value"),
                        RequiredNumber(entry, "version")};
  } catch (const DecodeError&) {
    return std::nullopt;
  }
}

// Parses the list of changed objects. A malformed list gives a reply with
// status kUnknown; a malformed object is left out.
StoreReply WatchReply(const HttpResponse& response) {
  StoreReply reply;
  reply.status = ToStoreStatus(response.status);
  if (reply.status != StoreStatus::kOk) return reply;
  const auto list = SplitJsonObject(response.body);
  if (!list) return StoreReply{};
  const std::string_view revision = FindJsonField(*list, "revision");
  const char* end = revision.data() + revision.size();
  const auto [stop, error] =
      std::from_chars(revision.data(), end, reply.revision);
  const auto objects = SplitJsonArray(FindJsonField(*list, "objects"));
  if (error != std::errc() || stop != end || !objects) return StoreReply{};
  for (const std::string_view text : *objects) {
    if (auto object = DecodeObject(text)) {
      reply.objects.push_back(*std::move(object));
    }
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
  // A watch without a reply for kCallTimeout or longer was waiting for changes.
  // If it breaks then, only its connection is known to be lost; the next watch
  // shows whether the store is reachable.
  const TimePoint started = EventLoop::Now();
  client_.Send(address_, std::move(request), kWatchTimeout,
               [this, started,
                callback = std::move(callback)](const HttpResponse& response) {
                 const bool answered =
                     ToStoreStatus(response.status) != StoreStatus::kUnknown;
                 const bool outlasted_call_timeout =
                     EventLoop::Now() - started >= kCallTimeout;
                 if (answered || !outlasted_call_timeout) reachable_ = answered;
                 callback(WatchReply(response));
               });
}

void PlatformClient::Send(HttpRequest request, Duration timeout,
                          HttpResponseCallback done) {
  ++calls_;
  client_.Send(address_, std::move(request), timeout,
               [this, done = std::move(done)](const HttpResponse& response) {
                 reachable_ =
                     ToStoreStatus(response.status) != StoreStatus::kUnknown;
                 done(response);
               });
}

}  // namespace carawayhaven
