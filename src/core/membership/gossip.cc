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
  MergeRecord(record, now, /*news=*/true);
}

void Gossip::OnHeartbeat(const VmName& from, const HeartbeatMessage& message,
                         TimePoint now) {
  if (message.sender.vm != from || from == table_.self().vm) return;
  // What is held of the sender may be news to the sender itself: a VM that was
  // paused or cut off learns here that it is suspected or dead.
  const MemberTable::Member* held = table_.Find(from);
  const bool tell_sender =
      held != nullptr &&
      held->record.incarnation >= message.sender.incarnation &&
      held->record.state >= VmState::kSuspected;
  MergeRecord(message.sender, now, /*news=*/true);
  // A whole table, sent to a VM that starts, is known to the others.
  const bool news = message.changes.size() <= kMaxChangesPerHeartbeat;
  for (const VmRecord& change : message.changes) MergeRecord(change, now, news);
  if (message.reply) {
    unanswered_.erase(from);
    joined_ = true;
    // The sender of a reply learns it from the next heartbeat to it, which is
    // sent at once.
    if (tell_sender && !suspicions_.contains(from)) {
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
    // A random phase, so that VMs started together do not send together.
    next_period_ =
        now +
        Duration(static_cast<Duration::rep>(
            random_() % static_cast<std::uint64_t>(kHeartbeatPeriod.count())));
    next_dead_probe_ = now + kDeadProbePeriod;
  }
  if (now - next_period_ > kPauseThreshold)
    CompensateForPause(now - next_period_);
  ExpireSuspicions(now);
  std::vector<VmName> silent;
  for (const auto& [vm, sent] : unanswered_) {
    if (sent + kHeartbeatTimeout <= now) silent.push_back(vm);
  }
  for (const VmName& vm : silent) {
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

void Gossip::MergeRecord(const VmRecord& record, TimePoint now, bool news) {
  if (record.vm == table_.self().vm) {
    const VmRecord& self = table_.self();
    const bool accused = record.incarnation == self.incarnation &&
                         record.state >= VmState::kSuspected;
    // A higher incarnation under this name is an earlier life of this VM whose
    // clock was ahead; its records must not outrank the present ones.
    if (accused || record.incarnation > self.incarnation) {
      Refute(record.incarnation + 1);
    }
    return;
  }
  const MemberTable::Member* held = table_.Find(record.vm);
  const std::string address = held == nullptr ? "" : held->record.address;
  // The first sign of life of a seed is no news to others: at a cold start of
  // 830 VMs it would fill all heartbeats for three minutes.
  const bool confirms_seed = held != nullptr && held->record.incarnation == 0 &&
                             held->record.state == VmState::kAlive &&
                             record.state == VmState::kAlive;
  if (!table_.Merge(record, now)) return;
  if (record.address != address) link_.SetAddress(record.vm, record.address);
  // A live seed comes from the platform's list, which every VM reads.
  const bool seed = record.incarnation == 0 && record.state == VmState::kAlive;
  if (news && !seed && !confirms_seed) pending_changes_.Add(record.vm);
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
  std::size_t room = kMaxChangesPerHeartbeat;
  if (receiver != nullptr && receiver->record.state >= VmState::kSuspected) {
    message.changes.push_back(receiver->record);
    --room;
  }
  for (const VmName& vm : pending_changes_.Take(room, TransmissionLimit())) {
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
    // A live seed that nobody has heard from is no news.
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
  // The sequence stays at one until a peer has answered: it asks for the whole
  // table, which 8 changes a message would take minutes to transfer.
  if (joined_ || table_.self().sequence == 0) table_.IncrementSequence();
  SendHeartbeats(own_data_centre_peers_, true, kHeartbeatsToOwnDataCentre, now);
  SendHeartbeats(other_data_centre_peers_, false, kHeartbeatsToOtherDataCentres,
                 now);
  std::vector<VmName> forgotten;
  for (const auto& [vm, member] : table_.members()) {
    if (member.record.state == VmState::kDead && !member.listed &&
        member.state_changed_at + kDeadRetention <= now) {
      forgotten.push_back(vm);
    }
  }
  for (const VmName& vm : forgotten) table_.Remove(vm);
}

void Gossip::SendHeartbeats(Rotation& rotation, bool same_data_centre,
                            std::size_t count, TimePoint now) {
  std::vector<VmName> met;
  bool refilled = false;
  while (met.size() < count) {
    if (rotation.next >= rotation.order.size()) {
      if (refilled) return;
      refilled = true;
      RefillRotation(rotation, same_data_centre);
      if (rotation.order.empty()) return;
    }
    const VmName vm = rotation.order[rotation.next++];
    const MemberTable::Member* member = table_.Find(vm);
    // Suspected VMs are probed apart. After a refill within the period the
    // order can name one that was met just now.
    if (member == nullptr || member->record.state >= VmState::kSuspected ||
        std::find(met.begin(), met.end(), vm) != met.end()) {
      continue;
    }
    SendHeartbeat(vm, /*reply=*/false, now);
    met.push_back(vm);
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
    if (sent++ < kMaxSuspicionProbesPerTick)
      SendHeartbeat(vm, /*reply=*/false, now);
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
  std::vector<VmName> ended;
  for (const auto& [vm, suspicion] : suspicions_) {
    if (suspicion.deadline <= now) ended.push_back(vm);
  }
  for (const VmName& vm : ended) {
    VmRecord record = table_.Find(vm)->record;
    record.state = VmState::kDead;
    MergeRecord(record, now, /*news=*/true);
  }
}

void Gossip::CompensateForPause(Duration lateness) {
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
