/// Tells the incarnations of a worker apart. A worker may restart at any time, within any time and
/// under its identifier, and no command names the incarnation that it is meant for. So only what a
/// worker has answered shows which incarnation carried a command out. Private to the package.
#ifndef CROCUSWIND_SCHEDULER_WORKER_INCARNATION_H
#define CROCUSWIND_SCHEDULER_WORKER_INCARNATION_H

#include "scheduler_state.h"

#include <optional>

namespace crocuswind::scheduler {

/// Returns true if an answer that arrives now and has this reading of the worker's clock certainly
/// comes from the known incarnation. The clock of a later one started anew after `knownAliveAt`, so
/// it can't read as much yet.
bool isFromKnownIncarnation(const scheduler_state &state, const worker_record &worker,
                            std::int64_t clockMs);

/// Returns the number up to which the next poll of the worker may acknowledge completions, or 0 if
/// it must not acknowledge any. A later incarnation numbers its completions from 1 again and would
/// forget those up to that number, so none of them may be of a run that this owner has started.
std::int64_t acknowledgeableCompletions(const worker_record &worker);

/// Returns true if no task may start on the worker because it has completions to forget: a poll
/// that acknowledges them has no answer yet, or starts without an answer have delayed it for long.
bool isAcknowledging(const scheduler_state &state, const worker_record &worker);

/// Returns false if a later owner would find another incarnation than the reported one in the
/// store.
bool isIncarnationStored(const worker_record &worker);

/// Returns until when a run may last that commands of an owner which were carried out until
/// \p lastCommandAt have begun or prolonged, whatever incarnation carried them out.
instant longestRunEnd(const scheduler_state &state, instant lastCommandAt);

/// Returns until when the run, whose start no answer has shown to be of the known incarnation, may
/// last on a later one, or nothing if it can't outlive the known one. Nothing for a continuous run:
/// it is needed elsewhere before that could be ruled out, and a crash for good looks the same.
std::optional<instant> unansweredRunEnd(const scheduler_state &state, const bound_run &run);

/// Returns true if the run may go on in a later incarnation after the known incarnation's lease has
/// lapsed.
bool mayOutliveLease(const scheduler_state &state, const bound_run &run);

/// Returns until when finite runs may last on an incarnation of the worker that has answered no
/// owner, or nothing if there can be none by now.
std::optional<instant> latestUnheardRunEnd(const scheduler_state &state,
                                           const worker_record &worker);

/// Handles a restart of the worker: gives up the runs of the former incarnation, resets clock,
/// completions and lease, and fences off the commands sent so far. The answer to a later poll shows
/// which other runs exist. \p incarnationStartUnixMs is 0 if only a clock reading shows the
/// restart: an answer that was read late can look like one, so no run is given up then.
void restartWorker(scheduler_state &state, worker_record &worker,
                   std::int64_t incarnationStartUnixMs);

} // namespace crocuswind::scheduler

#endif
