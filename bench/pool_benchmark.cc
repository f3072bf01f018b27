#include <benchmark/benchmark.h>

#include <atomic>
#include <chrono>
#include <cstdlib>
#include <ctime>
#include <new>

#include "core/queue/endpoint_pool.h"
#include "queue/fake_endpoint.h"

namespace {

std::atomic<std::int64_t> allocations = 0;

}  // namespace

// Replaced to count the allocations of the whole program.
[[gnu::noinline]] void* operator new(std::size_t size) {
  ++allocations;
  if (void* memory = std::malloc(size)) return memory;
  throw std::bad_alloc();
}
[[gnu::noinline]] void operator delete(void* memory) noexcept {
  std::free(memory);
}
[[gnu::noinline]] void operator delete(void* memory, std::size_t) noexcept {
  std::free(memory);
}

namespace carawayhaven {
namespace {

class IgnoreAnswers : public EndpointPoolHandler {
  void OnEndpointAnswer(const EndpointName&, const EndpointAnswer&,
                        TimePoint) override {}
};

/// Processor time of one request at an empty queue, the base of the ratios.
double empty_queue_ns = 0;

// One request from Submit to its answer, including the timer calls of an event
// loop, while state.range(0) requests of four teams are queued. Reports the
// ratio to the time at an empty queue in the same run: a ratio that grows with
// the queue means that some event scans it.
void PoolRequest(benchmark::State& state) {
  FakeEndpoint link;
  IgnoreAnswers handler;
  EndpointPool pool(EndpointPoolOptions(), link, handler);
  TimePoint now;
  pool.Tick(now);
  link.FinishOpening(pool, now);
  std::uint64_t number = 0;
  const auto submit = [&] {
    Request request;
    request.service = "s";
    request.team = "team " + std::to_string(number % 4);
    request.statement = "select " + std::to_string(number++ % 50);
    request.max_age = std::chrono::seconds(1);
    request.deadline = now + std::chrono::hours(1);
    pool.Submit(
        std::move(request), 1, [](const Outcome&) {}, now);
  };
  const auto answer_first = [&] {
    const FakeEndpoint::Sent first = link.sent.front();
    link.sent.erase(link.sent.begin());
    FakeEndpoint::Answer(pool, first, now);
  };
  // Runs every statement text four times, so that all are classified as short.
  for (int i = 0; i < 200; ++i) {
    submit();
    now += std::chrono::milliseconds(1);
    answer_first();
  }
  const std::uint32_t slots = EndpointPoolOptions().slots;
  for (std::int64_t i = 0; i < state.range(0) + slots - 1; ++i) submit();
  const std::int64_t before = allocations;
  const std::clock_t start = std::clock();
  for (auto _ : state) {
    submit();
    // Keeps the run times at about 1 ms, so that no text is reclassified as
    // long.
    now += std::chrono::microseconds(333);
    pool.Tick(now);
    benchmark::DoNotOptimize(pool.NextTick());
    answer_first();
  }
  const auto passed = static_cast<double>(std::clock() - start);
  const auto iterations = static_cast<double>(state.iterations());
  const double ns = passed * 1e9 / CLOCKS_PER_SEC / iterations;
  if (state.range(0) == 0) empty_queue_ns = ns;
  state.counters["allocations"] =
      static_cast<double>(allocations - before) / iterations;
  state.counters["queued"] = static_cast<double>(pool.stats().queued_short);
  state.counters["ratio"] = ns / empty_queue_ns;
}
BENCHMARK(PoolRequest)->Arg(0)->Arg(1000)->Arg(9990)->Iterations(100000);

}  // namespace
}  // namespace carawayhaven
