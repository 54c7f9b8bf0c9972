// The load of a serving task rises, so that the tasks that fill beside it are slowed down and then
// moved to another runner. Shows that more of them are stopped at once than their step may miss.

#include "runner.h"
#include "site.h"

#include <set>

using namespace review;

namespace {

constexpr int runnerMilliCores = 8000;
constexpr int replicaMilliCores = 1000;
constexpr int replicas = 4;
constexpr std::size_t mayMiss = 1;
constexpr auto startupTime = 500ms;

constexpr const char *servingJob = "00000000000000b1";
constexpr const char *fillingJob = "00000000000000b2";

bool isReplica(const std::string &task)
{
    return task.rfind(fillingJob, 0) == 0;
}

/// Computes the tail of the serving task, and checks the rule AVAIL for the step of the replicas.
class avail_check final : public runner_events
{
public:
    explicit avail_check(case_record &record)
        : m_record(record)
    { }

    std::chrono::milliseconds duration(const std::string &) override { return 1h; }

    void onStart(const task_start &start) override
    {
        const std::lock_guard lock(m_mutex);
        m_startedAt[start.task] = steady::now();
    }

    void onStopOrder(const std::string &runner, const std::string &task, int) override
    {
        end(runner, task, "a stop");
    }

    void onEnd(const std::string &runner, const std::string &task, int,
               const std::string &how) override
    {
        if (how == "lapsed")
            end(runner, task, "a lapsed lease");
    }

    void onAcknowledged(const std::string &, const std::string &, int, const std::string &) override
    { }

    std::pair<int, std::int64_t> measure(const std::string &runner, const std::string &task,
                                         const std::map<std::string, task_run> &running) override
    {
        const std::lock_guard lock(m_mutex);
        const int percent = isAtWork(task) ? 100 : 50;
        if (isReplica(task))
            return {percent, replicaMilliCores * running.at(task).pacePercent / 100};
        return {percent, tailMs(runner, running)};
    }

    bool areAllAtWork() const
    {
        const std::lock_guard lock(m_mutex);
        int atWork = 0;
        for (const auto &[task, since] : m_startedAt)
            atWork += isReplica(task) && isAtWork(task) ? 1 : 0;
        return atWork == replicas;
    }

    void raiseLoad()
    {
        const std::lock_guard lock(m_mutex);
        m_load = 0.72;
    }

private:
    // "Such a task is at work when its percent is 100."
    bool isAtWork(const std::string &task) const
    {
        const auto found = m_startedAt.find(task);
        return found != m_startedAt.end() && steady::now() - found->second >= startupTime;
    }

    // The tail grows with the utilisation by the task's own users and by what fills beside it.
    std::int64_t tailMs(const std::string &runner,
                        const std::map<std::string, task_run> &running) const
    {
        double filling = 0;
        for (const auto &[task, run] : running) {
            if (isReplica(task))
                filling += double(replicaMilliCores) / runnerMilliCores * run.pacePercent / 100;
        }
        const double load = runner == "i-1" ? m_load : 0.3;
        const double utilisation = std::min(0.98, load + 0.8 * filling);
        return std::int64_t(10 / (1 - utilisation));
    }

    // An order, or a lapsed lease, ends a task of the step.
    void end(const std::string &runner, const std::string &task, const std::string &how)
    {
        const std::lock_guard lock(m_mutex);
        if (!isReplica(task) || !isAtWork(task))
            return;
        const auto now = steady::now();
        std::size_t away = 0;
        for (const auto &[other, at] : m_orderedAt) {
            // Away by such an order until it is at work again, or for any cause for a while.
            const bool isBack = m_startedAt.count(other) != 0 && isAtWork(other);
            away += other != task && !isBack ? 1 : 0;
        }
        if (away >= mayMiss)
            m_record.breakRule("AVAIL: " + how + " ends " + task + ", which is at work on " + runner
                               + ", while " + std::to_string(away)
                               + " others of its step are away");
        m_orderedAt[task] = now;
        m_startedAt.erase(task);
    }

    case_record &m_record;
    mutable std::mutex m_mutex;
    double m_load = 0.3;
    std::map<std::string, steady::time_point> m_startedAt;
    std::map<std::string, steady::time_point> m_orderedAt;
};

} // namespace

int main(int, char **arguments)
{
    auto &record = *new case_record(arguments[1]);
    auto &check = *new avail_check(record);
    auto &site = *new small_site(record);
    playCase(record, site, [&] {
        new runner("i-1", "a", runnerMilliCores, site.store(), record, check);
        site.submit(servingJob,
                    {{{"count", 1},
                      {"cpu", 2000},
                      {"memMb", 1000},
                      {"estimateMs", 500},
                      {"longRunning", true},
                      {"image", "frontend"},
                      {"targetMs", 50}}});
        site.submit(fillingJob,
                    {{{"count", replicas},
                      {"cpu", replicaMilliCores},
                      {"memMb", 1000},
                      {"estimateMs", 500},
                      {"longRunning", true},
                      {"fills", true},
                      {"mayMiss", mayMiss},
                      {"image", "comparison"}}});
        std::this_thread::sleep_for(6s);
        // A new, empty runner.
        new runner("i-2", "a", runnerMilliCores, site.store(), record, check);
        small_site::waitFor([&] { return check.areAllAtWork(); }, 30s);
        std::this_thread::sleep_for(5s);
        record.note(hasTrouble() ? "the load rises" : "the load stays");
        if (hasTrouble())
            check.raiseLoad();
        std::this_thread::sleep_for(20s);
    });
}
