// Measures what the report of a worker costs the owner: workers with serving tasks of several
// images and work of several others in idle room, with figures that change. Prints figures; asserts
// nothing. Instructions of a report: the difference between two numbers of rounds under
// valgrind --tool=callgrind, divided by the difference of the printed numbers of reports.
// Usage: scheduler_report_benchmark [WORKERS] [ROUNDS]

#include "correctness/scheduler_report_fleet.h"

#include <chrono>
#include <cstdio>
#include <cstdlib>

using namespace crocuswind;
using namespace crocuswind::scheduler;

namespace {

/// Latencies that a worker reports one after the other, against a target of 100 ms.
constexpr std::int64_t latenciesMs[] = {45, 60, 85, 105, 70, 50};

/// One worker of this many is over its target all the time, so that its work in idle room is held
/// back.
constexpr int workersForSlowOne = 10;
constexpr std::int64_t slowLatencyMs = 140;

/// At 1,500 reports a second.
constexpr duration reportDistance = 667us;

/// Reports of all workers.
using report_round = std::vector<poll_result>;

void fillUp(report_fleet &fleet, int workers)
{
    for (const char *image : {"web-frontend-a", "catalogue-search", "session-store", "ad-ranking"})
        fleet.serve(image, workers * 3 / 2);
    fleet.placeAll();
    for (const char *image :
         {"video-transcoder", "index-builder", "log-compactor", "model-trainer"})
        fleet.fill(image, workers * 4);
    fleet.placeAll();
}

report_round makeRound(report_fleet &fleet, std::int64_t latencyMs)
{
    report_round round;
    int number = 0;
    for (const worker_id &worker : fleet.ids) {
        const bool isSlow = ++number % workersForSlowOne == 0;
        round.push_back(fleet.reportOf(worker, isSlow ? slowLatencyMs : latencyMs).second);
    }
    return round;
}

void replay(report_fleet &fleet, report_round &round)
{
    for (std::size_t worker = 0; worker < round.size(); ++worker) {
        fleet.now += reportDistance;
        round[worker].report.clockMs = fleet.clockMs();
        const poll_command order = fleet.ports.polls.at(fleet.ids[worker]);
        fleet.core.onPollResult(fleet.now, order, round[worker]);
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
    fillUp(fleet, workers);
    std::vector<report_round> prepared;
    for (const std::int64_t latencyMs : latenciesMs)
        prepared.push_back(makeRound(fleet, latencyMs));
    std::size_t rows = 0;
    for (const poll_result &result : prepared[0])
        rows += result.report.running.size();
    const int pacesBefore = fleet.ports.paces;
    const auto begin = std::chrono::steady_clock::now();
    for (int round = 0; round < rounds; ++round)
        replay(fleet, prepared[std::size_t(round) % prepared.size()]);
    const double us
        = std::chrono::duration<double, std::micro>(std::chrono::steady_clock::now() - begin)
              .count();
    fmt::print("{} workers: {} reports of {:.1f} runs, {:.2f} us a report, {} paces, {} stops, {} "
               "tasks waiting, digest of all orders and lines {:016x}\n",
               workers, workers * rounds, double(rows) / workers, us / (workers * rounds),
               fleet.ports.paces - pacesBefore, fleet.ports.stops,
               fleet.core.counters().tasksWaiting, fleet.ports.digest);
    return 0;
}
