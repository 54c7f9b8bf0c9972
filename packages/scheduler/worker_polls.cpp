#include "worker_polls.h"

#include "pace_control.h"
#include "worker_incarnation.h"

#include <algorithm>
#include <vector>

namespace crocuswind::scheduler {

namespace {

/// How long a poll waits at a worker with runs for a completion (long polling).
constexpr std::int64_t pollWaitMs = 1000;
/// The same for a worker where best-effort tasks may interfere with serving tasks, whose latency
/// has to be read more often.
constexpr std::int64_t frequentPollWaitMs = 400;

/// The interference model learns enough from this many reports a second of such workers. On a
/// larger fleet each of them is polled less often, unless its serving tasks are near their targets.
constexpr std::int64_t maxLearningReportsPerSecond = 1000;

/// Poll interval of idle workers. One that crashes misses a poll before it is back, unless it
/// restarts faster than this and the time limit of a poll together. After the missed poll, no task
/// starts there before its new incarnation has reported.
constexpr duration idlePollInterval = 1200ms;
static_assert(idlePollInterval < sameIncarnationLimit);

/// Poll interval of workers with completions that are not durable yet. The commit of the
/// completions triggers an earlier poll. During an outage of the store these polls renew the leases
/// of the other runs there.
constexpr duration unsettledPollInterval = 2s;
/// The same for workers that are about to leave, whose leases are shorter.
constexpr duration unsettledPollIntervalOfLeavingWorker = 500ms;
/// A worker that does not answer is polled again after this time.
constexpr duration failedPollInterval = 250ms;
/// Poll interval while a new owner awaits its first confirmation, without which polls renew no
/// lease.
constexpr duration unconfirmedPollInterval = 200ms;
/// Poll interval of a replaced worker. Service discovery removes it within a few seconds.
constexpr duration replacedPollInterval = 1s;

/// Interval at which a worker without runs that service discovery does not list is looked at.
constexpr duration goneWorkerInterval = 250ms;

constexpr duration pollScanInterval = 5ms;
/// While polls are held back, they are looked at this often even if no other one was answered.
constexpr duration heldPollScanInterval = 50ms;

/// No lease is granted and no task started with less than this of the owner's authority left.
constexpr duration minLease = 1s;

/// A worker that is about to leave, or that stays longer than it announced, gets leases of this
/// length. They outlast a poll.
constexpr duration leavingWorkerLease = 1500ms;
static_assert(unsettledPollIntervalOfLeavingWorker < leavingWorkerLease);

bool isConfirmed(const scheduler_state &state)
{
    return state.authorityUntil != instant();
}

bool needsPolling(const worker_record &worker)
{
    return !worker.runs.empty() || worker.completions.settledUpTo() > worker.ackedCompletions
        || !worker.hasReported || worker.hasStrayRuns;
}

// Returns how long a poll of the worker may wait for a completion, in milliseconds.
std::int64_t pollWaitOf(const scheduler_state &state, const worker_record &worker)
{
    if (!mayInterfere(worker))
        return pollWaitMs;
    if (isNearLatencyTarget(worker))
        return frequentPollWaitMs;
    const std::int64_t sharedMs
        = std::int64_t(state.workers.size()) * 1000 / maxLearningReportsPerSecond;
    return std::clamp(sharedMs, frequentPollWaitMs, pollWaitMs);
}

// Returns the end of the lease to grant to the worker, given that of other workers. No lease goes
// far beyond the time at which the worker leaves, so that its runs are known to have ended soon
// after, also if nobody could stop them.
instant leaseEndOf(const scheduler_state &state, const worker_record &worker, instant usualEnd)
{
    if (!worker.info.leavesAtClockMs)
        return usualEnd;
    const instant leavesAt = worker.lease.timeOf(*worker.info.leavesAtClockMs);
    return std::min(usualEnd, std::max(leavesAt, state.now + leavingWorkerLease));
}

void sendPoll(scheduler_state &state, worker_record &worker, policy::poll_duty duty)
{
    poll_command command;
    command.worker = worker.info.id;
    command.address = worker.info.address;
    command.number = ++worker.lastPoll;
    command.epoch = state.epoch;
    command.ackedCompletions = acknowledgeableCompletions(worker);
    worker.isAcknowledgementInFlight = command.ackedCompletions > 0;
    const bool isAllAcknowledged = worker.completions.settledUpTo() <= worker.ackedCompletions;
    if (!isAllAcknowledged && !worker.unacknowledgedSince)
        worker.unacknowledgedSince = state.now;
    if (worker.isAcknowledgementInFlight)
        state.noteWorkerChanged(worker);
    const auto lease = leaseEnd(state);
    // A worker that does not answer may still receive the poll. If each poll renewed its lease, the
    // lease could never be known to have lapsed.
    const bool renewsLease = lease && worker.lease.isClockKnown() && !worker.runs.empty()
        && worker.failedPolls == 0 && !worker.isStoredAsSilent;
    if (renewsLease)
        command.leaseUntilMs = worker.lease.grantUntil(leaseEndOf(state, worker, *lease),
                                                       state.authorityUntil, state.now);
    // A poll that acknowledges completions is answered at once, because no task starts meanwhile.
    const bool mayWait = worker.hasReported && worker.failedPolls == 0 && isAllAcknowledged
        && !worker.runs.empty() && !worker.completions.hasUnsettled() && !worker.isStoredAsSilent
        && isConfirmed(state);
    if (mayWait)
        command.waitMs = pollWaitOf(state, worker);
    state.pollDuties.noteSent(worker, duty, state.now);
    ++state.counters.polls;
    state.ports.poll(command);
}

policy::owner_size ownerSize(const scheduler_state &state)
{
    return {state.settings.milliCores, std::int64_t(state.workers.size())};
}

// Returns the worker if the poll is still due, or null. The result of a poll in flight schedules
// the next one.
worker_record *findDue(scheduler_state &state, const poll_time &poll)
{
    worker_record *worker = state.findWorker(poll.second);
    const bool isDue
        = worker != nullptr && worker->nextPollAt == poll.first && !worker->isPollInFlight;
    return isDue ? worker : nullptr;
}

// Takes the polls that are due from the queue. Returns the workers whose leases are to be renewed,
// and holds the other polls back.
std::vector<worker_record *> takeDuePolls(scheduler_state &state)
{
    std::vector<worker_record *> renewals;
    while (!state.pollQueue.empty() && state.pollQueue.top().first <= state.now) {
        const poll_time poll = state.pollQueue.top();
        state.pollQueue.pop();
        worker_record *worker = findDue(state, poll);
        if (worker == nullptr)
            continue;
        const policy::poll_duty duty = pollDutyOf(*worker);
        const bool isAwaited = worker->isListed || !worker->runs.empty() || !worker->hasReported;
        if (!isAwaited)
            state.schedulePoll(*worker, state.now + goneWorkerInterval);
        else if (duty == policy::poll_duty::renewal)
            renewals.push_back(worker);
        else
            state.pollDuties.hold(duty, poll);
    }
    return renewals;
}

// Sends up to \p allowed of the polls that are held back for \p duty.
void sendHeldPolls(scheduler_state &state, policy::poll_duty duty, std::int64_t allowed)
{
    while (allowed > 0 && state.pollDuties.hasHeld(duty)) {
        worker_record *worker = findDue(state, state.pollDuties.takeHeld(duty));
        if (worker == nullptr)
            continue;
        sendPoll(state, *worker, pollDutyOf(*worker));
        --allowed;
    }
}

void scheduleIdlePoll(scheduler_state &state, worker_record &worker)
{
    const duration interval = policy::idlePollInterval(ownerSize(state), idlePollInterval);
    state.counters.idlePollMs
        = std::chrono::duration_cast<std::chrono::milliseconds>(interval).count();
    state.schedulePoll(worker, state.now + interval);
}

} // namespace

std::optional<instant> leaseEnd(const scheduler_state &state)
{
    if (state.authorityUntil < state.now + minLease)
        return std::nullopt;
    return std::min(state.now + state.settings.workerLease, state.authorityUntil);
}

void pollWorkers(scheduler_state &state)
{
    if (state.now < state.nextPollScanAt)
        return;
    std::vector<worker_record *> renewals = takeDuePolls(state);
    std::stable_sort(renewals.begin(), renewals.end(),
                     [](const worker_record *a, const worker_record *b) {
                         return a->lease.lapsesBy() < b->lease.lapsesBy();
                     });
    for (worker_record *worker : renewals) {
        if (!worker->isPollInFlight)
            sendPoll(state, *worker, policy::poll_duty::renewal);
    }
    using policy::poll_duty;
    state.pollDuties.noteSlow(state.now, [&](const worker_id &id) { return state.findWorker(id); });
    const auto allowed = [&] {
        return policy::allowedPolls(ownerSize(state), state.pollDuties.inFlight(),
                                    state.pollDuties.slow());
    };
    sendHeldPolls(state, poll_duty::first, allowed().first);
    sendHeldPolls(state, poll_duty::retry, allowed().retry);
    sendHeldPolls(state, poll_duty::idle, allowed().idle);
    state.counters.pollsHeld = state.pollDuties.held();
    const bool isAnyHeld = state.counters.pollsHeld > 0;
    instant next
        = state.pollQueue.empty() ? state.now + idlePollInterval : state.pollQueue.top().first;
    if (isAnyHeld)
        next = std::min(next, state.now + heldPollScanInterval);
    // With many workers a poll is due at almost any time. The minimum interval between scans
    // handles several polls in one scan.
    state.nextPollScanAt = std::max(next, state.now + pollScanInterval);
}

void notePollEnded(scheduler_state &state, worker_record &worker)
{
    state.pollDuties.noteEnded(worker);
    if (state.pollDuties.held() > 0)
        state.nextPollScanAt = std::min(state.nextPollScanAt, state.now + pollScanInterval);
}

instant nextWorkerWake(const scheduler_state &state)
{
    return std::min(state.nextReviewAt, state.nextPollScanAt);
}

void scheduleNextPoll(scheduler_state &state, worker_record &worker)
{
    if (worker.completions.hasUnsettled())
        state.schedulePoll(worker,
                           state.now
                               + (worker.info.leavesAtClockMs ? unsettledPollIntervalOfLeavingWorker
                                                              : unsettledPollInterval));
    else if (worker.isStoredAsSilent)
        state.schedulePoll(worker, state.now + failedPollInterval);
    else if (needsPolling(worker))
        state.schedulePoll(worker,
                           state.now + (isConfirmed(state) ? pollPause : unconfirmedPollInterval));
    else
        scheduleIdlePoll(state, worker);
}

void scheduleFailedPoll(scheduler_state &state, worker_record &worker)
{
    state.schedulePoll(worker,
                       state.now + (worker.isListed ? failedPollInterval : 4 * failedPollInterval));
}

void scheduleReplacedPoll(scheduler_state &state, worker_record &worker)
{
    state.schedulePoll(worker, state.now + replacedPollInterval);
}

} // namespace crocuswind::scheduler
