#ifndef CARAWAYHAVEN_CORE_MEMBERSHIP_MEMBERSHIP_H_
#define CARAWAYHAVEN_CORE_MEMBERSHIP_MEMBERSHIP_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <random>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "carawayhaven/names.h"
#include "carawayhaven/time.h"
#include "core/membership/gossip.h"
#include "core/membership/member_table.h"
#include "core/membership/member_view.h"
#include "core/membership/owner_resolver.h"
#include "core/peer_link.h"
#include "core/peer_message.h"

namespace carawayhaven {

/// Identity and address of this proxy.
struct MembershipOptions {
  VmName vm;
  DataCentreName data_centre;
  /// "IP:port" on which peers reach this VM.
  std::string address;
  /// Greater than zero and higher at each start of the process on this VM, for
  /// example the wall-clock time in microseconds.
  std::uint64_t incarnation = 1;
  /// As VmRecord::capacity.
  std::uint32_t capacity = 0;
};

/// An entry of the platform's list of VMs.
struct ListedVm {
  VmName vm;
  DataCentreName data_centre;
  std::string address;
  bool leaving = false;
  /// As VmRecord::capacity.
  std::uint32_t capacity = 0;
};

/// Maintains this proxy's view of which VMs are alive and derives the pool
/// owners from it. Not thread-safe; all calls must come from the thread of the
/// event loop.
class Membership : public OwnerResolver, public MemberView, public PeerEvents {
 public:
  /// `link`, `digests` and `random` must outlive this object.
  Membership(MembershipOptions options, PeerLink& link,
             const ConfigDigestSource& digests, std::mt19937_64& random);

  /// Applies the platform's list. The list lags, so it does not change VMs that
  /// are already in the table. Unknown VMs are added as seeds, which are
  /// assumed to be alive, or leaving if so listed, until they fail to answer.
  void OnVmList(std::span<const ListedVm> vms, TimePoint now);

  /// Handles Hello and Heartbeat; ignores all other messages.
  void OnPeerMessage(const VmName& vm, const PeerMessage& message,
                     TimePoint now) override;
  void OnPeerLost(const VmName& vm, TimePoint now) override;

  /// Announces that this VM is leaving. It owns no pool from then on.
  void Leave(TimePoint now);

  /// Sets the load and the presence of organisations that the next heartbeats
  /// report.
  void SetOwnReport(std::uint32_t load_ms, bool has_organisations) {
    table_.SetOwnReport(load_ms, has_organisations);
  }

  std::vector<VmName> OwnersOf(const EndpointConfig& endpoint,
                               std::size_t count) const override;
  const VmName& self() const override { return table_.self().vm; }

  const VmName& self_vm() const override { return table_.self().vm; }
  const std::vector<VmName>& Peers() const override {
    return table_.NonDeadPeers();
  }
  bool IsAmongFirstInDataCentre(std::string_view key,
                                std::size_t count) const override;

  /// Increases when the owner of an endpoint may have changed.
  std::uint64_t revision() const { return table_.revision(); }

  void Tick(TimePoint now) { gossip_.Tick(now); }
  TimePoint NextTick() const { return gossip_.NextTick(); }

  const MemberTable& table() const { return table_; }
  const GossipCounters& counters() const { return gossip_.counters(); }

 private:
  struct StringHash {
    using is_transparent = void;
    std::size_t operator()(std::string_view text) const {
      return std::hash<std::string_view>{}(text);
    }
  };
  struct CachedOwners {
    DataCentreName data_centre;
    std::vector<VmName> vms;
    bool complete = false;
  };

  void DropStaleCache() const;

  MemberTable table_;
  Gossip gossip_;
  /// Owners by endpoint name, valid for one revision of the table. Cached
  /// because the forwarding proxy looks them up for each request, and hashing
  /// 138 VMs takes microseconds.
  mutable std::unordered_map<EndpointName, CachedOwners, StringHash,
                             std::equal_to<>>
      owners_;
  mutable std::unordered_map<std::string, std::vector<VmName>, StringHash,
                             std::equal_to<>>
      first_in_data_centre_;
  mutable std::uint64_t cached_revision_ = 0;
};

}  // namespace carawayhaven

#endif  // CARAWAYHAVEN_CORE_MEMBERSHIP_MEMBERSHIP_H_
