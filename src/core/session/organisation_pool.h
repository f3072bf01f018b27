#ifndef CARAWAYHAVEN_CORE_SESSION_ORGANISATION_POOL_H_
#define CARAWAYHAVEN_CORE_SESSION_ORGANISATION_POOL_H_

#include <cstddef>
#include <map>
#include <set>
#include <string_view>

#include "carawayhaven/names.h"
#include "carawayhaven/time.h"
#include "core/endpoint_link.h"

namespace carawayhaven {

/// The connections of this VM to one endpoint. Each belongs to one organisation
/// from opening to close; an empty name stands for the proxy itself. Decides
/// for whom a connection is opened and which one is closed to make room. Not
/// thread-safe.
class OrganisationPool {
 public:
  /// An idle connection that has run no statement yet is not closed for another
  /// organisation within this time: opening it took a slot of the endpoint, and
  /// the statement that it was opened for may be further back in the queue.
  static constexpr Duration kFirstUseTime = std::chrono::milliseconds(50);

  /// Statements that wait for a connection.
  struct Demand {
    /// Number of those of the organisation.
    std::size_t queued = 0;
    /// Statements of other organisations wait that could use the endpoint.
    bool others_wait = false;
  };
  struct Decision {
    enum class Kind : std::uint8_t {
      kOpen,
      /// Closes `evicted` and opens a connection.
      kReplace,
      kWait,
    };
    Kind kind = Kind::kWait;
    ConnectionId evicted = 0;
    /// kWait: when a connection may become closable; max() if unknown.
    TimePoint retry_at = TimePoint::max();
  };

  OrganisationPool() = default;
  OrganisationPool(const OrganisationPool&) = delete;
  OrganisationPool& operator=(const OrganisationPool&) = delete;

  /// Adds a connection that is being opened.
  void Add(ConnectionId id, std::string_view organisation);
  /// The connection is open and runs nothing.
  void SetIdle(ConnectionId id, TimePoint now);
  /// The idle connection starts to run a statement.
  void SetBusy(ConnectionId id);
  void Remove(ConnectionId id);

  std::size_t size() const { return connections_.size(); }
  /// Number of connections that are being opened.
  std::size_t opening() const { return opening_; }
  const std::set<ConnectionId>& idle() const { return idle_; }
  /// Idle connections of the organisation.
  const std::set<ConnectionId>& IdleOf(std::string_view organisation) const;
  std::set<ConnectionId> All() const;

  /// True if the organisation has more connections than it may have while
  /// others wait. Its idle ones are then left for others.
  bool IsOverShare(std::string_view organisation, std::size_t limit) const;
  /// False if Decide would return kWait whatever the demand is.
  bool MayOpen(std::string_view organisation, std::size_t limit) const;
  /// Decides about a statement of an organisation without an idle connection.
  Decision Decide(std::string_view organisation, std::size_t limit,
                  const Demand& demand, TimePoint now) const;

 private:
  struct Group {
    std::set<ConnectionId> idle;
    std::size_t opening = 0;
    std::size_t total = 0;
  };
  using Groups = std::map<OrganisationName, Group, std::less<>>;
  struct Entry {
    Groups::iterator group;
    bool opening = true;
    bool used = false;
    TimePoint idle_since;
  };

  static std::size_t MaxShare(std::size_t limit) { return (limit + 1) / 2; }
  std::size_t TotalOf(std::string_view organisation) const;

  std::map<ConnectionId, Entry> connections_;
  Groups groups_;
  std::set<ConnectionId> idle_;
  std::size_t opening_ = 0;
};

}  // namespace carawayhaven

#endif  // CARAWAYHAVEN_CORE_SESSION_ORGANISATION_POOL_H_
