#include "worker_syncs.h"

#include <algorithm>

namespace crocuswind {

namespace {

constexpr duration syncInterval = 1s;
constexpr duration syncTimeout = 1s;
/// Commands in quick succession share a sync, which limits the traffic to a worker.
constexpr duration minSyncGap = 50ms;
constexpr duration maxProbeGap = 4s;
/// Limits the payloads in one sync. Bodies are limited to 1 MB, and escaping may double the size of
/// a payload.
constexpr std::size_t maxStartBytes = 256 * 1024;
constexpr std::size_t maxCommands = 256;

/// Returns true if the start of the task may be sent.
bool mayStart(const shard_state &state, const worker_session &session, const job_entry &job,
              const task_runtime &runtime)
{
    return !runtime.isReported && !runtime.isRestored && runtime.removal == removal_step::none
        && !job.record.isCancelled && session.unclaimedTasks.empty()
        && (runtime.startIncarnation == 0 || runtime.startIncarnation == session.incarnationNumber)
        && state.pipeline.isDurable(job.segment, runtime.claimSequence);
}

bool mayForget(const shard_state &state, const task_id &task)
{
    const job_entry *job = state.jobs.find(task.job);
    if (job == nullptr)
        return true;
    if (!state.isDurable(*job))
        return false;
    if (std::size_t(task.replica) >= job->record.tasks.size())
        return true;
    const task_record &record = job->record.tasks[std::size_t(task.replica)];
    return record.state != task_state::claimed || record.attempt != task.attempt;
}

void addTaskCommands(shard_state &state, worker_session &session, const worker_slot &slot,
                     bool isProbe, sync_request &request)
{
    std::size_t startBytes = 0;
    for (const auto &[key, size] : slot.tasks) {
        job_entry &job = *state.jobs.find(key.job);
        task_record &task = job.record.tasks[std::size_t(key.replica)];
        task_runtime &runtime = job.runtime[std::size_t(key.replica)];
        const task_id id{key.job, key.replica, task.attempt};
        if (runtime.removal == removal_step::stopping && request.stop.size() < maxCommands)
            request.stop.push_back(id);
        if (runtime.removal == removal_step::checkpointing)
            request.checkpoint.push_back(id);
        if (runtime.throttlePermille < 1000)
            request.throttle.push_back({id, runtime.throttlePermille});
        if (isProbe || !mayStart(state, session, job, runtime)
            || startBytes + job.record.spec.payload.size() > maxStartBytes
            || request.start.size() >= maxCommands)
            continue;
        startBytes += job.record.spec.payload.size();
        runtime.startIncarnation = session.incarnationNumber;
        runtime.startSequence = request.sequence;
        if (runtime.firstStartAt == instant())
            runtime.firstStartAt = state.now;
        request.start.push_back(
            {id, size, job.record.spec.runMs, task.lastCheckpoint, job.record.spec.payload});
    }
}

void sendSync(shard_state &state, const worker_id &worker, worker_session &session)
{
    const bool isProbe = !session.hasReported || session.isUnresponsive(state.now);
    sync_request request;
    request.shard = state.settings.shard;
    request.epoch = state.owner.epoch();
    request.sequence = ++session.sequence;
    request.basis = session.basis;
    request.leaseMs
        = isProbe ? 0 : std::chrono::duration_cast<std::chrono::milliseconds>(taskLease).count();
    if (!isProbe)
        session.leaseSentAt = state.now;
    if (session.hasReported) {
        if (const worker_slot *slot = state.accounting.find(worker))
            addTaskCommands(state, session, *slot, isProbe, request);
        for (const task_id &unclaimed : session.unclaimedTasks) {
            if (request.stop.size() < maxCommands)
                request.stop.push_back(unclaimed);
        }
        for (const task_id &attempt : session.endedAttempts) {
            if (mayForget(state, attempt) && request.forget.size() < maxCommands)
                request.forget.push_back(attempt);
        }
    }
    session.isInFlight = true;
    session.wantsSync = false;
    session.nextSyncAt = state.now + syncInterval;
    state.actions.push_back(shard_sync_worker{worker, std::move(request), state.now + syncTimeout});
}

instant nextSyncAtOf(const worker_session &session)
{
    if (session.isInFlight)
        return instant::max();
    if (session.wantsSync && session.failures == 0)
        return session.nextSyncAt - syncInterval + minSyncGap;
    return session.nextSyncAt;
}

} // namespace

void sendSyncs(shard_state &state)
{
    if (!state.owner.maySendCommands(state.now))
        return;
    for (auto &[worker, session] : state.sessions) {
        if (nextSyncAtOf(session) <= state.now)
            sendSync(state, worker, session);
    }
}

instant nextSyncDue(const shard_state &state)
{
    instant due = instant::max();
    if (!state.owner.maySendCommands(state.now))
        return due;
    for (const auto &[worker, session] : state.sessions)
        due = std::min(due, nextSyncAtOf(session));
    return due;
}

void handleSyncError(shard_state &state, worker_session &session, const sync_error & /*error*/)
{
    ++session.failures;
    duration gap = syncInterval;
    for (int i = 1; i < session.failures && gap < maxProbeGap; ++i)
        gap *= 2;
    session.nextSyncAt = state.now + gap;
    state.refreshEligibility(session.info.worker);
}

void requestSyncsAfterCommit(shard_state &state)
{
    for (auto &[worker, session] : state.sessions) {
        if (!session.hasReported || session.wantsSync)
            continue;
        const worker_slot *slot = state.accounting.find(worker);
        bool isWanted = std::any_of(session.endedAttempts.begin(), session.endedAttempts.end(),
                                    [&](const task_id &task) { return mayForget(state, task); });
        for (auto at = slot == nullptr ? std::map<task_key, resources>::const_iterator()
                                       : slot->tasks.begin();
             slot != nullptr && !isWanted && at != slot->tasks.end(); ++at) {
            const job_entry &job = *state.jobs.find(at->first.job);
            isWanted = mayStart(state, session, job, job.runtime[std::size_t(at->first.replica)]);
        }
        session.wantsSync = isWanted;
    }
}

} // namespace crocuswind
