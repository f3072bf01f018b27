#ifndef CARAWAYHAVEN_TEST_ROUTE_FAKE_ROUTE_H_
#define CARAWAYHAVEN_TEST_ROUTE_FAKE_ROUTE_H_

#include <algorithm>
#include <chrono>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "core/config/service_directory.h"
#include "core/config/team_config.h"
#include "core/membership/owner_resolver.h"
#include "core/peer_link.h"
#include "core/route/position_check.h"

namespace carawayhaven {

constexpr TimePoint At(std::int64_t milliseconds) {
  return TimePoint(std::chrono::milliseconds(milliseconds));
}

/// One service "s" with the endpoints a (the primary of term 1), b and c.
class FakeServices : public ServiceDirectory {
 public:
  FakeServices() {
    service_.name = "s";
    for (const char* name : {"a", "b", "c"}) {
      service_.endpoints.push_back(
          {name, "", std::string("dc-") + name, false});
    }
  }
  ServiceConfig& service() { return service_; }

  const ServiceConfig* FindService(std::string_view name) const override {
    return name == service_.name ? &service_ : nullptr;
  }
  TeamName TeamOf(std::string_view /*service*/) const override { return "t"; }
  EndpointEntry FindEndpoint(std::string_view name) const override {
    for (const EndpointConfig& endpoint : service_.endpoints) {
      if (endpoint.name == name) return {&endpoint, &service_, "t"};
    }
    return {};
  }
  std::vector<ServiceName> Services() const override { return {service_.name}; }

 private:
  ServiceConfig service_;
};

/// Each endpoint x has the owners x-1, x-2 and x-3 in this order.
class FakeOwners : public OwnerResolver {
 public:
  explicit FakeOwners(VmName self) : self_(std::move(self)) {}
  bool none = false;

  std::vector<VmName> OwnersOf(const EndpointConfig& endpoint,
                               std::size_t count) const override {
    std::vector<VmName> owners;
    for (std::size_t i = 1; !none && i <= std::min<std::size_t>(count, 3);
         ++i) {
      owners.push_back(endpoint.name + "-" + std::to_string(i));
    }
    return owners;
  }
  const VmName& self() const override { return self_; }

 private:
  VmName self_;
};

/// Records the messages that were sent.
class FakePeers : public PeerLink {
 public:
  struct Sent {
    VmName vm;
    ForwardMessage message;
  };
  std::vector<Sent> sent;
  std::set<VmName> unreachable;

  bool Send(const VmName& vm, const PeerMessage& message) override {
    if (unreachable.contains(vm)) return false;
    sent.push_back({vm, std::get<ForwardMessage>(message)});
    return true;
  }
  void SetAddress(const VmName& /*vm*/, std::string_view /*address*/) override {
  }
};

/// A group whose endpoints follow docs/design.md, sections 5 to 7: terms,
/// request ids with attempts, cancel markers and positions. The test sets the
/// positions of the replicas.
class FakeGroup {
 public:
  Term term = 1;
  EndpointName primary = "a";
  std::uint64_t index = 10;
  /// Positions of the replicas. They all report the age `replica_age`.
  std::map<EndpointName, LogPosition> replica_positions;
  Duration replica_age{0};
  /// Number of effects of each request id.
  std::map<std::string, int> effects;
  PositionCheck check = SameTermPositionCheck;

  ForwardReplyMessage Handle(const ForwardMessage& message) {
    ForwardReplyMessage reply{message.correlation, term, {}};
    reply.outcome = Run(message);
    reply.outcome.served_by = message.endpoint;
    return reply;
  }

  int EffectsOf(const std::string& id) const {
    const auto found = effects.find(id);
    return found == effects.end() ? 0 : found->second;
  }

 private:
  static Outcome Refuse(Reason reason, LogPosition position) {
    Outcome outcome;
    outcome.reason = reason;
    outcome.position = position;
    return outcome;
  }

  Outcome Run(const ForwardMessage& message) {
    const Request& request = message.request;
    const bool is_primary = message.endpoint == primary;
    const LogPosition position = is_primary
                                     ? LogPosition{term, index}
                                     : replica_positions[message.endpoint];
    if (message.term < term) return Refuse(Reason::kStaleTerm, position);
    Outcome outcome;
    outcome.verdict = Verdict::kRan;
    outcome.position = position;
    outcome.from_replica = !is_primary;
    const bool is_read = request.kind == RequestKind::kStatement &&
                         request.access == AccessMode::kRead;
    if (is_read && request.max_age && !is_primary) {
      const bool serves = replica_age <= *request.max_age &&
                          check({}, position, request.min_position);
      return serves ? outcome : Refuse(Reason::kBehind, position);
    }
    if (!is_primary) return Refuse(Reason::kNotPrimary, position);
    const std::string& id = request.id.value;
    if (request.kind == RequestKind::kResolve) {
      if (records_.contains(id)) return outcome;
      std::int64_t& cancelled = cancelled_.try_emplace(id, -1).first->second;
      cancelled = std::max<std::int64_t>(cancelled, request.id.attempt);
      outcome.verdict = Verdict::kNotRun;
      return outcome;
    }
    const bool writes = request.kind == RequestKind::kCommit ||
                        (!is_read && request.transaction.empty());
    if (!writes) return outcome;
    if (const auto found = records_.find(id); found != records_.end()) {
      outcome.position = found->second;
      return outcome;
    }
    const auto cancelled = cancelled_.find(id);
    if (cancelled != cancelled_.end() &&
        request.id.attempt <= cancelled->second) {
      return Refuse(Reason::kCancelled, position);
    }
    ++effects[id];
    outcome.position = {term, ++index};
    records_.emplace(id, outcome.position);
    return outcome;
  }

  std::map<std::string, LogPosition> records_;
  std::map<std::string, std::int64_t> cancelled_;
};

}  // namespace carawayhaven

#endif  // CARAWAYHAVEN_TEST_ROUTE_FAKE_ROUTE_H_
