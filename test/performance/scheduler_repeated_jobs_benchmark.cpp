// Measures the memory that repeated jobs take on an owner: accepted and not due yet, after another
// host has taken over, and when all occurrences are due and no worker is free. Prints results and
// asserts nothing.
// Usage: scheduler_repeated_jobs_benchmark [JOBS]

#include "correctness/scheduler_world.h"

#include <cstdio>
#include <cstdlib>
#include <fmt/format.h>
#include <malloc.h>

using namespace crocuswind;
using namespace crocuswind::scheduler;

namespace {

constexpr int repetitions = 1000;
constexpr int tasksOfOccurrence = 100;

// Returns the heap in use. Larger allocations lie outside of it, in mappings of their own.
std::size_t heapBytes()
{
    const auto info = mallinfo2();
    return info.uordblks + info.hblkhd;
}

// Submits the jobs to an owner without workers, lets another host take over, and prints the growth
// of the heap.
void measure(const char *title, int jobs, duration untilFirst, duration period)
{
    scheduler_world world;
    fake_host &first = world.addHost("host-1");
    world.takeOver(first);
    world.run(200ms);
    const std::size_t before = heapBytes();
    for (int i = 0; i < jobs; ++i) {
        job_spec spec = plainJob(fmt::format("job-{}", i), tasksOfOccurrence);
        spec.scheduledOccurrences = repetitions;
        spec.firstDueUnixMs = world.unixMs() + toMs(untilFirst);
        spec.periodMs = toMs(period);
        first.call(job_call_kind::submit, spec.name, &spec);
        world.run(50ms);
    }
    world.run(1s);
    const std::size_t accepted = heapBytes() - before;
    first.core.giveUp(world.now);
    first.isDead = true;
    world.run(2s);
    fake_host &second = world.addHost("host-2");
    const std::size_t beforeTakeover = heapBytes();
    world.takeOver(second);
    world.run(1s);
    const std::size_t takenOver = heapBytes() - beforeTakeover;
    fmt::print("{}: {} jobs of {} repetitions of {} tasks: {:.3f} MB accepted, {:.3f} MB a job; "
               "{:.3f} MB taken over, {:.3f} MB a job\n",
               title, jobs, repetitions, tasksOfOccurrence, double(accepted) / 1e6,
               double(accepted) / 1e6 / jobs, double(takenOver) / 1e6,
               double(takenOver) / 1e6 / jobs);
}

} // namespace

int main(int argc, char **argv)
{
    const int jobs = argc > 1 ? std::atoi(argv[1]) : 200;
    measure("not due", jobs, 3600s, 60s);
    measure("overdue", jobs, 0s, 0s);
    return 0;
}
