// Measures the owner's cost of processing a worker's report. The workers run serving tasks of
// several images and best-effort tasks of several other images, whose measurements change. Prints
// results and asserts nothing. To get the instructions per report, run it under valgrind
// --tool=callgrind with two different numbers of rounds, and divide the difference of the
// instruction counts by the difference of the printed numbers of reports.
//
// Usage: scheduler_report_benchmark [WORKERS] [ROUNDS]

#include "correctness/scheduler_report_fleet.h"

#include <chrono>
#include <cstdio>
#include <cstdlib>

using namespace crocuswind;
using namespace crocuswind::scheduler;

namespace {

/// Latencies that a worker reports in successive rounds; the target is 100 ms.
constexpr std::int64_t latenciesMs[] = {45, 60, 85, 105, 70, 50};

/// One in this many workers always exceeds its latency target, so that its best-effort tasks are
/// throttled.
constexpr int workersPerSlowWorker = 10;
constexpr std::int64_t slowLatencyMs = 140;

/// Time between two reports at 1,500 reports a second.
constexpr duration reportInterval = 667us;

/// One report of each worker.
using report_round = std::vector<poll_result>;

void submitTasks(report_fleet &fleet, int workers)
{
    for (const char *image : {"web-frontend-a", "catalogue-search", "session-store", "ad-ranking"})
        fleet.submitServing(image, workers * 3 / 2);
    fleet.startAllTasks();
    for (const char *image :
         {"video-transcoder", "index-builder", "log-compactor", "model-trainer"})
        fleet.submitBestEffort(image, workers * 4);
    fleet.startAllTasks();
}

report_round makeRound(report_fleet &fleet, std::int64_t latencyMs)
{
    report_round round;
    int number = 0;
    for (const worker_id &worker : fleet.ids) {
        const bool isSlow = ++number % workersPerSlowWorker == 0;
        round.push_back(fleet.reportOf(worker, isSlow ? slowLatencyMs : latencyMs).second);
    }
    return round;
}

void replay(report_fleet &fleet, report_round &round)
{
    for (std::size_t worker = 0; worker < round.size(); ++worker) {
        fleet.now += reportInterval;
        round[worker].report.clockMs = fleet.clockMs();
        const poll_command command = fleet.ports.polls.at(fleet.ids[worker]);
        fleet.core.onPollResult(fleet.now, command, round[worker]);
    }
    fleet.core.tick(fleet.now, fleet.clockMs());
    fleet.now += 50ms;
    fleet.core.tick(fleet.now, fleet.clockMs());
}

} // namespace

int main(int argc, char **argv)
{
    const int workers = argc > 1 ? std::atoi(argv[1]) : 490;
    const int rounds = argc > 2 ? std::atoi(argv[2]) : 40;
    report_fleet fleet(workers);
    submitTasks(fleet, workers);
    std::vector<report_round> prepared;
    for (const std::int64_t latencyMs : latenciesMs)
        prepared.push_back(makeRound(fleet, latencyMs));
    std::size_t runs = 0;
    for (const poll_result &result : prepared[0])
        runs += result.report.running.size();
    const int pacesBefore = fleet.ports.paces;
    const auto begin = std::chrono::steady_clock::now();
    for (int round = 0; round < rounds; ++round)
        replay(fleet, prepared[std::size_t(round) % prepared.size()]);
    const double us
        = std::chrono::duration<double, std::micro>(std::chrono::steady_clock::now() - begin)
              .count();
    fmt::print("{} workers: {} reports of {:.1f} runs, {:.2f} us a report, {} paces, {} stops, {} "
               "tasks waiting, digest of all commands and log lines {:016x}\n",
               workers, workers * rounds, double(runs) / workers, us / (workers * rounds),
               fleet.ports.paces - pacesBefore, fleet.ports.stops,
               fleet.core.counters().tasksWaiting, fleet.ports.digest);
    return 0;
}
