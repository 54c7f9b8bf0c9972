// A runner leaves orders to pace unanswered for a moment and carries them out seconds later, after
// newer ones. Shows that the system never corrects the pace that they set.

#include "runner.h"
#include "site.h"

using namespace review;

namespace {

constexpr int runnerMilliCores = 8000;
constexpr int fillingMilliCores = 2000;
constexpr int fillingTasks = 2;
constexpr std::int64_t targetMs = 50;
constexpr double lowLoad = 0.3;
constexpr double highLoad = 0.72;
constexpr auto startupTime = 500ms;

/// How long the runner leaves orders unanswered, and how much later it carries them out.
constexpr auto lateWindow = 2500ms;
constexpr auto orderDelay = 9s;
/// Only the first order that raises a pace to this and more.
constexpr int latePercent = 60;
constexpr int lateOrders = 1;

constexpr auto contactTime = 3000ms;
constexpr auto harmTime = 4000ms;

constexpr const char *servingJob = "00000000000000e1";
constexpr const char *fillingJob = "00000000000000e2";

bool isFilling(const std::string &task)
{
    return task.rfind(fillingJob, 0) == 0;
}

/// Computes the tail of the serving task, and checks the rule HARM.
class harm_check final : public runner_events
{
public:
    explicit harm_check(case_record &record)
        : m_record(record)
    { }

    std::chrono::milliseconds duration(const std::string &) override { return 1h; }

    void onStart(const task_start &start) override
    {
        const std::lock_guard lock(m_mutex);
        m_startedAt[start.task] = steady::now();
    }

    void onStopOrder(const std::string &, const std::string &, int) override { }
    void onEnd(const std::string &, const std::string &, int, const std::string &) override { }
    void onAcknowledged(const std::string &, const std::string &, int, const std::string &) override
    { }

    std::chrono::milliseconds delayOfPace(int percent) override
    {
        const std::lock_guard lock(m_mutex);
        const bool isLate
            = m_lateUntil > steady::now() && percent >= latePercent && m_lateOrders < lateOrders;
        if (isLate) {
            ++m_lateOrders;
            m_disturbedUntil = steady::now() + orderDelay;
        }
        return isLate ? std::chrono::milliseconds(orderDelay) : 0ms;
    }

    std::pair<int, std::int64_t> measure(const std::string &, const std::string &task,
                                         const std::map<std::string, task_run> &running) override
    {
        const std::lock_guard lock(m_mutex);
        const bool isUp = steady::now() - m_startedAt[task] >= startupTime;
        if (isFilling(task))
            return {50, fillingMilliCores * running.at(task).pacePercent / 100};
        const std::int64_t tail = tailMs(fillingShare(running));
        checkHarm(tail, isUp);
        return {isUp ? 100 : 50, tail};
    }

    void setLoad(double load)
    {
        const std::lock_guard lock(m_mutex);
        m_load = load;
        m_record.note("load " + std::to_string(load));
    }

    void leaveOrdersUnanswered()
    {
        const std::lock_guard lock(m_mutex);
        m_lateUntil = steady::now() + lateWindow;
        m_disturbedUntil = m_lateUntil;
    }

    std::size_t tasks() const
    {
        const std::lock_guard lock(m_mutex);
        return m_startedAt.size();
    }

private:
    static double fillingShare(const std::map<std::string, task_run> &running)
    {
        double share = 0;
        for (const auto &[task, run] : running) {
            if (isFilling(task))
                share += double(fillingMilliCores) / runnerMilliCores * run.pacePercent / 100;
        }
        return share;
    }

    // The tail grows with the utilisation by the task's own users and by what fills beside it.
    std::int64_t tailMs(double filling) const
    {
        return std::int64_t(10 / (1 - std::min(0.98, m_load + 0.8 * filling)));
    }

    // Over the target for `harmMs` on end, and under it without what fills beside it. The orders
    // that were carried out late count as near for `contactMs`.
    void checkHarm(std::int64_t tail, bool isUp)
    {
        const auto now = steady::now();
        const bool isHarmed = isUp && tail > targetMs && tailMs(0) <= targetMs;
        if (!isHarmed || now < m_disturbedUntil + contactTime) {
            m_harmedSince.reset();
            return;
        }
        m_harmedSince = m_harmedSince.value_or(now);
        if (now - *m_harmedSince < harmTime || m_isBroken)
            return;
        m_isBroken = true;
        m_record.breakRule("HARM: the serving task has been over its target of "
                           + std::to_string(targetMs) + " ms for 4 s, now " + std::to_string(tail)
                           + " ms; without what fills beside it " + std::to_string(tailMs(0))
                           + " ms");
    }

    case_record &m_record;
    mutable std::mutex m_mutex;
    double m_load = lowLoad;
    std::map<std::string, steady::time_point> m_startedAt;
    steady::time_point m_lateUntil;
    steady::time_point m_disturbedUntil;
    std::optional<steady::time_point> m_harmedSince;
    int m_lateOrders = 0;
    bool m_isBroken = false;
};

} // namespace

int main(int, char **arguments)
{
    auto &record = *new case_record(arguments[1]);
    auto &check = *new harm_check(record);
    auto &site = *new small_site(record);
    playCase(record, site, [&] {
        for (const char *id : {"i-1", "i-2", "i-3", "i-4", "i-5"})
            new runner(id, "a", runnerMilliCores, site.store(), record, check);
        new runner("i-6", "b", runnerMilliCores, site.store(), record, check);
        site.submit(servingJob,
                    {{{"count", 1},
                      {"cpu", 2000},
                      {"memMb", 1000},
                      {"estimateMs", 500},
                      {"requirements", "b"},
                      {"longRunning", true},
                      {"image", "frontend"},
                      {"targetMs", targetMs}}});
        site.submit(fillingJob,
                    {{{"count", fillingTasks},
                      {"cpu", fillingMilliCores},
                      {"memMb", 1000},
                      {"estimateMs", 60000},
                      {"requirements", "b"},
                      {"fills", true},
                      {"image", "comparison"}}});
        small_site::waitFor([&] { return check.tasks() == 1 + fillingTasks; }, 30s);
        std::this_thread::sleep_for(6s);
        check.setLoad(highLoad);
        std::this_thread::sleep_for(6s);
        if (hasTrouble())
            check.leaveOrdersUnanswered();
        check.setLoad(lowLoad);
        std::this_thread::sleep_for(4s);
        check.setLoad(highLoad);
        std::this_thread::sleep_for(30s);
    });
}
