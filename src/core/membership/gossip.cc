#include "core/membership/gossip.h"

#include <algorithm>
#include <bit>
#include <utility>

#include "core/config/config_digest_source.h"
#include "core/peer_link.h"

namespace carawayhaven {

Gossip::Gossip(MemberTable& table, PeerLink& link,
               const ConfigDigestSource& digests, std::mt19937_64& random)
    : table_(table), link_(link), digests_(digests), random_(random) {}

void Gossip::ApplyRecord(const VmRecord& record, TimePoint now) {
  Apply(record, now, /*propagate=*/true);
}

void Gossip::OnHeartbeat(const VmName& from, const HeartbeatMessage& message,
                         TimePoint now) {
  if (message.sender.vm != from || from == table_.self().vm) return;
  // The record of the sender in the table may be unknown to the sender itself:
  // a VM that was paused or partitioned is notified here that it is suspected
  // or dead.
  const MemberTable::Member* existing = table_.Find(from);
  const bool notify_sender =
      existing != nullptr &&
      existing->record.incarnation >= message.sender.incarnation &&
      existing->record.state >= VmState::kSuspected;
  Apply(message.sender, now, /*propagate=*/true);
  table_.SetReported(message.sender, now);
  // A full table, which is sent to a starting VM, is known to the other VMs.
  const bool propagate = message.changes.size() <= kMaxChangesPerHeartbeat;
  for (const VmRecord& change : message.changes) Apply(change, now, propagate);
  if (message.reply) {
    unanswered_.erase(from);
    joined_ = true;
    // The sender of a reply is notified by the next heartbeat to it, which is
    // sent at once.
    if (notify_sender && !suspicions_.contains(from)) {
      SendHeartbeat(from, /*reply=*/false, now);
    }
    return;
  }
  if (message.sender.sequence <= 1) SendFullTable(from);
  SendHeartbeat(from, /*reply=*/true, now);
}

void Gossip::OnPeerLost(const VmName& vm, TimePoint now) {
  unanswered_.erase(vm);
  const MemberTable::Member* member = table_.Find(vm);
  if (member == nullptr || member->record.state >= VmState::kSuspected) return;
  Suspect(vm, now);
}

void Gossip::Leave(TimePoint now) {
  if (table_.self().state == VmState::kLeaving) return;
  table_.SetOwnState(VmState::kLeaving, table_.self().incarnation);
  const std::vector<VmName> peers = table_.NonDeadPeers();
  for (const VmName& vm : peers) SendHeartbeat(vm, /*reply=*/false, now);
}

void Gossip::Tick(TimePoint now) {
  if (!started_) {
    started_ = true;
    // A random phase prevents VMs that started together from sending their
    // heartbeats simultaneously.
    next_period_ =
        now +
        Duration(static_cast<Duration::rep>(
            random_() % static_cast<std::uint64_t>(kHeartbeatPeriod.count())));
    next_dead_probe_ = now + kDeadProbePeriod;
  }
  if (now - next_period_ > kPauseThreshold) AdjustForPause(now - next_period_);
  ExpireSuspicions(now);
  std::vector<VmName> timed_out;
  for (const auto& [vm, sent] : unanswered_) {
    if (sent + kHeartbeatTimeout <= now) timed_out.push_back(vm);
  }
  for (const VmName& vm : timed_out) {
    unanswered_.erase(vm);
    Suspect(vm, now);
  }
  ProbeSuspected(now);
  if (now >= next_dead_probe_) {
    next_dead_probe_ = now + kDeadProbePeriod;
    ProbeNextDead(now);
  }
  if (now >= next_period_) StartPeriod(now);
}

TimePoint Gossip::NextTick() const {
  if (!started_) return TimePoint::min();
  TimePoint next = std::min(next_period_, next_dead_probe_);
  for (const auto& [vm, sent] : unanswered_) {
    next = std::min(next, sent + kHeartbeatTimeout);
  }
  for (const auto& [vm, suspicion] : suspicions_) {
    next = std::min({next, suspicion.deadline, suspicion.next_probe});
  }
  return next;
}

void Gossip::Apply(const VmRecord& record, TimePoint now, bool propagate) {
  if (record.vm == table_.self().vm) {
    const VmRecord& self = table_.self();
    const bool is_suspected_or_dead = record.incarnation == self.incarnation &&
                                      record.state >= VmState::kSuspected;
    // A higher incarnation under this name is that of an earlier process of
    // this VM whose clock was ahead. Its records must not take precedence over
    // the current ones.
    if (is_suspected_or_dead || record.incarnation > self.incarnation) {
      Refute(record.incarnation + 1);
    }
    return;
  }
  const MemberTable::Member* existing = table_.Find(record.vm);
  const std::string address =
      existing == nullptr ? "" : existing->record.address;
  // The first record received from a seed is not disseminated: at a cold start
  // of 830 VMs these records would fill all heartbeats for three minutes.
  const bool confirms_seed = existing != nullptr &&
                             existing->record.incarnation == 0 &&
                             existing->record.state == VmState::kAlive &&
                             record.state == VmState::kAlive;
  if (!table_.Merge(record, now)) return;
  if (record.address != address) link_.SetAddress(record.vm, record.address);
  // A seed in state alive comes from the platform's list, which every VM reads.
  const bool seed = record.incarnation == 0 && record.state == VmState::kAlive;
  if (propagate && !seed && !confirms_seed) pending_changes_.Add(record.vm);
  if (record.state == VmState::kSuspected) {
    const auto [entry, added] = suspicions_.try_emplace(record.vm);
    Suspicion& suspicion = entry->second;
    if (added || suspicion.incarnation != record.incarnation) {
      suspicion = {record.incarnation,
                   now + kSuspicionTimeout + kIndirectSuspicionMargin,
                   now + kSuspicionTimeout};
    }
    return;
  }
  suspicions_.erase(record.vm);
  if (record.state == VmState::kDead) {
    unanswered_.erase(record.vm);
    ++counters_.deaths;
  }
}

void Gossip::Refute(std::uint64_t incarnation) {
  ++counters_.refutations;
  table_.SetOwnState(table_.self().state, incarnation);
  pending_changes_.Add(table_.self().vm);
}

void Gossip::Suspect(const VmName& vm, TimePoint now) {
  const MemberTable::Member* member = table_.Find(vm);
  if (member == nullptr || member->record.state >= VmState::kSuspected) return;
  VmRecord record = member->record;
  record.state = VmState::kSuspected;
  if (!table_.Merge(record, now)) return;
  ++counters_.suspicions;
  pending_changes_.Add(vm);
  suspicions_[vm] = {record.incarnation, now + kSuspicionTimeout, now};
}

void Gossip::SendHeartbeat(const VmName& to, bool reply, TimePoint now) {
  HeartbeatMessage message;
  message.sender = table_.self();
  message.digest = digests_.digest();
  message.reply = reply;
  const MemberTable::Member* receiver = table_.Find(to);
  std::size_t remaining_changes = kMaxChangesPerHeartbeat;
  if (receiver != nullptr && receiver->record.state >= VmState::kSuspected) {
    message.changes.push_back(receiver->record);
    --remaining_changes;
  }
  for (const VmName& vm :
       pending_changes_.Take(remaining_changes, TransmissionLimit())) {
    if (vm == to || vm == table_.self().vm) continue;
    const MemberTable::Member* member = table_.Find(vm);
    if (member != nullptr) message.changes.push_back(member->record);
  }
  const bool sent = link_.Send(to, message);
  if (reply) {
    counters_.replies_sent += sent ? 1 : 0;
    return;
  }
  if (!sent) {
    OnPeerLost(to, now);
    return;
  }
  ++counters_.heartbeats_sent;
  if (receiver != nullptr && receiver->record.state < VmState::kSuspected) {
    unanswered_.emplace(to, now);
  }
}

void Gossip::SendFullTable(const VmName& to) {
  HeartbeatMessage message;
  message.sender = table_.self();
  message.digest = digests_.digest();
  message.reply = true;
  for (const auto& [vm, member] : table_.members()) {
    // A seed in state alive has not been confirmed by any VM.
    const bool seed = member.record.incarnation == 0 &&
                      member.record.state == VmState::kAlive;
    if (vm == to || seed) continue;
    message.changes.push_back(member.record);
    if (message.changes.size() == kMaxRecordsPerTableMessage) {
      link_.Send(to, message);
      message.changes.clear();
    }
  }
  if (!message.changes.empty()) link_.Send(to, message);
}

void Gossip::StartPeriod(TimePoint now) {
  next_period_ = now + kHeartbeatPeriod;
  // The sequence stays at one until a peer has replied. A sequence of one
  // requests the full table, which would take minutes to transfer at 8 changes
  // per message.
  if (joined_ || table_.self().sequence == 0) table_.IncrementSequence();
  SendHeartbeats(own_data_centre_peers_, true, kHeartbeatsToOwnDataCentre, now);
  SendHeartbeats(other_data_centre_peers_, false, kHeartbeatsToOtherDataCentres,
                 now);
  std::vector<VmName> expired;
  for (const auto& [vm, member] : table_.members()) {
    if (member.record.state == VmState::kDead && !member.listed &&
        member.state_changed_at + kDeadRetention <= now) {
      expired.push_back(vm);
    }
  }
  for (const VmName& vm : expired) table_.Remove(vm);
}

void Gossip::SendHeartbeats(Rotation& rotation, bool same_data_centre,
                            std::size_t count, TimePoint now) {
  std::vector<VmName> contacted;
  bool has_refilled = false;
  while (contacted.size() < count) {
    if (rotation.next >= rotation.order.size()) {
      if (has_refilled) return;
      has_refilled = true;
      RefillRotation(rotation, same_data_centre);
      if (rotation.order.empty()) return;
    }
    const VmName vm = rotation.order[rotation.next++];
    const MemberTable::Member* member = table_.Find(vm);
    // Suspected VMs are probed separately. After a refill within this call the
    // order can contain a VM that was already contacted.
    if (member == nullptr || member->record.state >= VmState::kSuspected ||
        std::find(contacted.begin(), contacted.end(), vm) != contacted.end()) {
      continue;
    }
    SendHeartbeat(vm, /*reply=*/false, now);
    contacted.push_back(vm);
  }
}

void Gossip::RefillRotation(Rotation& rotation, bool same_data_centre) {
  rotation.order.clear();
  rotation.next = 0;
  for (const VmName& vm : table_.NonDeadPeers()) {
    const VmRecord& record = table_.Find(vm)->record;
    if ((record.data_centre == table_.self().data_centre) == same_data_centre) {
      rotation.order.push_back(vm);
    }
  }
  std::shuffle(rotation.order.begin(), rotation.order.end(), random_);
}

void Gossip::ProbeSuspected(TimePoint now) {
  std::size_t sent = 0;
  for (auto& [vm, suspicion] : suspicions_) {
    if (suspicion.next_probe > now) continue;
    suspicion.next_probe = now + kSuspicionProbePeriod;
    if (sent++ < kMaxProbesPerTick) SendHeartbeat(vm, /*reply=*/false, now);
  }
}

void Gossip::ProbeNextDead(TimePoint now) {
  const MemberTable::Members& members = table_.members();
  auto entry = members.upper_bound(last_probed_dead_);
  for (std::size_t i = 0; i < members.size(); ++i, ++entry) {
    if (entry == members.end()) entry = members.begin();
    if (entry->second.record.state != VmState::kDead) continue;
    last_probed_dead_ = entry->first;
    SendHeartbeat(last_probed_dead_, /*reply=*/false, now);
    return;
  }
}

void Gossip::ExpireSuspicions(TimePoint now) {
  std::vector<VmName> timed_out_suspects;
  for (const auto& [vm, suspicion] : suspicions_) {
    if (suspicion.deadline <= now) timed_out_suspects.push_back(vm);
  }
  for (const VmName& vm : timed_out_suspects) {
    VmRecord record = table_.Find(vm)->record;
    record.state = VmState::kDead;
    Apply(record, now, /*propagate=*/true);
  }
}

void Gossip::AdjustForPause(Duration lateness) {
  ++counters_.pauses;
  unanswered_.clear();
  for (auto& [vm, suspicion] : suspicions_) suspicion.deadline += lateness;
}

std::size_t Gossip::TransmissionLimit() const {
  // 3 * log2(n), rounded up.
  return 3 * static_cast<std::size_t>(
                 std::bit_width(table_.NonDeadPeers().size() + 1));
}

}  // namespace carawayhaven
