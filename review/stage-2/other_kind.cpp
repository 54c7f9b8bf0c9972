// An idle runner is cut off, crashes behind the cut and starts again under its id as a smaller
// kind. Shows that it is filled by the room of its former life.

#include "runner.h"
#include "site.h"

using namespace review;

namespace {

/// From the beginning of the cut.
constexpr auto restartTime = 200ms;
constexpr auto shortCut = 1650ms;
constexpr auto longCut = 2600ms;
/// From the beginning of the long cut until a first job comes.
constexpr auto firstJobTime = 300ms;
/// From the end of the cut until the job comes that is too large for the new life.
constexpr auto jobDelay = 40ms;

constexpr int runnerMilliCores = 8000;
constexpr int laterMilliCores = 3000;
constexpr int taskMilliCores = 1000;

/// Checks the rule LIMIT.
class limit_check final : public runner_events
{
public:
    explicit limit_check(case_record &record)
        : m_record(record)
    { }

    std::chrono::milliseconds duration(const std::string &) override { return 2s; }

    void onStart(const task_start &start) override
    {
        if (int(start.running) * taskMilliCores > start.milliCores)
            m_record.breakRule("LIMIT: the start of " + start.task + " brings " + start.runner
                               + " to " + std::to_string(start.running * taskMilliCores) + " of "
                               + std::to_string(start.milliCores));
    }

    void onStopOrder(const std::string &, const std::string &, int) override { }
    void onEnd(const std::string &, const std::string &, int, const std::string &) override { }
    void onAcknowledged(const std::string &, const std::string &, int, const std::string &) override
    { }

    std::pair<int, std::int64_t> measure(const std::string &, const std::string &,
                                         const std::map<std::string, task_run> &) override
    {
        return {50, taskMilliCores};
    }

private:
    case_record &m_record;
};

// Tasks that only the runner of this kind may run.
json tasksFor(const std::string &kind, int count)
{
    return {{{"count", count},
             {"cpu", taskMilliCores},
             {"memMb", 100},
             {"estimateMs", 2000},
             {"requirements", kind}}};
}

/// Plays the cut of one idle runner. The names of its jobs begin with \p jobs.
void playCut(small_site &site, runner &idle, const std::string &kind, const std::string &jobs,
             std::chrono::milliseconds cutTime)
{
    site.submit(jobs + "1", tasksFor(kind, 1)); // So that the owner knows the runner.
    std::this_thread::sleep_for(8s);

    idle.waitForHold();
    std::this_thread::sleep_for(20ms); // The answer arrives before the cut.
    const auto cutAt = steady::now();
    if (hasTrouble())
        idle.cut();
    std::this_thread::sleep_until(cutAt + restartTime);
    if (hasTrouble())
        idle.restart(laterMilliCores);
    std::this_thread::sleep_until(cutAt + firstJobTime);
    if (cutTime == longCut)
        site.submit(jobs + "2", tasksFor(kind, 1));
    std::this_thread::sleep_until(cutAt + cutTime);
    if (hasTrouble())
        idle.heal();
    std::this_thread::sleep_until(cutAt + cutTime + jobDelay);
    site.submit(jobs + "3", tasksFor(kind, 8));
    std::this_thread::sleep_for(12s);
    site.call("GET", jobs + "3", nullptr, 3s);
}

} // namespace

int main(int, char **arguments)
{
    auto &record = *new case_record(arguments[1]);
    auto &check = *new limit_check(record);
    auto &site = *new small_site(record);
    playCase(record, site, [&] {
        for (const char *id : {"i-1", "i-2", "i-3", "i-4", "i-5", "i-6", "i-7"})
            new runner(id, "a", runnerMilliCores, site.store(), record, check);
        auto &first = *new runner("i-8", "b", runnerMilliCores, site.store(), record, check);
        auto &second = *new runner("i-9", "c", runnerMilliCores, site.store(), record, check);
        playCut(site, first, "b", "00000000000000c", shortCut);
        playCut(site, second, "c", "00000000000000d", longCut);
    });
}
