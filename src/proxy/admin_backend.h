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

/// A version of a team's configuration that this proxy has applied.
struct AppliedTeamVersion {
  ObjectVersion version = 0;
  /// Time since this version was applied.
  Duration applied_ago{0};
};

/// The configuration of a team that is in force on this proxy, as TOML text.
struct TeamDocument {
  std::string text;
  ObjectVersion version = 0;
  /// Versions that this proxy has applied, newest first.
  std::vector<AppliedTeamVersion> applied_versions;
};

struct Readiness {
  bool ready = false;
  /// Why the proxy is not ready; empty when it is ready.
  std::string reason;
};

/// What the admin API requires of the proxy. Not thread-safe; all calls must
/// come from the thread of the event loop.
class AdminBackend {
 public:
  using ResolveCallback = std::function<void(const Outcome&)>;

  virtual ~AdminBackend() = default;

  virtual ProxyStatus Status() const = 0;

  /// Returns whether the proxy can serve callers.
  virtual Readiness CheckReadiness() const = 0;

  /// Returns all metrics in the Prometheus text format.
  virtual std::string MetricsText() const = 0;

  /// Returns the team's configuration, or nothing when this proxy has none.
  virtual std::optional<TeamDocument> FindTeam(std::string_view team) const = 0;

  /// Validates the text and replaces the team's object if its stored version is
  /// `based_on`; zero means that the team must be new. `done` is called exactly
  /// once, possibly before the function returns.
  virtual void Submit(const TeamName& team, const std::string& text,
                      ObjectVersion based_on, SubmitCallback done) = 0;

  /// Starts the graceful shutdown. Further calls do nothing.
  virtual void Drain() = 0;

  /// Obtains the final verdict of the write with that request id; an attempt
  /// that has not run is cancelled. `done` is called exactly once, possibly
  /// before the function returns.
  virtual void Resolve(const ServiceName& service, const std::string& id,
                       ResolveCallback done) = 0;
};

}  // namespace carawayhaven

#endif  // CARAWAYHAVEN_PROXY_ADMIN_BACKEND_H_
