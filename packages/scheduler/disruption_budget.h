/// Decides whether a step can do without one of its tasks for the time of a move. Everything that
/// stops a run in order to start it elsewhere asks here first. Private to the package.
#ifndef CROCUSWIND_SCHEDULER_DISRUPTION_BUDGET_H
#define CROCUSWIND_SCHEDULER_DISRUPTION_BUDGET_H

#include "scheduler_state.h"

#include <map>

namespace crocuswind::scheduler {

/// The disruptions that steps tolerate at this moment. A step names how many of its tasks may be
/// unavailable at once (`step_spec::maxUnavailable`); those that wait, start up, are being stopped
/// or are on a worker that does not answer are so already. Valid during one event.
class disruption_budget
{
public:
    explicit disruption_budget(const scheduler_state &state)
        : m_state(state)
    { }

    /// Returns true if the run may be stopped now to be moved, and counts its task as unavailable
    /// from then on. The caller must stop it then.
    bool take(const task_name &name, const bound_run &run);

    /// Counts the task of a run that is stopped without permission, because its worker leaves.
    void note(const task_name &name, const bound_run &run);

private:
    int &unavailableTasks(const task_name &name, const bound_run &run);
    bool isAvailableNow(const task_state &task) const;

    const scheduler_state &m_state;
    /// Number of unavailable tasks of each step, by the name of its first task.
    std::map<task_name, int> m_unavailable;
};

} // namespace crocuswind::scheduler

#endif
