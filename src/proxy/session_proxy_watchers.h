#ifndef CARAWAYHAVEN_PROXY_SESSION_PROXY_WATCHERS_H_
#define CARAWAYHAVEN_PROXY_SESSION_PROXY_WATCHERS_H_

#include <string>
#include <string_view>

#include "carawayhaven/exceptions.h"
#include "net/event_loop.h"
#include "proxy/logging.h"
#include "proxy/session_proxy.h"
#include "proxy/session_proxy_cluster.h"

namespace carawayhaven {

// Watches the objects that other processes write under a prefix of the store.
class SessionProxy::StoreWatcher : public ObjectWatcherEvents {
 public:
  StoreWatcher(SessionProxy& proxy, std::string_view prefix)
      : proxy_(proxy),
        prefix_(prefix),
        object_watcher_(proxy.deps_.store, prefix_, &EventLoop::Now,
                        proxy.random_, *this) {}

  ObjectWatcher& object_watcher() { return object_watcher_; }

  void OnObjectRemoved(std::string_view /*path*/, TimePoint /*now*/) override {}
  void OnObjectsSynced(TimePoint /*sent*/, TimePoint now) override {
    if (proxy_.cluster_ != nullptr) {
      proxy_.cluster_->failover.RecordStoreAnswer(now);
    }
  }
  void OnStoreReachabilityChanged(bool reachable, TimePoint /*now*/) override {
    proxy_.log_.OnStoreReachable(prefix_, reachable);
  }

 protected:
  SessionProxy& proxy_;
  std::string prefix_;

 private:
  ObjectWatcher object_watcher_;
};

// Follows the operator's configuration.
// Applies the routes.
class SessionProxy::RoutesWatcher : public StoreWatcher {
 public:
  explicit RoutesWatcher(SessionProxy& proxy)
      : StoreWatcher(proxy, proxy.deps_.documents.routes_prefix()) {}

  void OnObject(const StoredObject& object, TimePoint now) override {
    if (object.path != proxy_.deps_.documents.routes_path()) return;
    proxy_.ApplyRoutes(object.value, kStoreSource, now);
  }
  void OnObjectsSynced(TimePoint sent, TimePoint now) override {
    StoreWatcher::OnObjectsSynced(sent, now);
    proxy_.config_evidence_.OnStoreAnswer(sent);
  }
};

// Follows the entries of the endpoints.
// Passes them to the router.
class SessionProxy::EndpointsWatcher : public StoreWatcher {
 public:
  explicit EndpointsWatcher(SessionProxy& proxy)
      : StoreWatcher(proxy, proxy.deps_.documents.endpoints_prefix()) {
    // The endpoints of a large deployment change one after the other, at the
    // start for seconds on end.
    object_watcher().SetMinInterval(std::chrono::milliseconds(200));
  }

  void OnObject(const StoredObject& object, TimePoint now) override {
    try {
      const EndpointRecord record =
          proxy_.deps_.documents.DecodeEndpoint(object);
      const auto known = proxy_.router_.endpoints().find(record.name);
      const bool changed = known == proxy_.router_.endpoints().end() ||
                           known->second.record != record;
      const bool accepted = proxy_.router_.SetEndpoint(record, now);
      if (changed) {
        Log(LogLevel::kInfo,
            accepted ? "endpoint_record" : "endpoint_record_outdated",
            {{"endpoint", record.name},
             {"service", record.service},
             {"data_centre", record.data_centre},
             {"leaving", record.leaving},
             {"primary", record.claims_primary},
             {"version", object.version}});
      }
    } catch (const DecodeError& error) {
      proxy_.log_.OnMalformedObject(object.path, error.what());
      // What an earlier version said does not hold any more.
      RemoveKnown(object.path, now);
    }
  }
  void OnObjectRemoved(std::string_view path, TimePoint now) override {
    RemoveKnown(path, now);
  }

 private:
  void RemoveKnown(std::string_view path, TimePoint now) {
    const EndpointName name(path.substr(prefix_.size()));
    if (!proxy_.router_.endpoints().contains(name)) return;
    Log(LogLevel::kInfo, "endpoint_record_removed", {{"endpoint", name}});
    proxy_.router_.RemoveEndpoint(name, now);
  }
  // The restore counts as an outage, which the watcher may not have noticed.
  void OnStoreRestored(TimePoint now) override {
    proxy_.router_.SetRegistryAvailable(false, now);
    proxy_.router_.SetRegistryAvailable(true, now);
  }
  void OnStoreReachabilityChanged(bool reachable, TimePoint now) override {
    StoreWatcher::OnStoreReachabilityChanged(reachable, now);
    proxy_.router_.SetRegistryAvailable(reachable, now);
  }
};

}  // namespace carawayhaven

#endif  // CARAWAYHAVEN_PROXY_SESSION_PROXY_WATCHERS_H_
