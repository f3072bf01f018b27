#ifndef CARAWAYHAVEN_CORE_CONFIG_CONFIG_SUBMITTER_H_
#define CARAWAYHAVEN_CORE_CONFIG_CONFIG_SUBMITTER_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <random>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "carawayhaven/names.h"
#include "carawayhaven/time.h"
#include "core/config/config_store.h"
#include "core/config/team_config_parser.h"
#include "core/config/team_object.h"
#include "core/platform_store.h"

namespace carawayhaven {

class ConfigDistributor;

/// Bound on a submission; after it the operator gets an answer in any case.
constexpr Duration kSubmitTimeout = std::chrono::seconds(10);
/// Bound on one call of the store; a later answer of it is ignored, which a
/// conditional update allows. A store that is slow takes 2 s, and a submission
/// should then still end with a clear result.
constexpr Duration kSubmitCallTimeout = std::chrono::milliseconds(2500);
constexpr Duration kSubmitBackoffMin = std::chrono::milliseconds(50);
constexpr Duration kSubmitBackoffMax = std::chrono::seconds(1);

enum class SubmitStatus {
  /// In the store, with `version`.
  kAccepted,
  /// Another submission was first; `version` is the winning one.
  kConflict,
  /// The text has errors; nothing was sent.
  kInvalid,
  /// The store did not answer before anything was sent; nothing was changed.
  kUnavailable,
  /// The update may have taken effect; `message` says what to do.
  kUnknown,
};

struct SubmitResult {
  SubmitStatus status = SubmitStatus::kUnknown;
  ObjectVersion version = 0;
  /// Id of this submission, as it stands in the team's object.
  std::string submission;
  std::vector<ConfigError> errors;
  std::string message;
};

using SubmitCallback = std::function<void(const SubmitResult&)>;

/// Submits texts of teams: a conditional update against the version that the
/// operator started from. A lost answer is settled by reading the object back
/// and, when it is unchanged, by the same update again: of both copies at most
/// one takes effect. Not thread-safe; one loop, one thread.
class ConfigSubmitter {
 public:
  /// All arguments must outlive it, except that callbacks of `platform` may
  /// come after its end.
  ConfigSubmitter(const ConfigStore& configs, ConfigDistributor& distributor,
                  PlatformStore& platform, std::mt19937_64& random);

  /// Submits a text. `base` is the version that the operator started from,
  /// zero for a new team. `done` is called exactly once, within kSubmitTimeout
  /// plus the time to the next Tick; from within the call for an invalid text.
  void Submit(std::string_view team, std::string_view text, ObjectVersion base,
              SubmitCallback done, TimePoint now);

  void Tick(TimePoint now);
  TimePoint NextTick() const;

 private:
  enum class Step {
    /// Reads the base version for the claims and the earlier submissions.
    kReadBase,
    kUpdate,
    /// Reads back after an update without a clear answer.
    kReadBack,
  };
  struct Submission {
    TeamName team;
    TeamConfig config;
    TeamObject object;
    std::string value;
    ObjectVersion base = 0;
    SubmitCallback done;
    TimePoint deadline;
    Step step = Step::kReadBase;
    /// An update was sent whose answer was not seen.
    bool may_have_run = false;
    bool call_in_flight = false;
    /// End of the call in flight, or begin of the next one.
    TimePoint next_action_at;
    /// Tells the answer of the call in flight from a late one.
    std::uint64_t call_id = 0;
    Duration backoff = kSubmitBackoffMin;
  };
  using Submissions = std::unordered_map<std::string, Submission>;

  void CheckOwnership(const TeamConfig& config,
                      std::vector<ConfigError>& errors) const;
  void BuildUpdate(Submission& submission, const TeamObject* base);
  void StartCall(const std::string& id, Submission& submission, TimePoint now);
  void OnReply(const std::string& id, std::uint64_t call_id,
               const StoreReply& reply);
  void OnBaseReply(const std::string& id, Submission& submission,
                   const StoreReply& reply);
  void OnUpdateReply(const std::string& id, Submission& submission,
                     const StoreReply& reply);
  void OnReadBackReply(const std::string& id, Submission& submission,
                       const StoreReply& reply);
  void RetryLater(Submission& submission);
  void CompleteAccepted(const std::string& id, ObjectVersion version);
  void Complete(const std::string& id, SubmitResult result);
  void CompleteWithConflict(const std::string& id, ObjectVersion version);
  void CompleteAtDeadline(const std::string& id, const Submission& submission);
  std::string NewId();

  const ConfigStore& configs_;
  ConfigDistributor& distributor_;
  PlatformStore& platform_;
  std::mt19937_64& random_;
  /// Callbacks of the store hold a weak reference and do nothing after its end.
  std::shared_ptr<ConfigSubmitter*> alive_;
  TimePoint now_;
  std::uint64_t next_call_id_ = 1;
  Submissions submissions_;
};

}  // namespace carawayhaven

#endif  // CARAWAYHAVEN_CORE_CONFIG_CONFIG_SUBMITTER_H_
