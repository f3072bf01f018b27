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

constexpr char kGenerationHeader[] = "x-store-generation:";
constexpr std::uint64_t kMaxEra = (1U << 13) - 1;

std::string ObjectPath(std::string_view path) {
  return "/objects/" + std::string(path);
}

// Returns nothing if the text is not an unsigned integer.
std::optional<std::uint64_t> ParseNumber(std::string_view text) {
  std::uint64_t number = 0;
  const char* end = text.data() + text.size();
  const auto [stop, error] = std::from_chars(text.data(), end, number);
  if (text.empty() || error != std::errc() || stop != end) return std::nullopt;
  return number;
}

// Returns nothing if the revision is out of range. Zero stays zero: there is no
// object.
std::optional<ObjectVersion> ToVersion(std::uint64_t era,
                                       std::optional<std::uint64_t> revision) {
  if (!revision || *revision >> kRevisionBits != 0) return std::nullopt;
  return *revision == 0 ? 0 : MakeVersion(era, *revision);
}

// Returns zero if the store reports no era, and nothing if the era is malformed
// or out of range.
std::optional<std::uint64_t> EraOfResponse(const HttpResponse& response) {
  for (const auto& [name, value] : response.headers) {
    if (name != kGenerationHeader) continue;
    const auto era = ParseNumber(value);
    return era && *era <= kMaxEra ? era : std::nullopt;
  }
  return 0;
}

StoreStatus ToStoreStatus(int http_status) {
  switch (http_status) {
    case 200:
    case 201:
      return StoreStatus::kOk;
    case 404:
      return StoreStatus::kNotFound;
    case 410:
      return StoreStatus::kRevisionTooOld;
    case 412:
      return StoreStatus::kConflict;
    case 429:
      return StoreStatus::kOverloaded;
    default:
      return StoreStatus::kUnknown;
  }
}

// Returns nothing if the object is malformed.
std::optional<StoredObject> DecodeObject(std::uint64_t era,
                                         std::string_view text) {
  try {
    const nlohmann::json entry = ParseJsonObject(text);
    const auto version = ToVersion(era, RequiredNumber(entry, "version"));
    if (!version) return std::nullopt;
    return StoredObject{RequiredString(entry, "path"),
                        RequiredString(entry, "value"), *version};
  } catch (const DecodeError&) {
    return std::nullopt;
  }
}

}  // namespace

// A response of the store, after the check of its era.
struct PlatformClient::Response {
  StoreStatus status = StoreStatus::kUnknown;
  std::uint64_t era = 0;
  const HttpResponse& http;

  StoreReply EmptyReply(StoreStatus reply_status) const {
    StoreReply reply;
    reply.status = reply_status;
    reply.era = era;
    return reply;
  }

  // A success or conflict without the version of the object is not proven to
  // be the answer.
  StoreReply ToObjectReply(const std::string& path) const {
    const auto version = ToVersion(era, ParseNumber(http.etag));
    const bool proven = status == StoreStatus::kOk ? version.value_or(0) != 0
                                                   : version.has_value();
    const bool needs_proof =
        status == StoreStatus::kOk || status == StoreStatus::kConflict;
    if (needs_proof && !proven) return EmptyReply(StoreStatus::kUnknown);
    StoreReply reply = EmptyReply(status);
    reply.object = {path, http.body, version.value_or(0)};
    return reply;
  }

  // An update gives the object a newer version, and a conflict means that it
  // has another one than expected. Any other answer belongs to another update.
  StoreReply ToUpdateReply(const std::string& path,
                           ObjectVersion expected) const {
    StoreReply reply = ToObjectReply(path);
    const ObjectVersion version = reply.object.version;
    const bool fits = (status != StoreStatus::kOk || version > expected) &&
                      (status != StoreStatus::kConflict || version != expected);
    return fits ? reply : EmptyReply(StoreStatus::kUnknown);
  }

  // Parses the list of changed objects. A malformed list gives a reply with
  // status kUnknown; a malformed object is left out.
  StoreReply ToWatchReply(ObjectVersion after) const {
    StoreReply reply = EmptyReply(status);
    if (status != StoreStatus::kOk) return reply;
    const auto list = SplitJsonObject(http.body);
    if (!list) return EmptyReply(StoreStatus::kUnknown);
    const auto revision = ParseNumber(FindJsonField(*list, "revision"));
    const auto objects = SplitJsonArray(FindJsonField(*list, "objects"));
    if (!revision || *revision >> kRevisionBits != 0 || !objects) {
      return EmptyReply(StoreStatus::kUnknown);
    }
    reply.revision = MakeVersion(era, *revision);
    // The changes up to `after` are known, so this answers another watch.
    if (reply.revision < after) return EmptyReply(StoreStatus::kUnknown);
    reply.complete = after == 0;
    for (const std::string_view text : *objects) {
      if (auto object = DecodeObject(era, text)) {
        reply.objects.push_back(*std::move(object));
      }
    }
    return reply;
  }
};

PlatformClient::PlatformClient(EventLoop& loop, std::string address)
    : loop_(loop), address_(std::move(address)), client_(loop) {}

void PlatformClient::Get(std::string_view path, StoreCallback callback) {
  HttpRequest request;
  request.method = "GET";
  request.path = ObjectPath(path);
  Send(std::move(request), kCallTimeout,
       [path = std::string(path),
        callback = std::move(callback)](const Response& response) {
         callback(response.ToObjectReply(path));
       });
}

void PlatformClient::Put(std::string_view path, std::string_view value,
                         ObjectVersion expected, StoreCallback callback) {
  if (expected != 0 && EraOf(expected) < era_) {
    Get(path, [callback = std::move(callback)](StoreReply reply) {
      if (reply.status == StoreStatus::kOk ||
          reply.status == StoreStatus::kNotFound) {
        reply.status = StoreStatus::kConflict;
      }
      callback(reply);
    });
    return;
  }
  HttpRequest request;
  request.method = "PUT";
  request.path = ObjectPath(path);
  request.if_match = std::to_string(RevisionOf(expected));
  request.body = value;
  Send(std::move(request), kCallTimeout,
       [path = std::string(path), expected,
        callback = std::move(callback)](const Response& response) {
         const bool overwrote = response.status == StoreStatus::kOk &&
                                expected != 0 &&
                                response.era != EraOf(expected);
         callback(overwrote ? response.EmptyReply(StoreStatus::kUnknown)
                            : response.ToUpdateReply(path, expected));
       });
}

void PlatformClient::Watch(std::string_view prefix, ObjectVersion after,
                           StoreCallback callback) {
  if (after != 0 && EraOf(after) < era_) {
    EndOutdatedWatch(std::move(callback));
    return;
  }
  const std::uint64_t id = ++last_watch_;
  watches_[id] = std::move(callback);
  HttpRequest request;
  request.method = "GET";
  request.path = ObjectPath(prefix);
  request.query = "watch=" + std::to_string(RevisionOf(after));
  request.response_headers.emplace_back(kGenerationHeader);
  ++calls_;
  // A watch without a reply for kCallTimeout or longer was waiting for changes.
  // If it breaks then, only its connection is known to be lost; the next watch
  // shows whether the store is reachable.
  const TimePoint started = EventLoop::Now();
  client_.Send(address_, std::move(request), kWatchTimeout,
               [this, started, after, id](const HttpResponse& http) {
                 const bool answered =
                     ToStoreStatus(http.status) != StoreStatus::kUnknown;
                 const bool outlasted_call_timeout =
                     EventLoop::Now() - started >= kCallTimeout;
                 if (answered || !outlasted_call_timeout) reachable_ = answered;
                 const Response response = Examine(http);
                 const auto watch = watches_.extract(id);
                 if (watch.empty()) return;
                 watch.mapped()(response.ToWatchReply(after));
               });
}

void PlatformClient::Send(HttpRequest request, Duration timeout,
                          ResponseCallback done) {
  ++calls_;
  request.response_headers.emplace_back(kGenerationHeader);
  client_.Send(address_, std::move(request), timeout,
               [this, done = std::move(done)](const HttpResponse& response) {
                 reachable_ =
                     ToStoreStatus(response.status) != StoreStatus::kUnknown;
                 done(Examine(response));
               });
}

PlatformClient::Response PlatformClient::Examine(const HttpResponse& response) {
  Response examined{ToStoreStatus(response.status), 0, response};
  if (response.status == 0) return examined;
  const std::optional<std::uint64_t> era = EraOfResponse(response);
  if (era.has_value()) {
    examined.era = *era;
    if (*era > era_) BeginEra(*era);
  }
  // A refused call had no effect in any era.
  if (examined.status != StoreStatus::kOverloaded && era != era_) {
    examined.status = StoreStatus::kUnknown;
  }
  return examined;
}

void PlatformClient::BeginEra(std::uint64_t era) {
  era_ = era;
  for (auto& [id, callback] : std::exchange(watches_, {})) {
    EndOutdatedWatch(std::move(callback));
  }
}

void PlatformClient::EndOutdatedWatch(StoreCallback callback) {
  loop_.Post([this, callback = std::move(callback)] {
    StoreReply reply;
    reply.status = StoreStatus::kRevisionTooOld;
    reply.era = era_;
    callback(reply);
  });
}

}  // namespace carawayhaven
