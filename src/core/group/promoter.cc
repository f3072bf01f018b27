#include "core/group/promoter.h"

#include <algorithm>
#include <utility>

#include "charts/promoter.h"
#include "core/chart/chart_parser.h"
#include "core/config/team_config.h"
#include "core/group/group_directory.h"
#include "core/mutation.h"

namespace carawayhaven {
namespace {

const StateChart& PromoterChart() {
  static const StateChart chart = ChartParser::Parse(charts::kPromoter);
  return chart;
}

}  // namespace

Promoter::Promoter(const ServiceConfig& service, VmName vm, EndpointLink& link,
                   GroupDirectory& directory, std::mt19937_64& random,
                   PromoterHandler& handler)
    : service_(service),
      vm_(std::move(vm)),
      link_(link),
      directory_(directory),
      random_(random),
      handler_(handler),
      chart_(PromoterChart()),
      state_(chart_.initial()) {}

Promoter::~Promoter() { CloseContacts(); }

void Promoter::StartAttempt(Duration stagger, TimePoint now) {
  if (!idle()) return;
  stagger_ = stagger;
  planned_ = false;
  target_.clear();
  Fire("stand", now);
}

void Promoter::StartPlannedChange(EndpointName target, TimePoint now) {
  if (!idle()) return;
  planned_ = true;
  target_ = std::move(target);
  Fire("plan", now);
}

void Promoter::Withdraw(TimePoint now) {
  if (Fire("cleared", now)) failures_ = 0;
}

void Promoter::Supersede(TimePoint now) {
  if (Fire("superseded", now)) failures_ = 0;
}

void Promoter::RecordSeenTerm(Term term) {
  highest_seen_ = std::max(highest_seen_, term);
}

void Promoter::Tick(TimePoint now) {
  if (now < deadline_ || AbortAfterPause(now)) return;
  if (state_ == "fencing") {
    Fire(GrantsSuffice() ? "granted" : "failed", now);
  } else if (state_ == "holding" || state_ == "catching_up") {
    PollPlannedChange(now);
  } else {
    static const std::map<std::string, std::string, std::less<>> timeouts = {
        {"waiting", "turn"},       {"surveying", "failed"},
        {"verifying", "silent"},   {"promoting", "failed"},
        {"following", "followed"}, {"backing_off", "expired"}};
    Fire(timeouts.at(state_), now);
  }
}

void Promoter::PollPlannedChange(TimePoint now) {
  if (now >= planned_change_deadline_) {
    Fire("failed", now);
    return;
  }
  deadline_ = now + kWriteHoldPollInterval;
  if (state_ == "holding") {
    if (!handler_.WritesInFlight()) Fire("drained", now);
    return;
  }
  for (auto& [name, contact] : contacts_) {
    if (contact.answer) Send(contact, EndpointOperation::kStatus, old_term_);
  }
}

void Promoter::OnConnectionOpened(ConnectionId connection, TimePoint now) {
  if (AbortAfterPause(now)) return;
  for (auto& [name, contact] : contacts_) {
    if (contact.connection != connection) continue;
    contact.open = true;
    if (contact.unsent) {
      link_.Send(connection, *std::exchange(contact.unsent, std::nullopt));
    }
  }
}

void Promoter::OnConnectionClosed(ConnectionId connection, TimePoint now) {
  for (auto& [name, contact] : contacts_) {
    if (contact.connection == connection) contact = Contact{};
  }
  if (AbortAfterPause(now)) return;
  if (state_ == "verifying") CheckVerified(now);
  if (state_ == "promoting") CheckPromoted(now);
}

void Promoter::OnAnswer(ConnectionId connection, const EndpointAnswer& answer,
                        TimePoint now) {
  const auto found = std::find_if(
      contacts_.begin(), contacts_.end(), [connection](const auto& entry) {
        return entry.second.connection == connection;
      });
  if (found == contacts_.end() || AbortAfterPause(now)) return;
  if (found->second.awaited == 0 ||
      found->second.awaited != answer.correlation) {
    return;
  }
  found->second.awaited = 0;
  found->second.answer = answer;
  RecordSeenTerm(answer.term);
  // Before fencing, the term of this VM's earlier attempt counts as a higher
  // term as well: its promotion may have succeeded although the answer was
  // lost.
  const bool fenced =
      state_ == "fencing" || state_ == "promoting" || state_ == "following";
  if (answer.term > (fenced ? term_ : old_term_)) {
    const std::string before = state_;
    handler_.OnHigherTermSeen(answer, now);
    if (state_ != before) return;
  }
  if (state_ == "surveying") {
    CheckSurvey(now);
  } else if (state_ == "verifying") {
    CheckVerified(now);
  } else if (state_ == "fencing") {
    CheckGrants(now);
  } else if (state_ == "promoting") {
    CheckPromoted(now);
  } else if (state_ == "following") {
    CheckFollowed(now);
  } else if (state_ == "catching_up") {
    CheckCaughtUp(now);
  }
}

bool Promoter::Fire(std::string_view event, TimePoint now) {
  const std::string* next = chart_.Next(state_, event);
  if (next == nullptr) return false;
  state_ = *next;
  Enter(now);
  return true;
}

void Promoter::Enter(TimePoint now) {
  using Action = void (Promoter::*)(TimePoint);
  static const std::map<std::string, Action, std::less<>> actions = {
      {"idle", &Promoter::EnterIdle},
      {"surveying", &Promoter::EnterSurveying},
      {"verifying", &Promoter::EnterVerifying},
      {"fencing", &Promoter::EnterFencing},
      {"promoting", &Promoter::EnterPromoting},
      {"following", &Promoter::EnterFollowing},
      {"backing_off", &Promoter::EnterBackingOff},
      {"holding", &Promoter::EnterHolding},
      {"catching_up", &Promoter::EnterCatchingUp}};
  const auto action = actions.find(state_);
  if (action != actions.end()) {
    (this->*action->second)(now);
  } else {
    deadline_ = now + stagger_;
  }
}

void Promoter::EnterIdle(TimePoint now) {
  deadline_ = TimePoint::max();
  CloseContacts();
  ReleaseWrites(now);
}

void Promoter::EnterSurveying(TimePoint now) {
  const GroupView& view = directory_.ViewOf(service_);
  old_primary_ = view.primary;
  old_term_ = view.term;
  deadline_ = now + kStepTimeout;
  OpenContacts();
  SendToAll(EndpointOperation::kStatus, old_term_);
}

void Promoter::CheckSurvey(TimePoint now) {
  std::size_t reached = 0;
  std::size_t replicas = 0;
  later_term_granted_ = false;
  for (const auto& [name, contact] : contacts_) {
    if (!contact.answer) continue;
    ++reached;
    if (name != old_primary_) ++replicas;
    if (contact.answer->term > old_term_) later_term_granted_ = true;
  }
  // A primary that answers but cannot confirm does not reach its replicas. A
  // new primary whose majority includes it could not confirm either, so a
  // majority of the endpoints must be replicas. Once an endpoint has granted a
  // later term, the old primary counts like any other endpoint.
  if (replicas >= majority() ||
      (later_term_granted_ && reached >= majority())) {
    Fire("majority", now);
  }
}

void Promoter::EnterVerifying(TimePoint now) {
  deadline_ = now + kVerifyTimeout;
  const auto primary = contacts_.find(old_primary_);
  if (primary == contacts_.end() || primary->second.connection == 0) {
    Fire("silent", now);
    return;
  }
  Send(primary->second, EndpointOperation::kConfirm, old_term_);
}

void Promoter::CheckVerified(TimePoint now) {
  const auto primary = contacts_.find(old_primary_);
  if (primary == contacts_.end() || primary->second.connection == 0) {
    Fire("silent", now);
  } else if (primary->second.answer) {
    const bool working = primary->second.answer->status == EndpointStatus::kOk;
    Fire(working ? "answered" : "silent", now);
  }
}

void Promoter::EnterFencing(TimePoint now) {
  deadline_ = now + kStepTimeout;
  // Each attempt uses a new term: the promotion order of an earlier attempt may
  // still be in transit.
  term_ = std::max({old_term_, highest_seen_, term_}) + 1;
  // A grant names the attempt, not the VM: a restarted process must not count
  // the grants of its predecessor, whose promotion order may be in transit.
  candidate_ = vm_ + "#" + std::to_string(random_());
  SendToAll(EndpointOperation::kFence, term_);
}

std::size_t Promoter::CountGrants(bool without_primary) const {
  std::size_t grants = 0;
  for (const auto& [name, contact] : contacts_) {
    if (without_primary && name == old_primary_) continue;
    if (contact.answer && contact.answer->status == EndpointStatus::kOk) {
      ++grants;
    }
  }
  return grants;
}

// The suspected primary may be cut off from the other endpoints. A majority
// that includes it therefore suffices only in a planned change or after a later
// term was granted, and only if no endpoint refused. A refusal means that
// another candidate is active, and the next term can get the grants of all
// other endpoints.
bool Promoter::GrantsSuffice() const {
  if (CountGrants(true) >= majority()) return true;
  const bool refused =
      std::any_of(contacts_.begin(), contacts_.end(), [](const auto& entry) {
        return entry.second.answer &&
               entry.second.answer->status != EndpointStatus::kOk;
      });
  return !refused && (planned_ || later_term_granted_) &&
         CountGrants(false) >= majority();
}

void Promoter::CheckGrants(TimePoint now) {
  const auto answered = static_cast<std::size_t>(std::count_if(
      contacts_.begin(), contacts_.end(),
      [](const auto& entry) { return entry.second.answer.has_value(); }));
  if (answered == service_.endpoints.size()) {
    Fire(GrantsSuffice() ? "granted" : "failed", now);
  } else if (CountGrants(!planned_) >= majority()) {
    deadline_ = std::min(deadline_, now + kLateGrantWait);
  }
}

// Any majority of grants includes an endpoint with every acknowledged write.
// The suspected primary is skipped when the other grants are a majority: it may
// have the longest log but be cut off from the other endpoints.
EndpointName Promoter::ChooseGranted() const {
  const bool skip_primary = !planned_ && CountGrants(true) >= majority();
  const auto preference = [this](const EndpointName& name) {
    const EndpointConfig* endpoint = Find(name);
    if (name == target_) return 2;
    return endpoint != nullptr && !endpoint->leaving ? 1 : 0;
  };
  EndpointName best;
  LogPosition best_position;
  for (const auto& [name, contact] : contacts_) {
    if (skip_primary && name == old_primary_) continue;
    if (!contact.answer || contact.answer->status != EndpointStatus::kOk) {
      continue;
    }
    const LogPosition position = contact.answer->position;
    const bool is_ahead = MutationEnabled(Mutation::kPromoteLongestLog)
                              ? position.index > best_position.index
                              : position > best_position;
    if (best.empty() || is_ahead ||
        (position == best_position && preference(name) > preference(best))) {
      best = name;
      best_position = position;
    }
  }
  return best;
}

void Promoter::EnterPromoting(TimePoint now) {
  deadline_ = now + kStepTimeout;
  chosen_ = ChooseGranted();
  const auto chosen = contacts_.find(chosen_);
  if (chosen == contacts_.end()) {
    Fire("failed", now);
    return;
  }
  Send(chosen->second, EndpointOperation::kPromote, term_);
}

void Promoter::CheckPromoted(TimePoint now) {
  const auto chosen = contacts_.find(chosen_);
  if (chosen == contacts_.end() || chosen->second.connection == 0) {
    Fire("failed", now);
  } else if (chosen->second.answer) {
    const bool taken = chosen->second.answer->status == EndpointStatus::kOk;
    Fire(taken ? "promoted" : "failed", now);
  }
}

void Promoter::EnterFollowing(TimePoint now) {
  deadline_ = now + kStepTimeout;
  failures_ = 0;
  const LogPosition last = contacts_[chosen_].answer->position;
  GroupUpdateMessage update{service_.name, term_, chosen_,
                            directory_.ViewOf(service_).term_starts};
  // Index of the first entry of the term, whether the endpoint has written that
  // entry already or not.
  update.term_starts.push_back(
      {term_, last.term == term_ ? last.index : last.index + 1});
  for (auto& [name, contact] : contacts_) {
    if (name != chosen_) Send(contact, EndpointOperation::kFollow, term_);
  }
  ReleaseWrites(now);
  handler_.OnPromoted(update, now);
}

void Promoter::CheckFollowed(TimePoint now) {
  const bool all = std::all_of(
      contacts_.begin(), contacts_.end(),
      [](const auto& entry) { return entry.second.answer.has_value(); });
  if (all) Fire("followed", now);
}

void Promoter::EnterBackingOff(TimePoint now) {
  CloseContacts();
  ReleaseWrites(now);
  // A retry is an unplanned attempt: it verifies the primary first.
  planned_ = false;
  Duration limit = kInitialBackoff;
  for (std::uint32_t i = 0; i < failures_ && limit < kMaxBackoff; ++i) {
    limit *= 2;
  }
  limit = std::min(limit, kMaxBackoff);
  ++failures_;
  std::uniform_int_distribution<Duration::rep> jitter(limit.count() / 2,
                                                      limit.count());
  deadline_ = now + Duration(jitter(random_));
}

void Promoter::EnterHolding(TimePoint now) {
  const GroupView& view = directory_.ViewOf(service_);
  old_primary_ = view.primary;
  old_term_ = view.term;
  planned_change_deadline_ = now + kMaxWriteHold;
  deadline_ = now + kWriteHoldPollInterval;
  holds_writes_ = true;
  handler_.OnHoldWrites(now);
}

void Promoter::EnterCatchingUp(TimePoint now) {
  deadline_ = now + kWriteHoldPollInterval;
  OpenContacts();
  SendToAll(EndpointOperation::kStatus, old_term_);
}

void Promoter::CheckCaughtUp(TimePoint now) {
  const auto primary = contacts_.find(old_primary_);
  if (primary == contacts_.end() || !primary->second.answer) return;
  const LogPosition position = primary->second.answer->position;
  const EndpointName wanted = target_;
  for (const auto& [name, contact] : contacts_) {
    const EndpointConfig* endpoint = Find(name);
    const bool eligible =
        wanted.empty()
            ? name != old_primary_ && endpoint != nullptr && !endpoint->leaving
            : name == wanted;
    if (eligible && contact.answer && contact.answer->position >= position) {
      target_ = name;
      Fire("caught_up", now);
      return;
    }
  }
}

bool Promoter::AbortAfterPause(TimePoint now) {
  if (deadline_ == TimePoint::max() || now <= deadline_ + kMaxTickDelay) {
    return false;
  }
  return Fire("cleared", now);
}

void Promoter::OpenContacts() {
  CloseContacts();
  for (const EndpointConfig& endpoint : service_.endpoints) {
    contacts_[endpoint.name].connection = link_.Open(endpoint.address, *this);
  }
}

void Promoter::CloseContacts() {
  for (auto& [name, contact] : contacts_) {
    if (contact.connection != 0) link_.Close(contact.connection);
  }
  contacts_.clear();
}

void Promoter::Send(Contact& contact, EndpointOperation operation, Term term) {
  contact.answer.reset();
  if (contact.connection == 0) return;
  EndpointCommand command;
  command.operation = operation;
  command.correlation = next_correlation_++;
  command.term = term;
  command.candidate = candidate_;
  command.primary = chosen_;
  contact.awaited = command.correlation;
  if (contact.open) {
    link_.Send(contact.connection, command);
  } else {
    contact.unsent = std::move(command);
  }
}

void Promoter::SendToAll(EndpointOperation operation, Term term) {
  for (auto& [name, contact] : contacts_) Send(contact, operation, term);
}

std::size_t Promoter::majority() const {
  return service_.endpoints.size() / 2 + 1;
}

const EndpointConfig* Promoter::Find(std::string_view endpoint) const {
  for (const EndpointConfig& declared : service_.endpoints) {
    if (declared.name == endpoint) return &declared;
  }
  return nullptr;
}

void Promoter::ReleaseWrites(TimePoint now) {
  if (std::exchange(holds_writes_, false)) handler_.OnReleaseWrites(now);
}

}  // namespace carawayhaven
