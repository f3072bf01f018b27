#ifndef CARAWAYHAVEN_CORE_SESSION_CALLER_SESSION_H_
#define CARAWAYHAVEN_CORE_SESSION_CALLER_SESSION_H_

#include <deque>
#include <functional>
#include <memory>
#include <string>

#include "core/session/caller_channel.h"
#include "core/session/route_table.h"
#include "core/session/session_context.h"
#include "core/session/session_router.h"
#include "core/session/statement_job.h"

namespace carawayhaven {

/// Is told how a caller's statement ended.
class SessionObserver {
 public:
  virtual ~SessionObserver() = default;

  /// `cause` says why the proxy itself gave the answer; empty when the endpoint
  /// did.
  virtual void OnStatementEnded(const CallerStatement& statement,
                                const StatementReply& reply,
                                std::string_view cause, Duration elapsed) = 0;
};

/// A caller's session: its values, prepared names and transaction, which stay
/// here while endpoint connections are shared. Answers what needs no endpoint
/// itself and passes the rest to the router. Keeps itself alive while a
/// statement runs. Not thread-safe; one loop, one thread.
class CallerSession : public JobOwner,
                      public std::enable_shared_from_this<CallerSession> {
 public:
  /// Returns the configuration in force.
  using Routes = std::function<const RouteTable&()>;

  /// Statements that a session may have waiting.
  static constexpr std::size_t kMaxWaiting = 64;

  /// `router` and `observer` must outlive the session, `channel` until
  /// OnDisconnected.
  CallerSession(SessionRouter& router, SessionObserver& observer, Routes routes,
                CallerChannel& channel);

  /// Opens the session. Called once, before any statement.
  void OnConnect(std::string database);
  void OnStatement(CallerStatement statement, TimePoint now);
  /// The caller has gone; nothing is sent to it any more.
  void OnDisconnected(TimePoint now);

  /// True when no statement runs and no transaction is open.
  bool IsIdle() const;
  bool InTransaction() const { return state_ != TransactionState::kIdle; }
  /// True after OnDisconnected.
  bool disconnected() const { return channel_ == nullptr; }
  TimePoint last_active() const { return last_active_; }

  /// Ends the session at its next idle moment, and an open transaction now.
  void CloseWhenIdle() { closing_ = true; }
  void Close(TimePoint now);
  /// Ends the session and tells the caller that its open transaction, if any,
  /// was rolled back. A statement that runs is answered first.
  void Shutdown(TimePoint now);
  /// Rolls back a transaction without a statement since `limit`.
  void EndIdleTransaction(TimePoint now);

  const SessionContext& context() const override { return context_; }
  void OnJobDone(const JobResult& result, TimePoint now) override;
  void OnTransactionLost(TimePoint now) override;

 private:
  void RunNext(TimePoint now);
  void Run(TimePoint now);
  void RunSet(TimePoint now);
  void RunPrepare(TimePoint now);
  void RunDeallocate(TimePoint now);
  void RunBegin(TimePoint now);
  void RunRollback(TimePoint now);
  void RunOnEndpoint(TimePoint now);
  /// Takes the database's route as it is now; answers when there is none.
  bool LoadRoute(TimePoint now);
  bool HasEffect(const CallerStatement& statement) const;
  StatementReply ReplyFor(const JobResult& result, std::string* cause);
  void AnswerLocally(ReplyCode code, std::string_view message, TimePoint now);
  void Answer(StatementReply reply, std::string_view cause, TimePoint now);
  void EndTransaction(TransactionState state, TimePoint now);

  SessionRouter& router_;
  SessionObserver& observer_;
  Routes routes_;
  CallerChannel* channel_;
  std::string database_;
  SessionContext context_;
  LogPosition position_;
  ServiceName position_service_;

  TransactionState state_ = TransactionState::kIdle;
  bool read_only_ = false;
  bool has_written_ = false;
  /// Route of the open transaction: a change applies from the next one.
  DatabaseRoute route_;
  TimePoint transaction_received_;
  ConnectionId connection_ = 0;

  std::deque<CallerStatement> waiting_;
  CallerStatement current_;
  std::shared_ptr<StatementJob> job_;
  bool busy_ = false;
  bool closing_ = false;
  /// The transaction was ended here; the caller has not been told yet.
  bool abort_unreported_ = false;
  TimePoint received_;
  TimePoint last_active_;
};

}  // namespace carawayhaven

#endif  // CARAWAYHAVEN_CORE_SESSION_CALLER_SESSION_H_
