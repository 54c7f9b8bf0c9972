/// Tells whether a worker has the capacity for a task, and what it costs to place the task there.
/// Private to the package.
#ifndef CROCUSWIND_SCHEDULER_PLACEMENT_COST_H
#define CROCUSWIND_SCHEDULER_PLACEMENT_COST_H

#include "worker_choice.h"

#include <limits>
#include <vector>

namespace crocuswind::scheduler {

/// The cost of a worker that must not take the task.
constexpr double infiniteCost = std::numeric_limits<double>::infinity();

/// Returns the processors, in thousandths of a core, that one more best-effort task can expect to
/// be idle on the worker.
std::int64_t idleMilliCores(const worker_record &worker);

/// The free capacity of a worker, cached over several choices.
struct free_capacity
{
    resources unreserved;
    std::int64_t idleMilliCores = 0; ///< See idleMilliCores().
    bool acceptsBestEffort = false; ///< No serving task on the worker is near its latency target.
};

/// Returns the free capacity of the worker now.
free_capacity freeCapacityOf(const worker_record &worker);

/// Returns true if the worker has the label that tasks of the step require, if any.
bool hasRequiredLabel(const step_spec &step, const worker_record &worker);

/// Returns true if the worker runs the maximum number of tasks of the step.
bool isAtTaskLimit(const worker_request &request, const worker_record &worker);

/// Returns true if the worker has the resources that a task of the step reserves.
bool hasRoomFor(const step_spec &step, const free_capacity &freeCapacity);

/// Returns true if the worker has the idle processors that a best-effort task of the step needs.
bool hasIdleProcessorsFor(const step_spec &step, const free_capacity &freeCapacity);

/// Returns true if the worker has the room, and for a best-effort task that does not yield the idle
/// processors, for the task.
bool hasCapacityFor(const worker_request &request, const free_capacity &freeCapacity);

/// Returns the part of the cost that is cheap to compute, which is a lower bound of the full cost.
/// A lower cost is better.
double lowerBoundCost(const worker_request &request, const worker_record &worker,
                      const free_capacity &freeCapacity);

/// Returns the full cost, given its cheap part \p cost and the coefficients of the image of a
/// best-effort task. It is infinite if serving tasks on the worker do not tolerate the task.
double fullCost(const scheduler_state &state, const worker_request &request,
                const worker_record &worker, double cost, const std::vector<double> &coefficients);

} // namespace crocuswind::scheduler

#endif
