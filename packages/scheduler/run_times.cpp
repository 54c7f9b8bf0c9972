#include "run_times.h"

#include "scheduler_state.h"

#include <algorithm>

namespace crocuswind::scheduler {

namespace {

constexpr duration updateInterval = 1s;

} // namespace

void noteRunTime(const scheduler_state &state, const job_record &job, task_state &task)
{
    if (job.isRecovered || !task.checkpoint.empty())
        return;
    task.runMs = std::max<std::int64_t>(
        1,
        std::chrono::duration_cast<std::chrono::milliseconds>(state.now - task.runSince).count());
}

void learnRunTimes(scheduler_state &state, const job_record &job,
                   const occurrence_state &occurrence, int step)
{
    std::int64_t runs = 0;
    std::int64_t sumMs = 0;
    std::int64_t longestMs = 0;
    for (const task_state &task : occurrence.steps[std::size_t(step)]) {
        runs += task.runMs > 0 ? 1 : 0;
        sumMs += task.runMs;
        longestMs = std::max(longestMs, task.runMs);
    }
    const step_spec &spec = job.spec.steps[std::size_t(step)];
    if (runs > 0 && spec.expectedRunMs > 0)
        state.runTimes[job.spec.queue].record(spec.expectedRunMs, double(sumMs) / double(runs),
                                              longestMs);
}

double usualRunMs(const scheduler_state &state, const queue_id &queue, const step_spec &step)
{
    const auto found = state.runTimes.find(queue);
    return found == state.runTimes.end() ? double(step.expectedRunMs)
                                         : found->second.usualMs(step.expectedRunMs);
}

std::vector<std::int64_t> expectedCriticalPathsMs(const scheduler_state &state,
                                                  const job_spec &spec)
{
    const auto found = state.runTimes.find(spec.queue);
    std::vector<std::int64_t> runMs;
    runMs.reserve(spec.steps.size());
    for (const step_spec &step : spec.steps)
        runMs.push_back(found == state.runTimes.end()
                            ? step.expectedRunMs
                            : found->second.longestMs(step.expectedRunMs));
    return computeCriticalPathsMs(spec, runMs);
}

void updateCriticalPaths(scheduler_state &state)
{
    if (state.now < state.nextPathUpdateAt)
        return;
    state.nextPathUpdateAt = state.now + updateInterval;
    for (const auto &[name, job] : state.jobs) {
        if (!job->isOver())
            job->criticalPathsMs = expectedCriticalPathsMs(state, job->spec);
    }
}

} // namespace crocuswind::scheduler
