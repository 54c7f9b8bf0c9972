/// Decides how fast the work in idle room may go beside serving tasks, from their latency. Private
/// to the package.
#ifndef CROCUSWIND_SCHEDULER_PACE_CONTROL_H
#define CROCUSWIND_SCHEDULER_PACE_CONTROL_H

#include "scheduler_state.h"

namespace crocuswind::scheduler {

/// Returns true if the worker's serving tasks are to be watched closely.
bool needsWatchfulPolls(const worker_record &worker);

/// Returns how much of what the worker's serving tasks bear the work in idle room wants. Above 1,
/// latency is in danger at full pace.
double fillPressure(const worker_record &worker);

/// The same with one more task of \p milliCores of an image that has these coefficients.
double fillPressure(const worker_record &worker, const std::vector<double> &coefficients,
                    std::int64_t milliCores);

/// Brings the interference budgets of the worker up to date.
void updateBudgets(scheduler_state &state, worker_record &worker);

/// Learns from a report, and sets the pace of the work in idle room on the worker.
void controlPace(scheduler_state &state, worker_record &worker);

/// A run was confirmed: it is slowed down at once if others of its image on the worker are.
void onRunConfirmed(scheduler_state &state, const worker_record &worker, const task_name &name,
                    task_state &task);

} // namespace crocuswind::scheduler

#endif
