#include <benchmark/benchmark.h>

#include <chrono>
#include <random>

#include "core/group/group_directory.h"
#include "core/route/request_router.h"
#include "route/fake_route.h"

namespace carawayhaven {
namespace {

// One write from Submit to its reply, including the timer calls of an event
// loop, while state.range(0) other writes are in flight.
void RequestRouterWrite(benchmark::State& state) {
  FakeServices services;
  GroupDirectory groups;
  FakeOwners owners("v");
  FakePeers peers;
  std::mt19937_64 random(1);
  RequestRouter router(services, groups, owners, peers, random);
  Request request;
  request.service = "s";
  request.access = AccessMode::kWrite;
  request.idempotent = true;
  request.deadline = At(1000000);
  for (std::int64_t i = 0; i < state.range(0); ++i) {
    router.Submit(
        request, [](const Outcome&) {}, At(0));
  }
  ForwardReplyMessage reply;
  reply.term = 1;
  reply.outcome.verdict = Verdict::kRan;
  for (auto _ : state) {
    peers.sent.clear();
    router.Submit(
        request, [](const Outcome&) {}, At(1));
    reply.correlation = peers.sent.back().message.correlation;
    router.Tick(At(1));
    benchmark::DoNotOptimize(router.NextTick());
    router.OnForwardReply("a-1", reply, At(1));
  }
}
BENCHMARK(RequestRouterWrite)->Arg(0)->Arg(400)->Arg(4000);

}  // namespace
}  // namespace carawayhaven
