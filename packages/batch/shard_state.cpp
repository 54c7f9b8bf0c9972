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
    book = commitment_book();
    queue.clear();
    delayed.clear();
    aside.clear();
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
        session.lastHeardAt = now;
        book.setWorker(worker, session.info.rack, session.info.capacity);
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
        session.lastHeardAt = now;
    }
    if (!book.commit(worker, key, size)) {
        // The worker is not listed or has become smaller. What may be running there must be in the
        // book, so the worker counts as large enough for it, and nothing else.
        const worker_slot *slot = book.find(worker);
        const resources held = slot == nullptr ? resources() : slot->committed;
        book.setWorker(worker, session.info.rack, held + size);
        const bool isCommitted = book.commit(worker, key, size);
        CROCUSWIND_INVARIANT(isCommitted, toString(job.record.spec.id));
        if (session.isListed)
            book.setWorker(worker, session.info.rack, session.info.capacity);
    }
    queue.use(job.record.spec.id.team, size, false);
    job.runtime[std::size_t(replica)].isFromStore = true;
    ++session.unproven;
    noteLoad(job, worker, false);
}

void shard_state::noteLoad(const job_entry &job, const worker_id &worker, bool isRelease)
{
    worker_session &session = sessions.at(worker);
    const worker_slot *slot = book.find(worker);
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
            session.lastHeardAt = now;
        }
        const bool isChanged = !session.isListed || session.info != info;
        const bool startsLeaving = info.isLeaving && !session.info.isLeaving;
        session.info = info;
        session.isListed = true;
        if (!owner.isOwner() || !isChanged)
            continue;
        book.setWorker(info.worker, info.rack, info.capacity);
        if (startsLeaving) {
            const auto tasks = book.find(info.worker)->tasks;
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
        const worker_slot *slot = book.find(at->first);
        const bool isUnused = slot == nullptr || slot->tasks.empty();
        if (isUnused) {
            (void)book.removeWorker(at->first);
            aside.erase(at->first);
        }
        at = isUnused ? sessions.erase(at) : std::next(at);
    }
}

void shard_state::reduceOvercommitment(const worker_id &worker)
{
    if (!book.isOvercommitted(worker))
        return;
    const worker_slot *slot = book.find(worker);
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
    job.submittedAt = touch(job, spec.kind == job_kind::service);
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
            endClaim(*job, replica);
        else if (state == task_state::waiting)
            unqueue(*job, replica);
    }
    touch(*job, false);
    jobs.remove(id);
}

void shard_state::cancel(job_entry &job)
{
    job.record.isCancelled = true;
    touch(job, false);
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
    if (!book.commit(worker, key, job.record.spec.size))
        return false;
    queue.use(key.job.team, job.record.spec.size, false);
    task.state = task_state::claimed;
    ++task.attempt;
    task.worker = worker;
    task.result.clear();
    task_runtime &old = job.runtime[std::size_t(replica)];
    task_runtime runtime;
    runtime.failedOn = std::move(old.failedOn);
    runtime.chargedEarly = std::move(old.chargedEarly);
    runtime.waitingSince = old.waitingSince;
    runtime.claimedAt = touch(job, job.record.spec.kind == job_kind::service);
    old = std::move(runtime);
    ++sessions.at(worker).unproven;
    noteLoad(job, worker, false);
    refreshEligibility(worker);
    return true;
}

void shard_state::endClaim(job_entry &job, int replica)
{
    const task_key key{job.record.spec.id, replica};
    task_record &task = job.record.tasks[std::size_t(replica)];
    const bool isReleased = book.release(key);
    CROCUSWIND_INVARIANT(isReleased, toString(job.record.spec.id));
    queue.use(key.job.team, job.record.spec.size, true);
    const worker_id worker = task.worker;
    setProven(job, replica);
    noteLoad(job, worker, true);
    task.worker = worker_id();
    refreshEligibility(worker);
}

void shard_state::giveBack(job_entry &job, int replica, instant notBefore)
{
    task_record &task = job.record.tasks[std::size_t(replica)];
    if (job.record.isCancelled) {
        finish(job, replica, task_state::cancelled, task.result);
        return;
    }
    endClaim(job, replica);
    task.state = task_state::waiting;
    task_runtime &old = job.runtime[std::size_t(replica)];
    task_runtime runtime;
    runtime.failedOn = std::move(old.failedOn);
    runtime.chargedEarly = std::move(old.chargedEarly);
    runtime.waitingSince = now;
    old = std::move(runtime);
    enqueue(job, replica, notBefore);
    touch(job, job.record.spec.kind == job_kind::service);
}

void shard_state::finish(job_entry &job, int replica, task_state state, const std::string &result)
{
    task_record &task = job.record.tasks[std::size_t(replica)];
    if (task.state == task_state::claimed)
        endClaim(job, replica);
    else
        unqueue(job, replica);
    task.state = state;
    task.result = result;
    touch(job, false);
    if (isFinished(job.record))
        jobs.noteFinished(job.record.spec.id);
}

void shard_state::remove(job_entry &job, int replica, bool saveFirst, const std::string &reason)
{
    // Time for a worker to save a task's state before it is stopped with an older one.
    constexpr duration checkpointLimit = 10s;
    task_record &task = job.record.tasks[std::size_t(replica)];
    task_runtime &runtime = job.runtime[std::size_t(replica)];
    if (runtime.removal == removal_step::stopping)
        return;
    if (runtime.removal == removal_step::none)
        runtime.removalReason = reason;
    const auto session = sessions.find(task.worker);
    if (session != sessions.end())
        session->second.wantsSync = true;
    if (runtime.startedIn == 0 && !runtime.isFromStore) {
        giveBack(job, replica, now);
        return;
    }
    if (!saveFirst) {
        runtime.removal = removal_step::stopping;
    } else if (runtime.removal == removal_step::none) {
        runtime.removal = removal_step::checkpointing;
        runtime.checkpointBefore = task.lastCheckpoint.number;
        runtime.stopAt = now + checkpointLimit;
    }
}

void shard_state::charge(const task_key &key)
{
    job_entry *job = jobs.find(key.job);
    if (job == nullptr)
        return;
    task_record &task = job->record.tasks[std::size_t(key.replica)];
    if (task.state != task_state::waiting && task.state != task_state::claimed)
        return;
    ++task.failures;
    touch(*job, false);
    // A service is restarted for as long as it is wanted, with growing delays.
    const bool isEndless = job->record.spec.kind == job_kind::service;
    if (task.state == task_state::waiting && task.failures >= maxFailures && !isEndless)
        finish(*job, key.replica, task_state::failed, task.result);
}

std::int64_t shard_state::touch(job_entry &job, bool isUrgent)
{
    job.touchedAt = pipeline.touch(job.segment, isUrgent);
    return job.touchedAt;
}

bool shard_state::isDurable(const job_entry &job) const
{
    return pipeline.isDurable(job.segment, job.touchedAt);
}

void shard_state::setProven(job_entry &job, int replica)
{
    task_runtime &runtime = job.runtime[std::size_t(replica)];
    if (runtime.isProven)
        return;
    runtime.isProven = true;
    --sessions.at(job.record.tasks[std::size_t(replica)].worker).unproven;
}

void shard_state::endAside(worker_session &session)
{
    if (aside.erase(session.info.worker) != 0)
        log(fmt::format("worker {} gets tasks again", session.info.worker.value));
}

void shard_state::refreshEligibility(const worker_id &worker)
{
    const worker_slot *slot = book.find(worker);
    const auto at = sessions.find(worker);
    if (slot == nullptr || at == sessions.end())
        return;
    const worker_session &session = at->second;
    const bool isUsable = session.isListed && !session.info.isLeaving && session.isContacted
        && !session.isSilent(now) && session.strays.empty() && !book.isOvercommitted(worker);
    book.setEligible(worker, isUsable && session.unproven < session.health.maxUnprovenStarts(now));
}

void shard_state::putAsideIfFailing(worker_session &session)
{
    if (!session.health.isFailing(now))
        return;
    const auto listed = std::size_t(std::count_if(sessions.begin(), sessions.end(),
                                                  [](const auto &s) { return s.second.isListed; }));
    if (!session.health.isAside() && aside.size() >= listed / asideFraction)
        return;
    if (!session.health.isAside())
        log(fmt::format("put worker {} aside: it fails what it starts", session.info.worker.value));
    for (const task_key &key : session.health.takeFailures()) {
        job_entry *job = jobs.find(key.job);
        if (job == nullptr)
            continue;
        task_record &task = job->record.tasks[std::size_t(key.replica)];
        task_runtime &runtime = job->runtime[std::size_t(key.replica)];
        runtime.failedOn.erase(session.info.worker);
        if (runtime.chargedEarly.erase(session.info.worker) != 0 && task.failures > 0) {
            --task.failures;
            touch(*job, false);
        }
    }
    session.health.putAside(now);
    aside.insert(session.info.worker);
    refreshEligibility(session.info.worker);
}

void shard_state::expireSilentWorkers()
{
    for (auto &[worker, session] : sessions) {
        const worker_slot *slot = book.find(worker);
        if (slot == nullptr || slot->tasks.empty() || session.failures == 0)
            continue;
        const bool isLeaseOver = now >= session.leaseSentAt + taskLifeAfterRenewal;
        const bool isGone
            = !session.isListed && now >= session.unlistedSince + taskLifeAfterRenewal;
        if (!isLeaseOver)
            continue;
        // A worker that has not answered in this epoch may still obey a former owner that is cut
        // off from the store and renews its leases. Finite jobs wait until the worker answers or is
        // gone.
        const bool isFenced = session.isContacted || isGone;
        const auto tasks = slot->tasks;
        for (const auto &[key, size] : tasks) {
            job_entry &job = *jobs.find(key.job);
            if (isFenced || job.record.spec.kind != job_kind::finite)
                giveBack(job, key.replica, now);
        }
    }
}

} // namespace crocuswind
