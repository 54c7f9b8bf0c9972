#include "scheduler_core.h"

#include "absent_tasks.h"
#include "commit_log.h"
#include "discovery_age.h"
#include "dispatcher.h"
#include "evacuation.h"
#include "job_intake.h"
#include "job_policy.h"
#include "leaving_records.h"
#include "occurrences.h"
#include "pace_control.h"
#include "scheduler_state.h"
#include "serving_load.h"
#include "silent_workers.h"
#include "task_lifecycle.h"
#include "waiting_jobs.h"
#include "worker_incarnation.h"
#include "worker_polls.h"
#include "worker_reports.h"

#include <algorithm>
#include <fmt/format.h>
#include <utility>

namespace crocuswind::scheduler {

namespace {

/// Interval at which workers that have left and have no runs are removed.
constexpr duration pruneInterval = 100ms;

/// How long an owner that hands over stores changes. The successor learns from the workers what is
/// not stored by then. Runs that end go on making changes, so that there may never be none.
constexpr duration handoverFlushTime = 500ms;

// Writes a line on each data centre that one of two sets has and the other does not.
void logEvacuations(const scheduler_state &state, const std::set<data_centre_id> &before,
                    const std::set<data_centre_id> &after)
{
    for (const data_centre_id &dataCentre : after) {
        if (before.count(dataCentre) != 0)
            continue;
        std::size_t workers = 0;
        std::size_t runs = 0;
        for (const auto &[id, worker] : state.workers) {
            if (worker.info.dataCentre != dataCentre)
                continue;
            ++workers;
            runs += worker.runs.size();
        }
        state.ports.log(
            "evacuation_begun",
            fmt::format("data_centre={} workers={} runs={}", dataCentre.value, workers, runs));
    }
    for (const data_centre_id &dataCentre : before) {
        if (after.count(dataCentre) == 0)
            state.ports.log("evacuation_ended", "data_centre=" + dataCentre.value);
    }
}

} // namespace

struct scheduler_core::implementation
{
    implementation(scheduler_settings settings, scheduler_ports &ports)
        : state(std::move(settings), ports)
    { }

    void setNow(instant now)
    {
        CROCUSWIND_INVARIANT(now >= state.now, "time must not decrease");
        state.now = now;
    }

    void noteUnixTime(std::int64_t unixNowMs)
    {
        state.unixOffsetMs = unixNowMs
            - std::chrono::duration_cast<std::chrono::milliseconds>(state.now.time_since_epoch())
                  .count();
    }

    // Does the work that may follow from any event. Only tick() starts tasks, because one iteration
    // of the event loop may handle hundreds of events.
    void runFollowUps()
    {
        if (state.isDeposed && state.isOwner) {
            resetState();
            return;
        }
        flushCommits(state);
        if (state.isOwner)
            pollWorkers(state);
    }

    // Resets the state at the end of an ownership. The queue policies and the evacuated data
    // centres are kept. The workers are not, because they may leave before this host is elected
    // again; service discovery reports them anew for each ownership.
    void resetState()
    {
        answerWaiters(state, job_outcome::not_owner);
        state.isOwner = false;
        state.isHandingOver = false;
        state.isCommitting = false;
        state.isDispatchWanted = false;
        state.startsInFlight = 0;
        state.startWindow = start_window();
        state.jobs.clear();
        state.unstartedJobs.clear();
        state.ready.clear();
        state.claims.clear();
        state.yieldingTasks.clear();
        state.dueOccurrences.clear();
        state.dirtyJobs.clear();
        state.expiringJobs.clear();
        state.unreportedWorkers.clear();
        state.formerList = {};
        state.stopsToResend.clear();
        state.isWorkerListDirty = false;
        state.leavingDue.clear();
        state.committingWorkers.reset();
        state.committingLeaving.clear();
        state.discardChooser();
        state.pollQueue = {};
        state.workers.clear();
        state.stepLoads.clear();
        state.workersAsOf = {};
        state.areStartsHeld = false;
    }

    void pruneWorkers()
    {
        if (state.now < state.nextPruneAt)
            return;
        state.nextPruneAt = state.now + pruneInterval;
        for (auto i = state.workers.begin(); i != state.workers.end();) {
            const worker_record &worker = i->second;
            const bool isGone = !worker.isListed && worker.runs.empty()
                && !worker.completions.hasUnsettled() && !worker.isPollInFlight
                && !state.unreportedWorkers.contains(i->first) && worker.claimed == resources();
            if (isGone) {
                state.isWorkerListDirty = state.isOwner;
                if (worker.mayHaveLeavingRecord)
                    state.scheduleLeavingRecord(i->first, state.now);
            }
            i = isGone ? state.removeWorker(i) : std::next(i);
        }
    }

    scheduler_state state;
};

scheduler_core::scheduler_core(scheduler_settings settings, scheduler_ports &ports)
    : m_implementation(std::make_unique<implementation>(std::move(settings), ports))
{ }

scheduler_core::~scheduler_core() = default;

void scheduler_core::takeOver(instant now, std::int64_t unixNowMs, std::int64_t epoch,
                              const std::vector<stored_record> &records,
                              const earlier_authority &authority)
{
    implementation &i = *m_implementation;
    i.setNow(now);
    i.resetState();
    i.noteUnixTime(unixNowMs);
    scheduler_state &state = i.state;
    state.isOwner = true;
    state.isDeposed = false;
    state.isStoreAvailable = true;
    state.epoch = epoch;
    state.tookOverAt = now;
    state.nextCommitAt = now;
    state.nextConfirmAt = now;
    loadRecords(state, records, unixNowMs, authority);
    for (auto &[id, worker] : state.workers) {
        state.schedulePoll(worker, now);
        state.noteRunsChanged(worker);
    }
    state.isWorkerListDirty = true;
    state.ports.log("take_over",
                    fmt::format("epoch={} jobs={} workers={} former_workers={}", epoch,
                                state.jobs.size(), state.workers.size(),
                                state.unreportedWorkers.size()));
    if (!state.unreportedWorkers.mayHaveAny(possible_incarnation::known))
        releaseUnlocatedTasks(state);
    i.runFollowUps();
}

void scheduler_core::giveUp(instant now)
{
    m_implementation->setNow(now);
    m_implementation->state.ports.log("give_up",
                                      fmt::format("epoch={}", m_implementation->state.epoch));
    m_implementation->resetState();
}

bool scheduler_core::prepareHandover(instant now)
{
    implementation &i = *m_implementation;
    i.setNow(now);
    const bool isFirstCall = !std::exchange(i.state.isHandingOver, true);
    i.state.nextCommitAt = now;
    if (isFirstCall)
        i.state.handoverFlushUntil = now + handoverFlushTime;
    // A fresh list bounds the leases of silent workers most closely.
    if (isFirstCall) {
        i.state.nextSilentListAt = now;
        for (auto &[id, due] : i.state.leavingDue)
            due = now;
    }
    if (isFirstCall && i.state.isOwner)
        reviewSilentWorkers(i.state);
    flushCommits(i.state);
    const bool isFlushed
        = !i.state.isWorkerListDirty && i.state.dirtyJobs.empty() && !isLeavingRecordDue(i.state);
    return !i.state.isOwner
        || (!i.state.isCommitting && (isFlushed || isHandoverFlushOver(i.state)));
}

void scheduler_core::setAuthority(instant now, instant authorityUntil, instant exclusiveUntil)
{
    m_implementation->setNow(now);
    // All workers become eligible again that a lapse of the exclusive ownership had excluded.
    if (now >= m_implementation->state.exclusiveUntil)
        m_implementation->state.discardChooser();
    m_implementation->state.authorityUntil = authorityUntil;
    m_implementation->state.exclusiveUntil = exclusiveUntil;
    m_implementation->runFollowUps();
}

void scheduler_core::setStoreAvailable(instant now, bool isAvailable)
{
    m_implementation->setNow(now);
    m_implementation->state.isStoreAvailable = isAvailable;
    if (!isAvailable)
        refuseUnsentJobs(m_implementation->state);
}

void scheduler_core::setQueues(instant now, const std::vector<queue_policy> &queues)
{
    implementation &i = *m_implementation;
    i.setNow(now);
    i.state.areQueuesKnown = true;
    i.state.queues.clear();
    for (const queue_policy &policy : queues)
        i.state.queues[policy.queue] = policy;
    for (auto &[name, job] : i.state.jobs) {
        const bool wasUnknown = job->policy.attemptLimit == queue_policy::unknownAttemptLimit;
        updatePolicy(i.state, *job);
        if (wasUnknown)
            failIfExhausted(i.state, *job);
    }
    i.state.isDispatchWanted = true;
    i.runFollowUps();
}

void scheduler_core::setEvacuatedDataCentres(instant now,
                                             const std::set<data_centre_id> &dataCentres)
{
    implementation &i = *m_implementation;
    i.setNow(now);
    if (i.state.evacuatedDataCentres == dataCentres)
        return;
    logEvacuations(i.state, i.state.evacuatedDataCentres, dataCentres);
    i.state.evacuatedDataCentres = dataCentres;
    i.state.counters.evacuatedDataCentres = std::int64_t(dataCentres.size());
    i.state.discardChooser(); // It caches which workers are eligible.
    i.state.isDispatchWanted = true;
    i.runFollowUps();
}

void scheduler_core::onWorker(instant now, const worker_info &info)
{
    implementation &i = *m_implementation;
    i.setNow(now);
    const auto [found, isNew] = i.state.workers.try_emplace(info.id);
    worker_record &worker = found->second;
    if (isNew || worker.info.address != info.address) {
        i.state.isWorkerListDirty = true;
        worker.isInStoredList = false;
    }
    if (isNew)
        i.state.discardChooser();
    if (isNew)
        worker.mayHaveLeavingRecord = isLeavingRecordPending(i.state, info.id);
    const bool isOtherIncarnation = info.incarnationStartUnixMs != 0
        && worker.incarnationStartUnixMs != 0
        && info.incarnationStartUnixMs > worker.incarnationStartUnixMs;
    if (isOtherIncarnation)
        restartWorker(i.state, worker, info.incarnationStartUnixMs);
    if (!worker.isListed || worker.info != info)
        i.state.isDispatchWanted = true;
    if (info.isDraining && !worker.info.isDraining)
        i.state.ports.log("worker_draining",
                          fmt::format("worker={} runs={}", info.id.value, worker.runs.size()));
    const bool isDrainingChanged = worker.info.isDraining != info.isDraining;
    worker.isListed = true;
    if (worker.info.service != info.service)
        i.state.discardChooser();
    worker.info = info;
    i.state.noteWorkerChanged(worker);
    if (isDrainingChanged)
        i.state.scheduleLeavingRecord(info.id, now);
    if (!worker.hasReported)
        i.state.bringPollForward(worker, now);
    i.runFollowUps();
}

void scheduler_core::onWorkerGone(instant now, const worker_id &id)
{
    implementation &i = *m_implementation;
    i.setNow(now);
    worker_record *worker = i.state.findWorker(id);
    if (worker == nullptr)
        return;
    worker->isListed = false;
    i.state.noteWorkerChanged(*worker);
    i.state.ports.log("worker_gone",
                      fmt::format("worker={} runs={}", id.value, worker->runs.size()));
    i.runFollowUps();
}

void scheduler_core::onWorkersSynchronized(instant now, instant asOf)
{
    m_implementation->setNow(now);
    noteWorkersSynchronized(m_implementation->state, asOf);
}

void scheduler_core::call(instant now, std::int64_t unixNowMs, const job_call &call)
{
    m_implementation->setNow(now);
    m_implementation->noteUnixTime(unixNowMs);
    handleCall(m_implementation->state, call);
    m_implementation->runFollowUps();
}

void scheduler_core::onStartResult(instant now, const start_command &command,
                                   const command_result &result)
{
    m_implementation->setNow(now);
    if (command.epoch != m_implementation->state.epoch || !m_implementation->state.isOwner)
        return;
    scheduler_state &state = m_implementation->state;
    --state.startsInFlight;
    state.startWindow.onResult(command.sentAt, now, result.outcome != command_outcome::no_answer);
    handleStartResult(state, command, result);
    m_implementation->runFollowUps();
}

void scheduler_core::onStopResult(instant now, const stop_command &command,
                                  const command_result &result)
{
    m_implementation->setNow(now);
    if (command.epoch != m_implementation->state.epoch || !m_implementation->state.isOwner)
        return;
    handleStopResult(m_implementation->state, command, result);
    m_implementation->runFollowUps();
}

void scheduler_core::onPaceResult(instant now, const pace_command &command,
                                  const command_result &result)
{
    m_implementation->setNow(now);
    if (command.epoch != m_implementation->state.epoch || !m_implementation->state.isOwner)
        return;
    handlePaceResult(m_implementation->state, command, result);
}

void scheduler_core::onPollResult(instant now, const poll_command &command,
                                  const poll_result &result)
{
    m_implementation->setNow(now);
    if (command.epoch != m_implementation->state.epoch || !m_implementation->state.isOwner)
        return;
    handlePollResult(m_implementation->state, command, result);
    m_implementation->runFollowUps();
}

void scheduler_core::onCommitted(instant now)
{
    m_implementation->setNow(now);
    if (!m_implementation->state.isOwner || !m_implementation->state.isCommitting)
        return;
    finishCommit(m_implementation->state);
    m_implementation->runFollowUps();
}

void scheduler_core::onCommitRefused(instant now)
{
    m_implementation->setNow(now);
    if (!m_implementation->state.isOwner || !m_implementation->state.isCommitting)
        return;
    requeueCommit(m_implementation->state);
    m_implementation->runFollowUps();
}

void scheduler_core::tick(instant now, std::int64_t unixNowMs)
{
    implementation &i = *m_implementation;
    i.setNow(now);
    i.noteUnixTime(unixNowMs);
    i.state.inputHandledUntil = i.state.lastTickAt;
    i.state.lastTickAt = now;
    if (!i.state.isOwner)
        return;
    releaseOccurrences(i.state);
    reviewWorkers(i.state);
    i.pruneWorkers();
    forgetEndedJobs(i.state);
    i.state.counters.jobsKnown = std::int64_t(i.state.jobs.size());
    i.state.counters.jobsUncommitted = std::int64_t(i.state.dirtyJobs.size());
    i.state.counters.workersUnreported = std::int64_t(i.state.unreportedWorkers.size());
    dispatch(i.state);
    evacuateWorkers(i.state);
    logAbsentTasks(i.state);
    logWaitingJobs(i.state);
    reportServingLoads(i.state);
    i.runFollowUps();
}

instant scheduler_core::nextWake() const
{
    const scheduler_state &state = m_implementation->state;
    if (!state.isOwner)
        return state.now + 1s;
    instant next = nextWorkerWake(state);
    if (!state.isCommitting && (!state.dirtyJobs.empty() || state.isWorkerListDirty))
        next = std::min(next, state.nextCommitAt);
    if (!state.isCommitting) {
        next = std::min(next, std::max(state.nextConfirmAt, state.nextCommitAt));
        for (const auto &[id, due] : state.leavingDue)
            next = std::min(next, std::max(due, state.nextCommitAt));
    }
    if (state.isDispatchWanted)
        next = std::min(next, state.nextDispatchAt);
    if (!state.dueOccurrences.empty())
        next = std::min(next, state.dueOccurrences.begin()->first - state.settings.earlyLimit);
    return next;
}

bool scheduler_core::isOwner() const
{
    return m_implementation->state.isOwner;
}

instant scheduler_core::workersAsOf() const
{
    return m_implementation->state.workersAsOf;
}

const scheduler_counters &scheduler_core::counters() const
{
    return m_implementation->state.counters;
}

} // namespace crocuswind::scheduler
