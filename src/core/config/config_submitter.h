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

/// Maximum duration of a submission. The operator gets a result by then in any
/// case.
constexpr Duration kSubmitTimeout = std::chrono::seconds(10);
/// Timeout of one call to the store. A later reply is ignored, which is safe
/// because updates are conditional. A slow store takes 2 s per call, and a
/// submission should still get a definite result then.
constexpr Duration kSubmitCallTimeout = std::chrono::milliseconds(2500);
constexpr Duration kSubmitBackoffMin = std::chrono::milliseconds(50);
constexpr Duration kSubmitBackoffMax = std::chrono::seconds(1);

enum class SubmitStatus {
  /// The text is stored as `version`.
  kAccepted,
  /// The object was changed or removed since the base version. `version` is its
  /// current version, zero when it does not exist.
  kConflict,
  /// The text has errors; nothing was sent to the store.
  kInvalid,
  /// No update could be sent, or the store refused all of them; nothing was
  /// changed.
  kUnavailable,
  /// The update may have taken effect; `message` tells the operator what to do.
  kUnknown,
};

struct SubmitResult {
  SubmitStatus status = SubmitStatus::kUnknown;
  ObjectVersion version = 0;
  /// Id of this submission, which is stored in the team's object.
  std::string submission;
  std::vector<ConfigError> errors;
  std::string message;
};

using SubmitCallback = std::function<void(const SubmitResult&)>;

/// Submits texts of teams by a conditional update of the version that the
/// operator edited. When the reply to the update is lost, the submitter reads
/// the object back and, if it is unchanged, sends the same update again. At
/// most one of the copies takes effect. Not thread-safe; all calls must come
/// from the thread of the event loop.
class ConfigSubmitter {
 public:
  /// All arguments must outlive this object. Callbacks of `platform` may run
  /// after its destruction.
  ConfigSubmitter(const ConfigStore& configs, ConfigDistributor& distributor,
                  PlatformStore& platform, std::mt19937_64& random);

  /// Submits a text. `base` is the version that the operator edited, zero for a
  /// new team. `done` is called exactly once, within kSubmitTimeout plus the
  /// time to the next Tick; for an invalid text it is called from within
  /// Submit.
  void Submit(std::string_view team, std::string_view text, ObjectVersion base,
              SubmitCallback done, TimePoint now);

  void Tick(TimePoint now);
  TimePoint NextTick() const;

 private:
  enum class Step {
    /// Reads the base version, whose claims and earlier submissions are carried
    /// over.
    kReadBase,
    kUpdate,
    /// Reads the object back after an update without a definite reply.
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
    /// An update was sent and its outcome is unknown.
    bool may_have_run = false;
    bool call_in_flight = false;
    /// Timeout of the call in flight, or start of the next call.
    TimePoint next_action_at;
    /// Distinguishes the reply to the call in flight from a late reply to an
    /// earlier call.
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
  /// Store callbacks hold a weak reference and do nothing after the destruction
  /// of this object.
  std::shared_ptr<ConfigSubmitter*> alive_;
  TimePoint now_;
  std::uint64_t next_call_id_ = 1;
  Submissions submissions_;
};

}  // namespace carawayhaven

#endif  // CARAWAYHAVEN_CORE_CONFIG_CONFIG_SUBMITTER_H_
