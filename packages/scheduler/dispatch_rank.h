/// Defines the order in which waiting steps are dispatched. Private to the package.
#ifndef CROCUSWIND_SCHEDULER_DISPATCH_RANK_H
#define CROCUSWIND_SCHEDULER_DISPATCH_RANK_H

#include "scheduler_state.h"

#include <cstdint>
#include <tuple>
#include <vector>

namespace crocuswind::scheduler {

/// Whether a job can still meet its objective, in the order in which steps are dispatched.
enum class deadline_outlook { interrupted, in_time, given_up, continuous, late, expired };

/// The dispatch order of steps. Steps that can still meet their objective come before those that
/// cannot: under overload, oldest-first order would make every job late. Continuous steps come in
/// between, because they hold their resources indefinitely, while finite steps that are in time
/// release theirs within seconds. Continuous tasks that were interrupted come before everything
/// after a while: behind thousands of waiting tasks that are in time, they would be missing for
/// longer than the platform allows, although there is room for them. Ties are broken by the queue's
/// priority, then by the latest time at which the remaining critical path has to start, then by the
/// order of acceptance.
struct dispatch_rank
{
    deadline_outlook outlook = deadline_outlook::in_time;
    int priority = 0;
    instant latestStart; ///< Of interrupted steps, since when a task waits.
    std::int64_t number = 0;

    friend bool operator<(const dispatch_rank &a, const dispatch_rank &b)
    {
        return std::tie(a.outlook, a.priority, a.latestStart, a.number)
            < std::tie(b.outlook, b.priority, b.latestStart, b.number);
    }
};

/// Returns true if the task may start.
bool isWaiting(const task_state &task);

/// Returns true if the task waits and was interrupted seconds ago, or before this owner took over,
/// which cannot tell when.
bool isInterruptedForLong(const scheduler_state &state, const task_state &task);

/// Returns the rank of the step with these tasks.
dispatch_rank rankOf(const scheduler_state &state, const ready_step &step,
                     const std::vector<task_state> &tasks);

} // namespace crocuswind::scheduler

#endif
