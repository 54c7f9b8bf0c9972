#include "task_audit.h"

#include <algorithm>
#include <fmt/format.h>

namespace crocuswind::standin {

namespace {

constexpr std::size_t maxNamesListed = 20;

} // namespace

void task_audit::started(const task_id &task, std::int64_t fromCheckpoint)
{
    task_history &h = m_tasks[{task.job, task.replica}];
    ++h.starts;
    ++h.running;
    h.highestRunning = std::max(h.highestRunning, h.running);
    if (task.attempt <= h.highestAttempt)
        ++h.staleAttempts;
    h.highestAttempt = std::max(h.highestAttempt, task.attempt);
    if (fromCheckpoint < h.lastCheckpoint)
        ++h.resumesBelowCheckpoint;
}

void task_audit::checkpointed(const task_id &task, std::int64_t number)
{
    task_history &h = m_tasks[{task.job, task.replica}];
    h.lastCheckpoint = std::max(h.lastCheckpoint, number);
}

void task_audit::ended(const task_id &task, task_completion_reason why)
{
    task_history &h = m_tasks[{task.job, task.replica}];
    --h.running;
    switch (why) {
    case task_completion_reason::done:
        ++h.done;
        break;
    case task_completion_reason::failed:
        ++h.failed;
        break;
    case task_completion_reason::stopped:
        ++h.stopped;
        break;
    case task_completion_reason::lease_expired:
        ++h.leaseExpired;
        break;
    case task_completion_reason::restart:
        ++h.lostInRestart;
        break;
    }
}

const task_history &task_audit::history(const job_id &job, int replica) const
{
    static const task_history none;
    const auto found = m_tasks.find({job, replica});
    return found == m_tasks.end() ? none : found->second;
}

nlohmann::json task_audit::summary() const
{
    task_history sum;
    nlohmann::json concurrent = nlohmann::json::array();
    nlohmann::json doneTwice = nlohmann::json::array();
    std::int64_t concurrentCount = 0;
    std::int64_t doneTwiceCount = 0;
    for (const auto &[key, h] : m_tasks) {
        const std::string name = fmt::format("{}#{}", toString(key.first), key.second);
        if (h.highestRunning > 1 && ++concurrentCount <= std::int64_t(maxNamesListed))
            concurrent.push_back(name);
        if (h.done > 1 && ++doneTwiceCount <= std::int64_t(maxNamesListed))
            doneTwice.push_back(name);
        sum.starts += h.starts;
        sum.running += h.running;
        sum.highestRunning = std::max(sum.highestRunning, h.highestRunning);
        sum.done += h.done;
        sum.failed += h.failed;
        sum.stopped += h.stopped;
        sum.leaseExpired += h.leaseExpired;
        sum.lostInRestart += h.lostInRestart;
        sum.staleAttempts += h.staleAttempts;
        sum.resumesBelowCheckpoint += h.resumesBelowCheckpoint;
    }
    return {{"replicas", m_tasks.size()},
            {"starts", sum.starts},
            {"running", sum.running},
            {"done", sum.done},
            {"failed", sum.failed},
            {"stopped", sum.stopped},
            {"lease_expired", sum.leaseExpired},
            {"lost_in_restart", sum.lostInRestart},
            {"highest_concurrent_attempts", sum.highestRunning},
            {"replicas_run_concurrently", concurrentCount},
            {"run_concurrently", concurrent},
            {"replicas_done_twice", doneTwiceCount},
            {"done_twice", doneTwice},
            {"stale_attempts_started", sum.staleAttempts},
            {"resumes_below_checkpoint", sum.resumesBelowCheckpoint}};
}

} // namespace crocuswind::standin
