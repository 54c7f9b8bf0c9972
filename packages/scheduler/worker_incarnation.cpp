#include "worker_incarnation.h"

#include "task_lifecycle.h"

#include <algorithm>
#include <cmath>
#include <fmt/format.h>

namespace crocuswind::scheduler {

namespace {

/// A command that is answered is carried out within this time.
constexpr duration longestAnswer = 1s;

/// Starts on a worker that never has all its runs confirmed are held back after this time, so that
/// its completions can be acknowledged.
constexpr duration longestUnacknowledged = 1s;

// Returns true if each run that may exist on the worker is one of the known incarnation.
bool areRunsConfirmed(const worker_record &worker)
{
    return !worker.hasStrayRuns
        && std::all_of(worker.runs.begin(), worker.runs.end(),
                       [](const auto &entry) { return entry.second.isConfirmed; });
}

} // namespace

bool isFromKnownIncarnation(const scheduler_state &state, const worker_record &worker,
                            std::int64_t clockMs)
{
    if (!worker.hasReported)
        return false;
    const std::chrono::duration<double, std::milli> sinceKnown = state.now - worker.knownAliveAt;
    return double(clockMs) > std::ceil(sinceKnown.count() * (1 + maxClockRateDifference));
}

std::int64_t acknowledgeableCompletions(const worker_record &worker)
{
    const std::int64_t settled = worker.completions.settledUpTo();
    const bool mayAcknowledge = settled > worker.ackedCompletions && worker.hasReported
        && worker.failedPolls == 0 && areRunsConfirmed(worker);
    return mayAcknowledge ? settled : 0;
}

bool isAcknowledging(const scheduler_state &state, const worker_record &worker)
{
    return worker.isAcknowledgementInFlight
        || (worker.unacknowledgedSince
            && state.now - *worker.unacknowledgedSince >= longestUnacknowledged);
}

bool isIncarnationStored(const worker_record &worker)
{
    return worker.incarnationStartUnixMs == 0
        || worker.storedIncarnationStartUnixMs == worker.incarnationStartUnixMs;
}

instant longestRunEnd(const scheduler_state &state, instant lastCommandAt)
{
    if (lastCommandAt == instant::max())
        return lastCommandAt;
    const std::chrono::duration<double> lease = state.settings.longestLease;
    return lastCommandAt + std::chrono::ceil<duration>(lease / (1 - maxClockSlowness));
}

std::optional<instant> unansweredRunEnd(const scheduler_state &state, const bound_run &run)
{
    if (run.isConfirmed || run.step->isContinuous)
        return std::nullopt;
    const bool isAnswered = run.task->phase == task_phase::running;
    const duration longestDelay = isAnswered ? longestAnswer : lateCommandLimit;
    return longestRunEnd(state, run.task->runSince + longestDelay);
}

bool mayOutliveLease(const scheduler_state &state, const bound_run &run)
{
    const auto end = unansweredRunEnd(state, run);
    return end && state.now <= *end;
}

std::optional<instant> latestUnheardRunEnd(const scheduler_state &state,
                                           const worker_record &worker)
{
    std::optional<instant> latest = worker.unheardUntil;
    for (const auto &[name, run] : worker.runs)
        latest = std::max(latest, unansweredRunEnd(state, run));
    return latest && state.now <= *latest ? latest : std::nullopt;
}

void restartWorker(scheduler_state &state, worker_record &worker,
                   std::int64_t incarnationStartUnixMs)
{
    state.ports.log("worker_restarted",
                    fmt::format("worker={} born_before={} born={} stored_born={} has_reported={}",
                                worker.info.id.value, worker.incarnationStartUnixMs,
                                incarnationStartUnixMs, worker.storedIncarnationStartUnixMs,
                                worker.hasReported));
    // The runs of the former incarnation ended with it. The others are kept until the next report,
    // because they may have been started in the new incarnation already. The new incarnation, whose
    // clock starts anew, may carry out commands meant for the former one, and their leases may then
    // last up to `longestLease`.
    const bool isCertain = incarnationStartUnixMs != 0;
    handleLostRuns(state, worker, "worker_restarted",
                   [isCertain](const bound_run &run) { return isCertain && run.isConfirmed; });
    for (auto &[name, run] : worker.runs)
        run.isConfirmed = false;
    // What was sent to the former incarnation may still reach this one. It is refused once the
    // worker has answered a poll that is sent from now on. The result of a poll in flight is not
    // awaited.
    state.ports.fenceEarlierCommands(worker.info.id);
    if (worker.isPollInFlight)
        ++worker.lastPoll;
    worker.lastPollBeforeFence = worker.lastPoll;
    state.pollDuties.noteEnded(worker);
    worker.isAcknowledgementInFlight = false;
    // A former owner may go on sending commands until its own leases end.
    const bool mayBeInherited = state.unreportedWorkers.contains(worker.info.id);
    const instant lastCommandAt
        = mayBeInherited ? std::max(state.now, worker.lease.lapsesBy()) : state.now;
    worker.completions = completion_cursor();
    worker.lease = worker_lease();
    worker.clockCeiling = clock_ceiling();
    worker.lease.limitMisdirectedLapse(longestRunEnd(state, lastCommandAt));
    state.isWorkerListDirty = true; // A later owner has to know of that lease.
    worker.lastLeaseEpoch = state.epoch;
    worker.ackedCompletions = 0;
    worker.unacknowledgedSince.reset();
    worker.hasReported = false;
    worker.incarnationStartUnixMs = incarnationStartUnixMs;
    worker.consecutiveFailures = 0;
    state.schedulePoll(worker, state.now);
}

} // namespace crocuswind::scheduler
