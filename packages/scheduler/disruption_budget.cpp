#include "disruption_budget.h"

#include <algorithm>

namespace crocuswind::scheduler {

bool disruption_budget::take(const task_name &name, const bound_run &run)
{
    if (run.step->maxUnavailable == 0 || !isAvailable(*run.task))
        return true;
    int &unavailable = unavailableTasks(name, run);
    if (unavailable >= run.step->maxUnavailable)
        return false;
    ++unavailable;
    return true;
}

void disruption_budget::note(const task_name &name, const bound_run &run)
{
    if (run.step->maxUnavailable > 0 && isAvailableNow(*run.task))
        ++unavailableTasks(name, run);
}

// Returns how many tasks of the run's step are unavailable.
int &disruption_budget::unavailableTasks(const task_name &name, const bound_run &run)
{
    const auto [found, isNew]
        = m_unavailable.try_emplace({name.job, name.occurrence, name.step, 0}, 0);
    if (isNew) {
        const auto &tasks = run.job->occurrences.at(name.occurrence).steps[std::size_t(name.step)];
        const auto available
            = std::count_if(tasks.begin(), tasks.end(),
                            [this](const task_state &task) { return isAvailableNow(task); });
        found->second = int(tasks.size()) - int(available);
    }
    return found->second;
}

// A task of which nothing was heard since its worker stopped answering may be gone.
bool disruption_budget::isAvailableNow(const task_state &task) const
{
    if (!isAvailable(task))
        return false;
    const worker_record &worker = m_state.workers.at(task.worker);
    return worker.failedPolls == 0 && worker.hasReported;
}

} // namespace crocuswind::scheduler
