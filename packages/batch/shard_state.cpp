#include "shard_state.h"

#include <algorithm>
#include <fmt/format.h>

namespace crocuswind {

shard_state::shard_state(const shard_settings &given)
    : settings(given)
    , owner(given.host, given.incarnationNumber, given.shard)
    , pipeline(owner.keys(), owner.writer())
    , policy(makeInterferencePolicy(given.control))
{ }

void shard_state::clear()
{
    jobs = job_table();
    accounting = resource_accounting();
    queue.clear();
    delayed.clear();
    quarantined.clear();
    for (auto at = sessions.begin(); at != sessions.end();) {
        worker_session fresh;
        fresh.info = at->second.info;
        fresh.isListed = at->second.isListed;
        fresh.unlistedSince = at->second.unlistedSince;
        at->second = fresh;
        at = at->second.isListed ? std::next(at) : sessions.erase(at);
    }
}

void shard_state::load(loaded_shard loaded)
{
    clear();
    tookOverAt = now;
    for (auto &[worker, session] : sessions) {
        session.leaseSentAt = now;
        session.lastReportAt = now;
        accounting.setWorker(worker, session.info.rack, session.info.capacity);
    }
    pipeline.begin(owner.epoch(), loaded.commitVersion, loaded.sequence, loaded.segmentBytes);
    for (job_record &record : loaded.jobs) {
        job_entry &job = jobs.add(std::move(record), now);
        for (int replica = 0; replica < int(job.record.tasks.size()); ++replica) {
            const task_state state = job.record.tasks[std::size_t(replica)].state;
            if (state == task_state::claimed)
                restoreClaim(job, replica);
            else if (state == task_state::waiting)
                enqueue(job, replica, now);
        }
        if (job.record.isCancelled && !isFinished(job.record))
            cancel(job);
    }
    for (const auto &[worker, session] : sessions)
        reduceOvercommitment(worker);
}

void shard_state::restoreClaim(job_entry &job, int replica)
{
    const worker_id worker = job.record.tasks[std::size_t(replica)].worker;
    const task_key key{job.record.spec.id, replica};
    const resources size = job.record.spec.size;
    worker_session &session = sessions[worker];
    session.info.worker = worker;
    if (!session.isListed && session.unlistedSince == instant()) {
        session.unlistedSince = now;
        session.leaseSentAt = now;
        session.lastReportAt = now;
    }
    if (!accounting.commit(worker, key, size)) {
        // The worker is not listed or its capacity was reduced. The task may still be running
        // there, so it must be accounted for: the capacity is set to exactly what the claims need.
        const worker_slot *slot = accounting.find(worker);
        const resources held = slot == nullptr ? resources() : slot->committed;
        accounting.setWorker(worker, session.info.rack, held + size);
        const bool isCommitted = accounting.commit(worker, key, size);
        CROCUSWIND_INVARIANT(isCommitted, toString(job.record.spec.id));
        if (session.isListed)
            accounting.setWorker(worker, session.info.rack, session.info.capacity);
    }
    queue.use(job.record.spec.id.team, size, false);
    job.runtime[std::size_t(replica)].isRestored = true;
    ++session.unconfirmedStarts;
    updateLoad(job, worker, false);
}

void shard_state::updateLoad(const job_entry &job, const worker_id &worker, bool isRelease)
{
    worker_session &session = sessions.at(worker);
    const worker_slot *slot = accounting.find(worker);
    const std::int64_t cores = (isRelease ? -1 : 1) * job.record.spec.size.milliCores;
    session.changedAt = now;
    if (job.record.spec.kind == job_kind::service) {
        session.load.latencyCriticalCores += cores;
        return;
    }
    session.load.batchCores += cores;
    session.load.pressure += policy->pressureOf(job.workKind) * double(cores)
        / double(std::max<std::int64_t>(slot->capacity.milliCores, 1));
}

void shard_state::setWorkers(const std::vector<worker_info> &workers)
{
    hasHostList = true;
    std::set<worker_id> listed;
    for (const worker_info &info : workers) {
        if (shardOfWorker(info.worker, settings.shardCount) != settings.shard.index)
            continue;
        listed.insert(info.worker);
        const auto [at, isNew] = sessions.try_emplace(info.worker);
        worker_session &session = at->second;
        if (isNew) {
            session.leaseSentAt = now;
            session.lastReportAt = now;
        }
        const bool isChanged = !session.isListed || session.info != info;
        const bool startsLeaving = info.isLeaving && !session.info.isLeaving;
        session.info = info;
        session.isListed = true;
        if (!owner.isOwner() || !isChanged)
            continue;
        accounting.setWorker(info.worker, info.rack, info.capacity);
        if (startsLeaving) {
            const auto tasks = accounting.find(info.worker)->tasks;
            for (const auto &[key, size] : tasks)
                remove(*jobs.find(key.job), key.replica, true, "the worker is leaving");
        }
        reduceOvercommitment(info.worker);
        refreshEligibility(info.worker);
    }
    for (auto at = sessions.begin(); at != sessions.end();) {
        worker_session &session = at->second;
        if (listed.count(at->first) != 0) {
            ++at;
            continue;
        }
        if (session.isListed) {
            session.isListed = false;
            session.unlistedSince = now;
            refreshEligibility(at->first);
        }
        const worker_slot *slot = accounting.find(at->first);
        const bool isUnused = slot == nullptr || slot->tasks.empty();
        if (isUnused) {
            (void)accounting.removeWorker(at->first);
            quarantined.erase(at->first);
        }
        at = isUnused ? sessions.erase(at) : std::next(at);
    }
}

void shard_state::reduceOvercommitment(const worker_id &worker)
{
    if (!accounting.isOvercommitted(worker))
        return;
    const worker_slot *slot = accounting.find(worker);
    resources left = slot->committed;
    const auto tasks = slot->tasks;
    for (const bool takesServices : {false, true}) {
        for (auto at = tasks.rbegin(); at != tasks.rend(); ++at) {
            job_entry &job = *jobs.find(at->first.job);
            const bool isService = job.record.spec.kind == job_kind::service;
            if (isService != takesServices || fitsInto(left, slot->capacity))
                continue;
            left = left - at->second;
            remove(job, at->first.replica, true, "the worker has become smaller");
        }
    }
}

job_entry &shard_state::submit(const job_spec &spec)
{
    job_record record;
    record.spec = spec;
    record.number = jobs.takeNumber();
    record.tasks.resize(std::size_t(spec.replicas));
    job_entry &job = jobs.add(std::move(record), now);
    job.submissionSequence = markChanged(job, spec.kind == job_kind::service);
    for (int replica = 0; replica < spec.replicas; ++replica)
        enqueue(job, replica, now);
    return job;
}

void shard_state::drop(const job_id &id)
{
    job_entry *job = jobs.find(id);
    if (job == nullptr)
        return;
    for (int replica = 0; replica < int(job->record.tasks.size()); ++replica) {
        const task_state state = job->record.tasks[std::size_t(replica)].state;
        if (state == task_state::claimed)
            releaseClaim(*job, replica);
        else if (state == task_state::waiting)
            unqueue(*job, replica);
    }
    markChanged(*job, false);
    jobs.remove(id);
}

void shard_state::cancel(job_entry &job)
{
    job.record.isCancelled = true;
    markChanged(job, false);
    for (int replica = 0; replica < int(job.record.tasks.size()); ++replica) {
        const task_state state = job.record.tasks[std::size_t(replica)].state;
        if (state == task_state::claimed)
            remove(job, replica, false, "cancelled");
        else if (state == task_state::waiting)
            finish(job, replica, task_state::cancelled, std::string());
    }
}

void shard_state::enqueue(job_entry &job, int replica, instant notBefore)
{
    const task_key key{job.record.spec.id, replica};
    task_runtime &runtime = job.runtime[std::size_t(replica)];
    runtime.notBefore = notBefore;
    if (notBefore > now) {
        delayed.insert({notBefore, key});
        return;
    }
    const job_spec &spec = job.record.spec;
    queue.add({key, spec.size, spec.kind == job_kind::service, spec.urgency, runtime.waitingSince,
               job.record.number});
    ++queueRevision;
}

void shard_state::unqueue(job_entry &job, int replica)
{
    const task_key key{job.record.spec.id, replica};
    delayed.erase({job.runtime[std::size_t(replica)].notBefore, key});
    (void)queue.remove(key);
}

void shard_state::releaseDelayed()
{
    while (!delayed.empty() && delayed.begin()->first <= now) {
        const task_key key = delayed.begin()->second;
        delayed.erase(delayed.begin());
        enqueue(*jobs.find(key.job), key.replica, now);
    }
}

bool shard_state::claim(job_entry &job, int replica, const worker_id &worker)
{
    task_record &task = job.record.tasks[std::size_t(replica)];
    CROCUSWIND_INVARIANT(task.state == task_state::waiting, toString(job.record.spec.id));
    const task_key key{job.record.spec.id, replica};
    if (!accounting.commit(worker, key, job.record.spec.size))
        return false;
    queue.use(key.job.team, job.record.spec.size, false);
    task.state = task_state::claimed;
    ++task.attempt;
    task.worker = worker;
    task.result.clear();
    task_runtime &old = job.runtime[std::size_t(replica)];
    task_runtime runtime;
    runtime.failedOn = std::move(old.failedOn);
    runtime.chargedOn = std::move(old.chargedOn);
    runtime.waitingSince = old.waitingSince;
    runtime.claimSequence = markChanged(job, job.record.spec.kind == job_kind::service);
    old = std::move(runtime);
    ++sessions.at(worker).unconfirmedStarts;
    updateLoad(job, worker, false);
    refreshEligibility(worker);
    return true;
}

void shard_state::releaseClaim(job_entry &job, int replica)
{
    const task_key key{job.record.spec.id, replica};
    task_record &task = job.record.tasks[std::size_t(replica)];
    const bool isReleased = accounting.release(key);
    CROCUSWIND_INVARIANT(isReleased, toString(job.record.spec.id));
    queue.use(key.job.team, job.record.spec.size, true);
    const worker_id worker = task.worker;
    confirmStart(job, replica);
    updateLoad(job, worker, true);
    task.worker = worker_id();
    refreshEligibility(worker);
}

void shard_state::requeue(job_entry &job, int replica, instant notBefore)
{
    task_record &task = job.record.tasks[std::size_t(replica)];
    if (job.record.isCancelled) {
        finish(job, replica, task_state::cancelled, task.result);
        return;
    }
    releaseClaim(job, replica);
    task.state = task_state::waiting;
    task_runtime &old = job.runtime[std::size_t(replica)];
    task_runtime runtime;
    runtime.failedOn = std::move(old.failedOn);
    runtime.chargedOn = std::move(old.chargedOn);
    runtime.waitingSince = now;
    old = std::move(runtime);
    enqueue(job, replica, notBefore);
    markChanged(job, job.record.spec.kind == job_kind::service);
}

void shard_state::finish(job_entry &job, int replica, task_state state, const std::string &result)
{
    task_record &task = job.record.tasks[std::size_t(replica)];
    if (task.state == task_state::claimed)
        releaseClaim(job, replica);
    else
        unqueue(job, replica);
    task.state = state;
    task.result = result;
    markChanged(job, false);
    if (isFinished(job.record))
        jobs.markFinished(job.record.spec.id);
}

void shard_state::remove(job_entry &job, int replica, bool checkpointFirst,
                         const std::string &reason)
{
    // Time that a worker has to checkpoint a task before it is stopped with an older checkpoint.
    constexpr duration checkpointTimeout = 10s;
    task_record &task = job.record.tasks[std::size_t(replica)];
    task_runtime &runtime = job.runtime[std::size_t(replica)];
    if (runtime.removal == removal_step::stopping)
        return;
    if (runtime.removal == removal_step::none)
        runtime.removalReason = reason;
    const auto session = sessions.find(task.worker);
    if (session != sessions.end())
        session->second.wantsSync = true;
    if (runtime.startIncarnation == 0 && !runtime.isRestored) {
        requeue(job, replica, now);
        return;
    }
    if (!checkpointFirst) {
        runtime.removal = removal_step::stopping;
    } else if (runtime.removal == removal_step::none) {
        runtime.removal = removal_step::checkpointing;
        runtime.checkpointBefore = task.lastCheckpoint.number;
        runtime.stopAt = now + checkpointTimeout;
    }
}

void shard_state::chargeFailure(const task_key &key)
{
    job_entry *job = jobs.find(key.job);
    if (job == nullptr)
        return;
    task_record &task = job->record.tasks[std::size_t(key.replica)];
    if (task.state != task_state::waiting && task.state != task_state::claimed)
        return;
    ++task.failures;
    markChanged(*job, false);
    // A service is restarted with increasing delays until it is cancelled.
    const bool isRestartedForever = job->record.spec.kind == job_kind::service;
    if (task.state == task_state::waiting && task.failures >= maxFailures && !isRestartedForever)
        finish(*job, key.replica, task_state::failed, task.result);
}

std::int64_t shard_state::markChanged(job_entry &job, bool isUrgent)
{
    job.lastChangeSequence = pipeline.markChanged(job.segment, isUrgent);
    return job.lastChangeSequence;
}

bool shard_state::isDurable(const job_entry &job) const
{
    return pipeline.isDurable(job.segment, job.lastChangeSequence);
}

void shard_state::confirmStart(job_entry &job, int replica)
{
    task_runtime &runtime = job.runtime[std::size_t(replica)];
    if (runtime.isStartConfirmed)
        return;
    runtime.isStartConfirmed = true;
    --sessions.at(job.record.tasks[std::size_t(replica)].worker).unconfirmedStarts;
}

void shard_state::endQuarantine(worker_session &session)
{
    if (quarantined.erase(session.info.worker) != 0)
        log(fmt::format("worker {} is no longer quarantined", session.info.worker.value));
}

void shard_state::refreshEligibility(const worker_id &worker)
{
    const worker_slot *slot = accounting.find(worker);
    const auto at = sessions.find(worker);
    if (slot == nullptr || at == sessions.end())
        return;
    const worker_session &session = at->second;
    const bool isUsable = session.isListed && !session.info.isLeaving && session.hasReported
        && !session.isUnresponsive(now) && session.unclaimedTasks.empty()
        && !accounting.isOvercommitted(worker);
    accounting.setEligible(
        worker, isUsable && session.unconfirmedStarts < session.health.maxUnconfirmedStarts(now));
}

void shard_state::quarantineIfFailing(worker_session &session)
{
    if (!session.health.isFailing(now))
        return;
    const auto listed = std::size_t(std::count_if(sessions.begin(), sessions.end(),
                                                  [](const auto &s) { return s.second.isListed; }));
    if (!session.health.isQuarantined() && quarantined.size() >= listed / workersPerQuarantine)
        return;
    if (!session.health.isQuarantined())
        log(fmt::format("quarantined worker {}: it fails what it starts",
                        session.info.worker.value));
    for (const task_key &key : session.health.takeFailures()) {
        job_entry *job = jobs.find(key.job);
        if (job == nullptr)
            continue;
        task_record &task = job->record.tasks[std::size_t(key.replica)];
        task_runtime &runtime = job->runtime[std::size_t(key.replica)];
        runtime.failedOn.erase(session.info.worker);
        if (runtime.chargedOn.erase(session.info.worker) != 0 && task.failures > 0) {
            --task.failures;
            markChanged(*job, false);
        }
    }
    session.health.quarantine(now);
    quarantined.insert(session.info.worker);
    refreshEligibility(session.info.worker);
}

void shard_state::expireUnresponsiveWorkers()
{
    for (auto &[worker, session] : sessions) {
        const worker_slot *slot = accounting.find(worker);
        if (slot == nullptr || slot->tasks.empty() || session.failures == 0)
            continue;
        const bool isLeaseOver = now >= session.leaseSentAt + maxTaskLifetimeAfterRenewal;
        const bool isGone
            = !session.isListed && now >= session.unlistedSince + maxTaskLifetimeAfterRenewal;
        if (!isLeaseOver)
            continue;
        // A worker that has not answered in this epoch may still obey a former owner that is
        // partitioned from the store and keeps renewing its leases. Finite jobs are not started
        // elsewhere until the worker answers or has left the host list for long enough.
        const bool isFenced = session.hasReported || isGone;
        const auto tasks = slot->tasks;
        for (const auto &[key, size] : tasks) {
            job_entry &job = *jobs.find(key.job);
            if (isFenced || job.record.spec.kind != job_kind::finite)
                requeue(job, key.replica, now);
        }
    }
}

} // namespace crocuswind
