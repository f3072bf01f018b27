#include "core/config/config_submitter.h"

#include <algorithm>
#include <array>
#include <cstdio>
#include <utility>

#include "carawayhaven/error_messages.h"
#include "core/config/config_distributor.h"

namespace carawayhaven {

ConfigSubmitter::ConfigSubmitter(const ConfigStore& configs,
                                 ConfigDistributor& distributor,
                                 PlatformStore& platform,
                                 std::mt19937_64& random)
    : configs_(configs),
      distributor_(distributor),
      platform_(platform),
      random_(random),
      alive_(std::make_shared<ConfigSubmitter*>(this)) {}

void ConfigSubmitter::Submit(std::string_view team, std::string_view text,
                             ObjectVersion base, SubmitCallback done,
                             TimePoint now) {
  now_ = now;
  TeamConfigResult parsed = TeamConfigParser::Parse(text);
  if (parsed.config.has_value()) {
    if (parsed.config->team != team) {
      parsed.errors.push_back(
          {{1, 1}, error_messages::kTeamMismatch + parsed.config->team});
    } else {
      CheckOwnership(*parsed.config, parsed.errors);
    }
  }
  if (!parsed.errors.empty()) {
    SubmitResult result;
    result.status = SubmitStatus::kInvalid;
    result.errors = std::move(parsed.errors);
    done(result);
    return;
  }
  const std::string id = NewId();
  Submission& submission = submissions_[id];
  submission.team = team;
  submission.config = *std::move(parsed.config);
  submission.object.submission = id;
  submission.object.text = text;
  submission.base = base;
  submission.done = std::move(done);
  submission.deadline = now + kSubmitTimeout;
  submission.next_action_at = now;
  if (base == 0) {
    BuildUpdate(submission, nullptr);
  } else if (const ConfigStore::Team* current = configs_.FindTeam(team);
             current != nullptr && current->version == base) {
    const std::optional<TeamObject> object = TeamObject::Parse(current->value);
    BuildUpdate(submission, object.has_value() ? &*object : nullptr);
  }
  StartCall(id, submission, now);
}

void ConfigSubmitter::Tick(TimePoint now) {
  now_ = now;
  std::vector<std::string> due;
  for (const auto& [id, submission] : submissions_) {
    if (std::min(submission.next_action_at, submission.deadline) <= now) {
      due.push_back(id);
    }
  }
  for (const std::string& id : due) {
    const auto found = submissions_.find(id);
    if (found == submissions_.end()) continue;
    Submission& submission = found->second;
    if (submission.deadline <= now) {
      CompleteAtDeadline(id, submission);
    } else if (submission.call_in_flight) {
      OnReply(id, submission.call_id, StoreReply{});
    } else {
      StartCall(id, submission, now);
    }
  }
}

TimePoint ConfigSubmitter::NextTick() const {
  TimePoint next_action_at = TimePoint::max();
  for (const auto& [id, submission] : submissions_) {
    next_action_at = std::min(
        {next_action_at, submission.next_action_at, submission.deadline});
  }
  return next_action_at;
}

void ConfigSubmitter::CheckOwnership(const TeamConfig& config,
                                     std::vector<ConfigError>& errors) const {
  for (const ServiceConfig& service : config.services) {
    const TeamName owner = configs_.TeamOf(service.name);
    if (!owner.empty() && owner != config.team) {
      errors.push_back({{},
                        error_messages::kServiceNameTaken + service.name +
                            " (team " + owner + ")"});
    }
    for (const EndpointConfig& endpoint : service.endpoints) {
      const TeamName endpoint_owner = configs_.FindEndpoint(endpoint.name).team;
      if (!endpoint_owner.empty() && endpoint_owner != config.team) {
        errors.push_back({{},
                          error_messages::kServiceNameTaken + endpoint.name +
                              " (team " + endpoint_owner + ")"});
      }
    }
  }
}

void ConfigSubmitter::BuildUpdate(Submission& submission,
                                  const TeamObject* base) {
  if (base != nullptr) {
    // Services that the base declares keep the age of their claim. A service
    // that the base was the first to declare is claimed since the base version.
    const TeamConfigResult base_text = TeamConfigParser::Parse(base->text);
    for (const ServiceConfig& service : submission.config.services) {
      const auto declared_since = base->declared_since.find(service.name);
      if (declared_since != base->declared_since.end()) {
        submission.object.declared_since.insert(*declared_since);
        continue;
      }
      if (!base_text.config.has_value()) continue;
      const auto& base_services = base_text.config->services;
      if (std::any_of(base_services.begin(), base_services.end(),
                      [&](const ServiceConfig& other) {
                        return other.name == service.name;
                      })) {
        submission.object.declared_since.emplace(service.name, submission.base);
      }
    }
    submission.object.earlier = base->earlier;
    submission.object.earlier.insert(submission.object.earlier.begin(),
                                     {base->submission, submission.base});
    if (submission.object.earlier.size() > TeamObject::kMaxEarlier) {
      submission.object.earlier.resize(TeamObject::kMaxEarlier);
    }
  }
  submission.value = submission.object.Format();
  submission.step = Step::kUpdate;
}

void ConfigSubmitter::StartCall(const std::string& id, Submission& submission,
                                TimePoint now) {
  submission.call_in_flight = true;
  submission.call_id = next_call_id_++;
  submission.next_action_at = now + kSubmitCallTimeout;
  const std::weak_ptr<ConfigSubmitter*> alive = alive_;
  const auto callback =
      [alive, id, call_id = submission.call_id](const StoreReply& reply) {
        const auto self = alive.lock();
        if (self != nullptr) (*self)->OnReply(id, call_id, reply);
      };
  const std::string path = kTeamsPrefix + submission.team;
  if (submission.step == Step::kUpdate) {
    platform_.Put(path, submission.value, submission.base, callback);
  } else {
    platform_.Get(path, callback);
  }
}

void ConfigSubmitter::OnReply(const std::string& id, std::uint64_t call_id,
                              const StoreReply& reply) {
  const auto found = submissions_.find(id);
  if (found == submissions_.end()) return;
  Submission& submission = found->second;
  // A call can be answered after its timeout. That reply is ignored: whether an
  // update took effect is then determined by reading the object back.
  if (!submission.call_in_flight || submission.call_id != call_id) return;
  submission.call_in_flight = false;
  if (reply.status == StoreStatus::kOverloaded) {
    RetryLater(submission);
    return;
  }
  switch (submission.step) {
    case Step::kReadBase:
      OnBaseReply(id, submission, reply);
      return;
    case Step::kUpdate:
      OnUpdateReply(id, submission, reply);
      return;
    case Step::kReadBack:
      OnReadBackReply(id, submission, reply);
      return;
  }
}

void ConfigSubmitter::OnBaseReply(const std::string& id, Submission& submission,
                                  const StoreReply& reply) {
  if (reply.status == StoreStatus::kNotFound) {
    CompleteWithConflict(id, 0);
  } else if (reply.status != StoreStatus::kOk) {
    RetryLater(submission);
  } else if (reply.object.version != submission.base) {
    CompleteWithConflict(id, reply.object.version);
  } else {
    const std::optional<TeamObject> base =
        TeamObject::Parse(reply.object.value);
    BuildUpdate(submission, base.has_value() ? &*base : nullptr);
    StartCall(id, submission, now_);
  }
}

void ConfigSubmitter::OnUpdateReply(const std::string& id,
                                    Submission& submission,
                                    const StoreReply& reply) {
  if (reply.status == StoreStatus::kOk) {
    CompleteAccepted(id, reply.object.version);
  } else if (reply.status == StoreStatus::kConflict &&
             !submission.may_have_run) {
    CompleteWithConflict(id, reply.object.version);
  } else {
    // Either the outcome is unknown, or an earlier copy of the same update may
    // have caused the conflict.
    submission.may_have_run = true;
    submission.step = Step::kReadBack;
    StartCall(id, submission, now_);
  }
}

void ConfigSubmitter::OnReadBackReply(const std::string& id,
                                      Submission& submission,
                                      const StoreReply& reply) {
  if (reply.status == StoreStatus::kNotFound) {
    if (submission.base != 0) {
      CompleteWithConflict(id, 0);
      return;
    }
    submission.step = Step::kUpdate;
    RetryLater(submission);
    return;
  }
  if (reply.status != StoreStatus::kOk) {
    RetryLater(submission);
    return;
  }
  if (reply.object.version == submission.base) {
    // The update has not taken effect yet. It is sent again; the store applies
    // at most one of the copies.
    submission.step = Step::kUpdate;
    RetryLater(submission);
    return;
  }
  const std::optional<TeamObject> object =
      TeamObject::Parse(reply.object.value);
  if (object.has_value()) {
    if (object->submission == id) {
      CompleteAccepted(id, reply.object.version);
      return;
    }
    // The update took effect and was followed by another submission.
    for (const EarlierSubmission& earlier : object->earlier) {
      if (earlier.submission == id) {
        CompleteAccepted(id, earlier.version);
        return;
      }
    }
  }
  CompleteWithConflict(id, reply.object.version);
}

void ConfigSubmitter::RetryLater(Submission& submission) {
  const auto range = static_cast<std::uint64_t>(submission.backoff.count());
  submission.next_action_at =
      now_ + kSubmitBackoffMin +
      Duration(static_cast<Duration::rep>(random_() % range));
  submission.backoff = std::min(submission.backoff * 2, kSubmitBackoffMax);
}

void ConfigSubmitter::CompleteAccepted(const std::string& id,
                                       ObjectVersion version) {
  const Submission& submission = submissions_.at(id);
  distributor_.OnSubmissionAccepted(submission.team, version, submission.value,
                                    now_);
  SubmitResult result;
  result.status = SubmitStatus::kAccepted;
  result.version = version;
  Complete(id, std::move(result));
}

void ConfigSubmitter::CompleteWithConflict(const std::string& id,
                                           ObjectVersion version) {
  SubmitResult result;
  result.status = SubmitStatus::kConflict;
  result.version = version;
  result.message = error_messages::kSubmitConflict + std::to_string(version);
  Complete(id, std::move(result));
}

void ConfigSubmitter::CompleteAtDeadline(const std::string& id,
                                         const Submission& submission) {
  const bool sent =
      submission.may_have_run ||
      (submission.step == Step::kUpdate && submission.call_in_flight);
  SubmitResult result;
  result.status = sent ? SubmitStatus::kUnknown : SubmitStatus::kUnavailable;
  result.message = sent ? error_messages::kSubmitOutcomeUnknown + id
                        : error_messages::kSubmitUnavailable;
  Complete(id, std::move(result));
}

void ConfigSubmitter::Complete(const std::string& id, SubmitResult result) {
  const auto found = submissions_.find(id);
  const SubmitCallback done = std::move(found->second.done);
  submissions_.erase(found);
  result.submission = id;
  done(result);
}

std::string ConfigSubmitter::NewId() {
  std::array<char, 33> text{};
  std::snprintf(text.data(), text.size(), "%016llx%016llx",
                static_cast<unsigned long long>(random_()),
                static_cast<unsigned long long>(random_()));
  return text.data();
}

}  // namespace carawayhaven
