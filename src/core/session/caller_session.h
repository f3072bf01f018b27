#ifndef CARAWAYHAVEN_CORE_SESSION_CALLER_SESSION_H_
#define CARAWAYHAVEN_CORE_SESSION_CALLER_SESSION_H_

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

#include "core/session/caller_channel.h"
#include "core/session/route_table.h"
#include "core/session/session_context.h"
#include "core/session/session_router.h"
#include "core/session/statement_job.h"

namespace carawayhaven {

/// Notified when a caller's statement ends.
class SessionObserver {
 public:
  virtual ~SessionObserver() = default;

  /// `cause` names the reason of an error reply; empty on success.
  virtual void OnStatementEnded(const CallerStatement& statement,
                                const StatementReply& reply,
                                std::string_view cause, Duration elapsed) = 0;
};

/// A caller's session: its variables, prepared statements and transaction
/// state, which are kept here because endpoint connections are shared. Replies
/// to statements that need no endpoint and passes all other statements to the
/// router. Keeps itself alive while a statement runs. Not thread-safe; all
/// calls must come from the thread of the event loop.
class CallerSession : public JobOwner,
                      public std::enable_shared_from_this<CallerSession> {
 public:
  /// Returns the configuration in force.
  using Routes = std::function<const RouteTable&()>;
  /// Returns true if no later configuration than the one in force is expected
  /// to exist.
  using IsCurrent = std::function<bool()>;

  /// Maximum number of statements that wait in one session.
  static constexpr std::size_t kMaxWaiting = 64;

  /// `router` and `observer` must outlive the session, `channel` until
  /// OnDisconnected.
  CallerSession(
      SessionRouter& router, SessionObserver& observer, Routes routes,
      CallerChannel& channel, IsCurrent is_current = [] { return true; });

  /// Opens the session for the caller that has the key; empty for none. Called
  /// once, before any statement.
  void OnConnect(std::string database, std::string key);
  void OnStatement(CallerStatement statement, TimePoint now);
  /// Another configuration is in force. If it does not have the caller's key,
  /// rolls back an open transaction and closes the session once it is idle.
  /// Returns false in that case.
  bool OnRoutesChanged(TimePoint now);
  /// The caller's connection ended; nothing more is sent to the caller. Rolls
  /// back an open transaction.
  void OnDisconnected(TimePoint now);

  /// True if no statement runs or waits and no transaction is open.
  bool IsIdle() const;
  bool InTransaction() const { return state_ != TransactionState::kIdle; }
  /// True after OnDisconnected.
  bool disconnected() const { return channel_ == nullptr; }
  TimePoint last_active() const { return last_active_; }
  /// Bytes of the waiting and running statements, of the session's variables
  /// and of its prepared statements.
  std::size_t held_bytes() const;

  /// Closes the session when it is idle and no statement of the caller is on
  /// its way.
  void CloseWhenIdle();
  /// Closes the session and notifies the caller if an open transaction was
  /// rolled back. A running statement is replied to first. To be called again
  /// while the session is not disconnected.
  void Shutdown(TimePoint now);
  /// Rolls back the open transaction unless a statement is running.
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
  /// Determines the caller's organisation by the configuration in force.
  /// Returns false if the caller is not permitted to use the database.
  bool Authorise();
  /// Authorises the current statement. Otherwise rolls back an open
  /// transaction, replies with an error and returns false.
  bool AuthoriseStatement(TimePoint now);
  /// Rejects a session that the configuration in force does not permit.
  void RejectConnect(ReplyCode code, std::string_view message);
  /// Copies the current route of the database into `route_`. If there is none,
  /// replies with an error and returns false.
  bool LoadRoute(TimePoint now);
  bool HasEffect(const CallerStatement& statement) const;
  StatementReply ReplyFor(const JobResult& result, std::string* cause);
  void AnswerLocally(ReplyCode code, std::string_view message, TimePoint now);
  void Answer(StatementReply reply, std::string_view cause, TimePoint now);
  void EndTransaction(TransactionState state, TimePoint now);

  SessionRouter& router_;
  SessionObserver& observer_;
  Routes routes_;
  IsCurrent is_current_;
  CallerChannel* channel_;
  std::string database_;
  /// Secret: written to no log.
  std::string key_;
  /// Result of the last Authorise, and the version of the configuration.
  OrganisationName organisation_;
  bool authorised_ = true;
  std::uint64_t authorised_version_ = 0;
  SessionContext context_;
  /// Position of the session's last commit in each service that it has written
  /// to, or nothing if the endpoint did not report it.
  std::map<ServiceName, std::optional<LogPosition>> own_commits_;

  TransactionState state_ = TransactionState::kIdle;
  bool read_only_ = false;
  bool has_written_ = false;
  /// Route of the open transaction or current statement: a configuration change
  /// takes effect with the next transaction.
  DatabaseRoute route_;
  TimePoint transaction_received_;
  /// Organisation that opened the transaction.
  OrganisationName transaction_organisation_;
  ConnectionId connection_ = 0;

  std::deque<CallerStatement> waiting_;
  std::size_t waiting_bytes_ = 0;
  std::size_t context_bytes_ = 0;
  CallerStatement current_;
  std::shared_ptr<StatementJob> job_;
  bool busy_ = false;
  bool closing_ = false;
  /// The proxy ended the transaction and has not notified the caller yet.
  bool abort_unreported_ = false;
  TimePoint received_;
  TimePoint last_active_;
};

}  // namespace carawayhaven

#endif  // CARAWAYHAVEN_CORE_SESSION_CALLER_SESSION_H_
