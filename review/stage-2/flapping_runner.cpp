// A runner with lasting tasks crashes, starts again under its id after 3.5 s, checks in and is lost
// for good at once. Shows how long its tasks run nowhere, although other runners are empty.

#include "runner.h"
#include "site.h"

#include <set>

using namespace review;

namespace {

constexpr int runnerMilliCores = 8000;
constexpr int taskMilliCores = 1000;
constexpr int lastingTasks = 3;
constexpr auto downTime = 3500ms;
/// The store removes the entry of a runner after three check-in intervals of silence.
constexpr auto entryTime = 4500ms;

/// The rule asks for each task that lasts from 6 s after its last run, for 3 s that are calm, as
/// are the 4 s before them.
constexpr auto graceTime = 6s;
constexpr auto absenceTime = 3s;
constexpr auto calmTime = 7s;

constexpr const char *lastingJob = "00000000000000f1";

/// Knows where the lasting tasks run, and checks the rule LOST.
class lost_check final : public runner_events
{
public:
    explicit lost_check(case_record &record)
        : m_record(record)
    { }

    std::chrono::milliseconds duration(const std::string &) override { return 1h; }

    void onStart(const task_start &start) override
    {
        const std::lock_guard lock(m_mutex);
        m_running[start.task] = start.runner;
    }

    void onStopOrder(const std::string &, const std::string &, int) override { }

    void onEnd(const std::string &runner, const std::string &task, int,
               const std::string &) override
    {
        const std::lock_guard lock(m_mutex);
        if (m_running[task] == runner)
            endRun(task);
    }

    void onAcknowledged(const std::string &, const std::string &, int, const std::string &) override
    { }

    std::pair<int, std::int64_t> measure(const std::string &, const std::string &,
                                         const std::map<std::string, task_run> &) override
    {
        return {100, taskMilliCores};
    }

    /// The runner is disturbed now; with \p crashes it loses all its runs.
    void disturb(const std::string &runner, bool crashes)
    {
        const std::lock_guard lock(m_mutex);
        m_disturbedAt = steady::now();
        std::vector<std::string> ended;
        for (const auto &[task, where] : m_running) {
            if (crashes && where == runner)
                ended.push_back(task);
        }
        for (const std::string &task : ended)
            endRun(task);
    }

    /// Returns the runner of the lasting tasks once they all run, otherwise nothing.
    std::optional<std::string> runnerOfAll() const
    {
        const std::lock_guard lock(m_mutex);
        std::set<std::string> runners;
        for (const auto &[task, runner] : m_running)
            runners.insert(runner);
        if (m_running.size() != lastingTasks || runners.size() != 1)
            return std::nullopt;
        return *runners.begin();
    }

    void checkNow()
    {
        const std::lock_guard lock(m_mutex);
        const auto now = steady::now();
        for (const auto &[task, since] : m_absentSince) {
            const bool isLost = now - since >= graceTime + absenceTime
                && now - m_disturbedAt >= calmTime && m_broken.insert(task).second;
            if (isLost)
                m_record.breakRule("LOST: " + task + " is to last and has not run for "
                                   + std::to_string((now - since) / 1ms) + " ms, the last "
                                   + std::to_string((now - m_disturbedAt) / 1ms)
                                   + " ms of them without any disturbance, with capacity for it");
        }
        for (const auto &[task, runner] : m_running)
            m_absentSince.erase(task);
    }

private:
    void endRun(const std::string &task)
    {
        m_running.erase(task);
        m_absentSince[task] = steady::now();
    }

    case_record &m_record;
    mutable std::mutex m_mutex;
    std::map<std::string, std::string> m_running; ///< The runner of each lasting task.
    std::map<std::string, steady::time_point> m_absentSince;
    steady::time_point m_disturbedAt;
    std::set<std::string> m_broken;
};

} // namespace

int main(int, char **arguments)
{
    auto &record = *new case_record(arguments[1]);
    auto &check = *new lost_check(record);
    auto &site = *new small_site(record);
    playCase(record, site, [&] {
        std::map<std::string, runner *> runners;
        for (const char *id : {"i-1", "i-2", "i-3", "i-4", "i-5", "i-6", "i-7", "i-8"})
            runners[id] = new runner(id, "a", runnerMilliCores, site.store(), record, check);
        std::this_thread::sleep_for(4s);
        site.submit(lastingJob,
                    {{{"count", lastingTasks},
                      {"cpu", taskMilliCores},
                      {"memMb", 100},
                      {"estimateMs", 400},
                      {"longRunning", true}}});
        small_site::waitFor([&] { return check.runnerOfAll().has_value(); }, 20s);
        std::this_thread::sleep_for(5s);

        const std::string id = *check.runnerOfAll();
        runner &lost = *runners.at(id);
        const auto lostAt = steady::now();
        lost.cut();
        lost.restart(runnerMilliCores);
        check.disturb(id, true);
        std::this_thread::sleep_until(lostAt + downTime);
        // With the disruption the new life checks in and is lost right after, without it (a crash
        // for good alone) the runner never comes back.
        if (hasTrouble()) {
            lost.checkInNow();
            check.disturb("", false);
        }
        const auto removedAt = (hasTrouble() ? steady::now() : lostAt) + entryTime;
        bool isListed = true;
        for (int i = 0; i < 200; ++i) {
            std::this_thread::sleep_for(100ms);
            if (isListed && steady::now() >= removedAt) {
                isListed = false;
                site.store().erase("servers/" + id);
                record.note("the entry of " + id + " is removed");
            }
            check.checkNow();
        }
        site.call("GET", lastingJob, nullptr, 3s);
    });
}
