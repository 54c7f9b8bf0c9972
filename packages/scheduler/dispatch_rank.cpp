#include "dispatch_rank.h"

#include <algorithm>
#include <optional>

namespace crocuswind::scheduler {

namespace {

/// A job counts as late when the estimate of its remaining critical path, times this margin, no
/// longer fits before the objective. Without a margin, tasks started at the last moment end
/// slightly too late.
constexpr double estimateMargin = 1.2;

/// A continuous task must run again within 6 s of its last run. After this time it goes before all
/// other work.
constexpr duration longestInterruption = 2500ms;

// Returns since when the task of the step waits that was interrupted first, or nothing if none was
// interrupted for long.
std::optional<instant> longInterruptedSince(const scheduler_state &state,
                                            const std::vector<task_state> &tasks)
{
    std::optional<instant> since;
    for (const task_state &task : tasks) {
        if (isInterruptedForLong(state, task))
            since = std::min(since.value_or(task.interruptedAt), task.interruptedAt);
    }
    return since;
}

// Returns the outlook of a finite step, given what is expected of its job under the present load.
deadline_outlook underOverload(deadline_outlook outlook, job_prospect prospect)
{
    if (prospect == job_prospect::in_time)
        return outlook;
    if (outlook == deadline_outlook::in_time)
        return deadline_outlook::given_up;
    return prospect == job_prospect::useless ? deadline_outlook::expired : outlook;
}

} // namespace

bool isWaiting(const task_state &task)
{
    return task.phase == task_phase::waiting;
}

bool isInterruptedForLong(const scheduler_state &state, const task_state &task)
{
    return isWaiting(task) && task.hasBegun
        && (state.now - task.interruptedAt >= longestInterruption
            || task.interruptedAt <= state.tookOverAt);
}

dispatch_rank rankOf(const scheduler_state &state, const ready_step &step,
                     const std::vector<task_state> &tasks)
{
    const job_record &job = *step.job;
    const occurrence_state &occurrence = job.occurrences.at(step.occurrence);
    const job_objective objective = objectiveOf(job, occurrence);
    const std::int64_t criticalPathMs = job.criticalPathsMs[std::size_t(step.step)];
    const instant endsAt = state.now
        + std::chrono::milliseconds(std::int64_t(double(criticalPathMs) * estimateMargin));
    deadline_outlook outlook = deadline_outlook::in_time;
    if (job.spec.steps[std::size_t(step.step)].isContinuous) {
        if (const auto since = longInterruptedSince(state, tasks))
            return {deadline_outlook::interrupted, job.policy.priority, *since, job.number};
        outlook = deadline_outlook::continuous;
    } else if (endsAt > objective.at)
        outlook = endsAt > objective.lateUntil ? deadline_outlook::expired : deadline_outlook::late;
    outlook = underOverload(outlook, occurrence.prospect);
    return {outlook, job.policy.priority, objective.at - std::chrono::milliseconds(criticalPathMs),
            job.number};
}

} // namespace crocuswind::scheduler
