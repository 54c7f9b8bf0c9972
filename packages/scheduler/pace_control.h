/// Limits the pace of best-effort tasks according to the latency of the serving tasks on the same
/// worker. Private to the package.
#ifndef CROCUSWIND_SCHEDULER_PACE_CONTROL_H
#define CROCUSWIND_SCHEDULER_PACE_CONTROL_H

#include "scheduler_state.h"

namespace crocuswind::scheduler {

/// A run without checkpoints loses its progress when it is moved. Beyond this progress it stays on
/// its worker unless it is paused.
constexpr int maxLostProgressPercent = 30;

/// Returns true if best-effort tasks on the worker may interfere with its serving tasks.
bool mayInterfere(const worker_record &worker);

/// Returns true if the pace of best-effort tasks on the worker may have to change soon: it is
/// reduced, or a serving task may come over its target.
bool isNearLatencyTarget(const worker_record &worker);

/// Returns the pressure of the worker's best-effort tasks on its serving tasks: the interference at
/// full pace as a multiple of what the serving tasks tolerate. Above 1, full pace endangers their
/// latency targets.
double bestEffortPressure(const worker_record &worker);

/// Returns the pressure with one more best-effort task that uses \p milliCores and whose image has
/// these coefficients.
double bestEffortPressure(const worker_record &worker, const std::vector<double> &coefficients,
                          std::int64_t milliCores);

/// Recomputes the interference budgets of the worker.
void updateBudgets(scheduler_state &state, worker_record &worker);

/// Updates the interference model from the worker's latest report, sets the pace of its best-effort
/// tasks, and moves those that are slowed down for too long.
void controlPace(scheduler_state &state, worker_record &worker);

/// Handles the result of a pace command. One without an answer may be carried out seconds later,
/// after newer ones, so it is fenced off, and the pace is sent again with the next report.
void handlePaceResult(scheduler_state &state, const pace_command &command,
                      const command_result &result);

/// Handles the confirmation of a run. It gets the pace of its image on the worker at once, and all
/// images there are slowed down as far as the run makes it necessary.
void onRunConfirmed(scheduler_state &state, worker_record &worker, const task_name &name,
                    task_state &task);

} // namespace crocuswind::scheduler

#endif
