/// Maintains the owner's view of the workers: handles reports, command results and lapsed leases.
/// Private to the package.
#ifndef CROCUSWIND_SCHEDULER_WORKER_REPORTS_H
#define CROCUSWIND_SCHEDULER_WORKER_REPORTS_H

#include "scheduler_state.h"

namespace crocuswind::scheduler {

/// Gives up the runs on unreachable workers whose lease has lapsed, and sends unanswered stop
/// commands again. Has the list of workers stored if workers have fallen silent or answer again.
void reviewWorkers(scheduler_state &state);

void handlePollResult(scheduler_state &state, const poll_command &command,
                      const poll_result &result);
void handleStartResult(scheduler_state &state, const start_command &command,
                       const command_result &result);
void handleStopResult(scheduler_state &state, const stop_command &command,
                      const command_result &result);

} // namespace crocuswind::scheduler

#endif
