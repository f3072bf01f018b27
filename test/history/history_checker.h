#ifndef CARAWAYHAVEN_TEST_HISTORY_HISTORY_CHECKER_H_
#define CARAWAYHAVEN_TEST_HISTORY_HISTORY_CHECKER_H_

#include <cstddef>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "carawayhaven/outcome.h"
#include "carawayhaven/request.h"
#include "carawayhaven/time.h"
#include "group/fake_endpoint_group.h"

namespace carawayhaven {

/// One request and its outcome, as observed by the caller.
struct RecordedRequest {
  std::size_t session = 0;
  Request request;
  /// Key that the request reads or writes.
  std::string key;
  /// Value that a write appends to its key; unique for each attempt.
  std::string value;
  TimePoint submitted_at;
  std::optional<Outcome> answer;
  TimePoint answered_at;
  /// True if the answer arrived before the session gave up waiting.
  bool delivered = false;
  unsigned answer_count = 0;
};

/// Compares the answers that callers received with the final log of the
/// endpoint group. Each check reports every violation as one line of text.
class HistoryChecker {
 public:
  using Log = std::vector<FakeEndpoint::Entry>;

  /// Both must outlive the checker.
  HistoryChecker(const std::vector<RecordedRequest>& history, const Log& log);

  /// Runs all checks and returns the violations; empty if all invariants hold.
  /// Call it once per checker.
  std::vector<std::string> Check();

 private:
  struct AcknowledgedWrite {
    std::size_t request_index = 0;
    std::string value;
  };

  /// Fills `effects_` and `values_`; reports request ids and values that occur
  /// in the log more than once.
  void IndexLog();
  /// Checks that the answer belongs to this request.
  void CheckAnswerMatches(const RecordedRequest& recorded);
  /// Checks that an acknowledged write or commit is in the log, at or before
  /// the position of its answer.
  void CheckAcknowledgedWrite(const RecordedRequest& recorded);
  /// Checks that the log has no effect of a request reported as kNotRun.
  void CheckNotRun();
  /// Checks that each transaction is atomic: its commit applies all of its
  /// acknowledged writes and no foreign ones, and no write takes effect outside
  /// the commit.
  void CheckTransactions();
  /// Checks that a read returns each value once and only values of its key,
  /// that it includes the session's own acknowledged writes, and that it is
  /// within the staleness bound. Without a bound and outside a transaction, all
  /// values that it returns must be in the final log.
  void CheckRead(std::size_t request_index);
  void RecordAcknowledged(std::size_t request_index);
  void Report(const RecordedRequest& recorded, const std::string& problem);

  const std::vector<RecordedRequest>& history_;
  const Log& log_;
  /// Log index of the effect of each request id.
  std::map<std::string, std::size_t> effects_;
  /// Log index of each written value.
  std::map<std::string, std::size_t> values_;
  std::map<std::string, std::string> key_of_value_;
  /// Acknowledged writes of each key, in the order of submission.
  std::map<std::string, std::vector<AcknowledgedWrite>> acknowledged_;
  std::vector<std::string> violations_;
};

}  // namespace carawayhaven

#endif  // CARAWAYHAVEN_TEST_HISTORY_HISTORY_CHECKER_H_
