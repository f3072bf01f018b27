#ifndef CARAWAYHAVEN_PROXY_ADMIN_BACKEND_H_
#define CARAWAYHAVEN_PROXY_ADMIN_BACKEND_H_

#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "carawayhaven/names.h"
#include "carawayhaven/outcome.h"
#include "carawayhaven/time.h"
#include "core/config/config_submitter.h"
#include "core/platform_store.h"
#include "proxy/proxy_status.h"

namespace carawayhaven {

/// A version of a team's text that this proxy has applied.
struct AppliedTeamVersion {
  ObjectVersion version = 0;
  /// Time since it was applied.
  Duration applied_ago{0};
};

/// A team's text in force on this proxy.
struct TeamDocument {
  std::string text;
  ObjectVersion version = 0;
  /// Newest first.
  std::vector<AppliedTeamVersion> applied_versions;
};

struct Readiness {
  bool ready = false;
  /// Why the proxy is not ready; empty when it is.
  std::string reason;
};

/// What the admin API needs of the proxy. Not thread-safe; one loop, one
/// thread.
class AdminBackend {
 public:
  using ResolveCallback = std::function<void(const Outcome&)>;

  virtual ~AdminBackend() = default;

  virtual ProxyStatus Status() const = 0;

  /// Says whether the proxy can take the work of callers.
  virtual Readiness CheckReadiness() const = 0;

  /// Returns all metrics in the Prometheus text format.
  virtual std::string MetricsText() const = 0;

  /// Returns the team's text, or nothing when the proxy knows none.
  virtual std::optional<TeamDocument> FindTeam(std::string_view team) const = 0;

  /// Checks the text and updates the team's object when its version is
  /// `based_on`; zero: the team must be new. `done` is called exactly once,
  /// possibly from within the call.
  virtual void Submit(const TeamName& team, const std::string& text,
                      ObjectVersion based_on, SubmitCallback done) = 0;

  /// Starts the graceful shutdown. Further calls do nothing.
  virtual void Drain() = 0;

  /// Settles the verdict of the write with that id. `done` is called exactly
  /// once, possibly from within the call.
  virtual void Resolve(const ServiceName& service, const std::string& id,
                       ResolveCallback done) = 0;
};

}  // namespace carawayhaven

#endif  // CARAWAYHAVEN_PROXY_ADMIN_BACKEND_H_
