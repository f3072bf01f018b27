#ifndef CARAWAYHAVEN_CORE_LIMITS_MEMORY_BUDGET_H_
#define CARAWAYHAVEN_CORE_LIMITS_MEMORY_BUDGET_H_

#include <cstddef>
#include <cstdint>
#include <set>

namespace carawayhaven {

/// Carries out the decisions of a MemoryBudget on one connection.
class MemoryHolder {
 public:
  virtual ~MemoryHolder() = default;

  /// Starts or stops reading from the connection. Must not change an account
  /// during the call.
  virtual void SetReading(bool reading) = 0;
  /// Closes the connection after the call. Must not change an account during
  /// the call; the bytes no longer count.
  virtual void CloseForMemory() = 0;
};

/// Marks of a budget, in bytes.
struct MemoryMarks {
  /// Above this mark, connections over their share are not read from.
  std::size_t pause = 0;
  /// Above this mark, the connection that holds most is closed.
  std::size_t close = 0;

  /// Marks for a VM with this memory; 0 if it is not known.
  static MemoryMarks ForVm(std::size_t memory_mb);
};

/// Bounds the bytes that the connections of a process hold: received bytes,
/// waiting statements and unsent answers. Above the first mark, connections
/// over their share stop reading, except for one at a time, so that a message
/// of which a part is held can be completed. Above the second mark the
/// connection that holds most is closed. Not thread-safe.
class MemoryBudget {
 public:
  /// A connection that holds no more than this is not paused, whatever its
  /// share; ordinary statements are shorter.
  static constexpr std::size_t kMinShareBytes = 64 * 1024;
  /// Number of calls of Tick for which one connection may read while the others
  /// are paused.
  static constexpr int kExemptTicks = 5;

  /// The bytes of one connection. Removes itself from the budget when it is
  /// destroyed.
  class Account {
   public:
    /// `budget` must outlive the account; without a holder, the bytes only
    /// count. Null for no budget.
    Account(MemoryBudget* budget, MemoryHolder* holder);
    ~Account();
    Account(const Account&) = delete;
    Account& operator=(const Account&) = delete;

    /// Sets the number of bytes that the connection holds. May pause, resume
    /// or close this or other connections.
    void Set(std::size_t bytes);
    /// Removes the account from the budget; later calls have no effect.
    void Close();
    std::size_t bytes() const { return bytes_; }
    bool paused() const { return paused_; }

   private:
    friend class MemoryBudget;

    MemoryBudget* budget_;
    MemoryHolder* holder_;
    std::size_t bytes_ = 0;
    bool paused_ = false;
  };

  /// `pause` must not exceed `close`.
  explicit MemoryBudget(MemoryMarks marks) : marks_(marks) {}

  /// Changes the connection that may read while the others are paused, and
  /// closes it if it made no progress. To be called once per second.
  void Tick();

  std::size_t held_bytes() const { return held_; }
  std::size_t paused_connections() const { return paused_.size(); }
  std::uint64_t pauses() const { return pauses_; }
  std::uint64_t closed_connections() const { return closed_; }
  const MemoryMarks& marks() const { return marks_; }

 private:
  void OnChanged(Account& account);
  /// Bytes above which a connection is paused.
  std::size_t Share() const;
  void Pause(Account& account);
  void Resume(Account& account);
  void ResumeAll();
  /// Lets the paused connection that holds most read.
  void ChooseExempt();
  void CloseAccount(Account& account);
  void Remove(Account& account);

  MemoryMarks marks_;
  std::size_t held_ = 0;
  /// Accounts with a holder.
  std::set<Account*> accounts_;
  /// Number of these that hold bytes.
  std::size_t holding_ = 0;
  std::set<Account*> paused_;
  /// May read above the first mark; null if none is needed.
  Account* exempt_ = nullptr;
  std::size_t exempt_bytes_ = 0;
  int exempt_ticks_ = 0;
  std::uint64_t pauses_ = 0;
  std::uint64_t closed_ = 0;
};

}  // namespace carawayhaven

#endif  // CARAWAYHAVEN_CORE_LIMITS_MEMORY_BUDGET_H_
