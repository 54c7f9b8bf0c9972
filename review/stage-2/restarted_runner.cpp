// A runner is cut off for less than a second, crashes behind the cut and starts again under its id.
// Shows a task that is started again after its end was acknowledged.

#include "runner.h"
#include "site.h"

#include <set>

using namespace review;

namespace {

/// From the beginning of the cut.
constexpr auto restartTime = 200ms;
constexpr auto cutTime = 700ms;
constexpr int runnerMilliCores = 8000;
constexpr auto workTime = 300ms;

/// Checks the rule TWICE.
class twice_check final : public runner_events
{
public:
    explicit twice_check(case_record &record)
        : m_record(record)
    { }

    std::chrono::milliseconds duration(const std::string &) override { return workTime; }

    void onStart(const task_start &start) override
    {
        const std::lock_guard lock(m_mutex);
        if (m_acknowledged.count(start.task) != 0)
            m_record.breakRule("TWICE: " + start.task + " is started as run "
                               + std::to_string(start.run) + " on " + start.runner
                               + " after a run has ended done and the end was acknowledged");
        m_startsAfterDone[start.task] = m_done.count(start.task) != 0;
    }

    void onStopOrder(const std::string &, const std::string &, int) override { }

    void onEnd(const std::string &, const std::string &task, int, const std::string &how) override
    {
        const std::lock_guard lock(m_mutex);
        if (how == "done")
            m_done.insert(task);
    }

    void onAcknowledged(const std::string &, const std::string &task, int,
                        const std::string &how) override
    {
        const std::lock_guard lock(m_mutex);
        if (how != "done")
            return;
        const bool isFirst = m_acknowledged.insert(task).second;
        if (isFirst && m_startsAfterDone[task])
            m_record.breakRule("TWICE: " + task
                               + " was started after a run had ended done, and the end is "
                                 "acknowledged later");
    }

    std::pair<int, std::int64_t> measure(const std::string &, const std::string &,
                                         const std::map<std::string, task_run> &) override
    {
        return {50, 1000};
    }

    bool isAcknowledged(const std::string &task) const
    {
        const std::lock_guard lock(m_mutex);
        return m_acknowledged.count(task) != 0;
    }

private:
    case_record &m_record;
    mutable std::mutex m_mutex;
    std::set<std::string> m_done;
    std::set<std::string> m_acknowledged;
    std::map<std::string, bool> m_startsAfterDone;
};

// One task that only the runner of kind "b" may run.
json oneTask()
{
    return {
        {{"count", 1}, {"cpu", 1000}, {"memMb", 100}, {"estimateMs", 300}, {"requirements", "b"}}};
}

} // namespace

int main(int, char **arguments)
{
    auto &record = *new case_record(arguments[1]);
    auto &check = *new twice_check(record);
    auto &site = *new small_site(record);
    playCase(record, site, [&] {
        for (const char *id : {"i-1", "i-2", "i-3", "i-4", "i-6"})
            new runner(id, "a", runnerMilliCores, site.store(), record, check);
        auto &cutOff = *new runner("i-5", "b", runnerMilliCores, site.store(), record, check);
        site.submit("00000000000000a1", oneTask());
        small_site::waitFor([&] { return check.isAcknowledged("00000000000000a1.0.0.0"); }, 10s);

        const auto cutAt = steady::now();
        if (hasTrouble())
            cutOff.cut();
        site.submit("00000000000000a2", oneTask());
        std::this_thread::sleep_until(cutAt + restartTime);
        if (hasTrouble())
            cutOff.restart(runnerMilliCores);
        std::this_thread::sleep_until(cutAt + cutTime);
        if (hasTrouble())
            cutOff.heal();
        std::this_thread::sleep_until(cutAt + cutTime + 250ms);
        site.submit("00000000000000a3", oneTask());

        std::this_thread::sleep_for(8s);
        for (const char *job : {"00000000000000a1", "00000000000000a2", "00000000000000a3"})
            site.call("GET", job, nullptr, 3s);
    });
}
