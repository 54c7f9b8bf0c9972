/// Case 2: a runner lists 500 ends at a time. Runs whose ends are beyond these are taken for lost
/// and are run again.
#include "../standin/stage.h"

using namespace review;

namespace {

constexpr std::int64_t outageMs = 4500; ///< The site's `platform_down` lasts up to 4.5 s.
constexpr int tasksOfJob = 1800;
constexpr int jobs = 2;

std::string wideJob()
{
    return json({{"spec", "ms=300"},
                 {"steps",
                  {{{"count", tasksOfJob}, {"cpu", 100}, {"memMb", 10}, {"estimateMs", 300}}}}})
        .dump();
}

} // namespace

int main(int, char **argv)
{
    const std::string folder = argv[1];
    recorder out(argv[2]);
    record = &out;

    store platform;
    run_log log;
    platform.put("op/config", configuration(3, json::array({queueRoute()})));
    std::vector<std::unique_ptr<runner>> runners;
    for (int i = 0; i < 2; ++i)
        runners.push_back(
            std::make_unique<runner>(platform, log, runner_settings{"w-" + std::to_string(i)}));
    entry_host first("front-a-1", platform.addAddress(), folder);
    entry_host second("front-a-2", platform.addAddress(), folder);
    const std::vector<entry_host *> all = {&first, &second};
    for (entry_host *host : all)
        host->start();
    if (!waitFor([&] { return first.isReady() && second.isReady(); }, 15000))
        finish(2, "the hosts do not become ready");
    sleepMs(2000);

    for (int i = 0; i < jobs; ++i) {
        const auto accepted = callAny(all, "POST", "/q/" + jobId(i), wideJob(), 5);
        if (!accepted || accepted->status != 200)
            finish(2, "the job is not accepted");
    }
    if (hasTrouble()) {
        record->line("trouble: the store is silent for %lld ms", static_cast<long long>(outageMs));
        platform.setAllPaths(store_path::silent);
        platform.pauseLeases(true);
        sleepMs(outageMs);
        platform.pauseLeases(false);
        platform.setAllPaths(store_path::open);
        record->line("trouble: the store answers again");
    }
    const auto hasCompleted = [&] {
        for (int i = 0; i < jobs; ++i) {
            const auto answer = call(first.front(), "GET", "/q/" + jobId(i));
            if (!answer || answer->body.find("completed") == std::string::npos)
                return false;
        }
        return true;
    };
    waitFor(hasCompleted, 40000);
    sleepMs(1000);

    // TWICE: a start after a run has ended `done`, if that end is taken note of then or later,
    // and no lease has lapsed.
    const std::vector<started_run> runs = log.runs();
    std::map<std::string, std::vector<started_run>> byTask;
    int lapsed = 0;
    for (const started_run &run : runs) {
        byTask[run.task].push_back(run);
        lapsed += run.how == "lapsed" ? 1 : 0;
    }
    int again = 0;
    for (const auto &[task, ofTask] : byTask) {
        for (const started_run &earlier : ofTask) {
            const bool isNoted = earlier.how == "done" && earlier.acknowledgedAtMs >= 0
                && !log.hasLapsed(earlier.runner, earlier.endedAtMs, earlier.acknowledgedAtMs);
            for (const started_run &later : ofTask) {
                if (!isNoted || later.startedAtMs <= earlier.endedAtMs)
                    continue;
                if (++again <= 20)
                    record->line("broken: %s run %d ended done on %s at %.3f (taken note of at "
                                 "%.3f), run %d started on %s at %.3f",
                                 task.c_str(), earlier.run, earlier.runner.c_str(),
                                 double(earlier.endedAtMs) / 1000,
                                 double(earlier.acknowledgedAtMs) / 1000, later.run,
                                 later.runner.c_str(), double(later.startedAtMs) / 1000);
            }
        }
    }
    record->line("starts %zu, tasks %zu of %d, lapsed %d, started again after done: %d",
                 runs.size(), byTask.size(), jobs * tasksOfJob, lapsed, again);
    if (again > 0)
        finish(1,
               "BROKEN TWICE: " + std::to_string(again)
                   + " starts after a run of the task has ended done, leases lapsed: "
                   + std::to_string(lapsed));
    if (byTask.size() < std::size_t(jobs * tasksOfJob))
        finish(2, "not all tasks ran: " + std::to_string(byTask.size()));
    finish(0, "held: no task was started again after it was done");
}
