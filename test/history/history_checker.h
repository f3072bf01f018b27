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

/// One request as its caller saw it.
struct RecordedRequest {
  std::size_t session = 0;
  Request request;
  /// A read's key, or a write's.
  std::string key;
  /// Value that a write adds to its key; unique for each attempt.
  std::string value;
  TimePoint submitted;
  std::optional<Outcome> answer;
  TimePoint answered;
  /// The session was still waiting when the answer arrived.
  bool taken = false;
  unsigned answers = 0;
};

/// Compares what callers were told with the final log of the group. Each check
/// reports every violation as one line of text.
class HistoryChecker {
 public:
  using Log = std::vector<FakeEndpoint::Entry>;

  /// Both must outlive the checker.
  HistoryChecker(const std::vector<RecordedRequest>& history, const Log& log);

  /// Runs all checks. Empty: the history keeps the invariants.
  std::vector<std::string> Check();

 private:
  struct Acknowledged {
    std::size_t number = 0;
    std::string value;
  };

  void CheckLog();
  void CheckAnswer(const RecordedRequest& recorded);
  void CheckRan(const RecordedRequest& recorded);
  void CheckNotRun();
  void CheckTransactions();
  void CheckRead(std::size_t number);
  void NoteAcknowledged(std::size_t number);
  void Report(const RecordedRequest& recorded, const std::string& what);

  const std::vector<RecordedRequest>& history_;
  const Log& log_;
  /// Index in the log of each request id's effect.
  std::map<std::string, std::size_t> effects_;
  std::map<std::string, std::size_t> values_;
  std::map<std::string, std::string> key_of_;
  std::map<std::string, std::vector<Acknowledged>> acknowledged_;
  std::vector<std::string> violations_;
};

}  // namespace carawayhaven

#endif  // CARAWAYHAVEN_TEST_HISTORY_HISTORY_CHECKER_H_
