#ifndef CARAWAYHAVEN_PROXY_SESSION_PROXY_HTTP_HANDLERS_H_
#define CARAWAYHAVEN_PROXY_SESSION_PROXY_HTTP_HANDLERS_H_

#include "proxy/caller_resources.h"
#include "proxy/session_proxy.h"

namespace carawayhaven {

// Answers the load balancer.
// A readiness check gets 200 when the proxy is ready, otherwise 503.
class SessionProxy::ReadinessHandler : public HttpHandler {
 public:
  explicit ReadinessHandler(const SessionProxy& proxy) : proxy_(proxy) {}

  void OnRequest(const HttpRequest& /*request*/,
                 HttpResponder responder) override {
    HttpResponse response;
    response.status = proxy_.IsReady() ? 200 : 503;
    response.body = "{}";
    responder(response);
  }

 private:
  const SessionProxy& proxy_;
};

// Serves the metrics.
// Updates the gauges first; the output has the Prometheus text format.
class SessionProxy::MetricsHandler : public HttpHandler {
 public:
  explicit MetricsHandler(SessionProxy& proxy) : proxy_(proxy) {}

  void OnRequest(const HttpRequest& /*request*/,
                 HttpResponder responder) override {
    Metrics& metrics = proxy_.metrics_;
    const RouterStats stats = proxy_.router_.stats();
    const auto gauge = [&](const char* name, const char* help, double value) {
      metrics.GetGauge(name, help).Set(value);
    };
    gauge("carawayhaven_sessions", "Sessions of callers",
          static_cast<double>(proxy_.deps_.callers.session_count()));
    gauge("carawayhaven_waiting_statements", "Statements without a connection",
          static_cast<double>(proxy_.router_.waiting()));
    gauge("carawayhaven_endpoint_connections", "Connections to endpoints",
          static_cast<double>(proxy_.router_.connections()));
    gauge("carawayhaven_endpoint_connections_opened",
          "Connections to endpoints opened since the start",
          static_cast<double>(stats.connections_opened));
    gauge("carawayhaven_endpoint_connections_replaced",
          "Idle connections to endpoints closed for another organisation since "
          "the start",
          static_cast<double>(stats.connections_replaced));
    gauge("carawayhaven_replica_statements",
          "Statements sent to replicas since the start",
          static_cast<double>(stats.sent_to_replica));
    const LimiterStats& limits = proxy_.limiter_.stats();
    gauge("carawayhaven_limited_operations_admitted",
          "Operations admitted within a limit since the start",
          static_cast<double>(limits.admitted));
    gauge("carawayhaven_limited_operations_refused",
          "Operations refused over a limit since the start",
          static_cast<double>(limits.refused));
    gauge("carawayhaven_limited_operations_repeated",
          "Repeated sends counted to a limit since the start",
          static_cast<double>(limits.forced));
    gauge("carawayhaven_limit_tokens_borrowed",
          "Operations borrowed from peers since the start",
          static_cast<double>(limits.borrowed_thousandths) / 1000);
    gauge("carawayhaven_limit_tokens_lent",
          "Operations lent to peers since the start",
          static_cast<double>(limits.lent_thousandths) / 1000);
    if (proxy_.settings_.endpoint_pacing) {
      double sum = 0;
      for (const auto& [name, endpoint] : proxy_.router_.endpoints()) {
        sum += endpoint.limit.limit();
      }
      gauge("carawayhaven_endpoint_limits",
            "Sum of the limits on outstanding statements of the endpoints",
            sum);
    }
    gauge("carawayhaven_config_version", "Version of the routes in force",
          static_cast<double>(proxy_.routes_.version));
    gauge("carawayhaven_config_current",
          "1 if the routes in force are known to be the latest",
          proxy_.config_evidence_.IsCurrent(proxy_.routes_.version,
                                            EventLoop::Now())
              ? 1
              : 0);
    gauge("carawayhaven_vm_capacity",
          "Capacity of this VM in thousandths of a core; 0: not known",
          proxy_.entry_.capacity.value_or(0));
    gauge("carawayhaven_event_loop_delay_ms",
          "Smoothed delay of the event loop", proxy_.load_meter_.load_ms());
    gauge("carawayhaven_log_dropped_lines", "Log lines that did not fit",
          static_cast<double>(proxy_.deps_.log_output.dropped_lines()));
    if (const CallerResources* callers = proxy_.deps_.caller_resources) {
      gauge("carawayhaven_held_bytes", "Bytes held for callers' connections",
            static_cast<double>(callers->memory.held_bytes()));
      gauge("carawayhaven_paused_connections",
            "Connections that are not read from, for lack of memory",
            static_cast<double>(callers->memory.paused_connections()));
      gauge("carawayhaven_memory_closed_connections",
            "Connections closed for lack of memory since the start",
            static_cast<double>(callers->memory.closed_connections()));
      gauge("carawayhaven_refused_connections",
            "Connections refused for lack of descriptors since the start",
            static_cast<double>(callers->connections.refused()));
      gauge("carawayhaven_incomplete_messages",
            "Connections ended because a message was not completed, since the "
            "start",
            static_cast<double>(callers->message_timeouts));
    }
    HttpResponse response;
    response.content_type = "text/plain; version=0.0.4";
    response.body = metrics.FormatPrometheus();
    responder(response);
  }

 private:
  SessionProxy& proxy_;
};

}  // namespace carawayhaven

#endif  // CARAWAYHAVEN_PROXY_SESSION_PROXY_HTTP_HANDLERS_H_
