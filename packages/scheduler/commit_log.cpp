#include "commit_log.h"

#include "job_intake.h"
#include "record_codec.h"
#include "task_lifecycle.h"

#include <algorithm>
#include <fmt/format.h>

namespace crocuswind::scheduler {

namespace {

// The store takes 32 entries in one transaction; two carry the proof of ownership.
constexpr std::size_t maxBatchEntries = 30;

/// Jobs whose callers wait go first, up to this many entries while others wait as well.
constexpr std::size_t maxCallerEntries = 22;

// The pause after a batch that took all that waited lets ends of several workers share the next.
constexpr duration commitInterval = 60ms;

/// After the store has refused a batch.
constexpr duration refusedCommitPause = 150ms;

/// What the interference model has learned in less time is learned again soon enough.
constexpr duration modelInterval = 3s;

std::string jobKey(const scheduler_state &state, const job_name &name)
{
    return state.settings.keyPrefix + "job/" + name.value;
}

std::string progressKey(const scheduler_state &state, const job_name &name)
{
    return state.settings.keyPrefix + "run/" + name.value;
}

std::string workersKey(const scheduler_state &state)
{
    return state.settings.keyPrefix + "workers";
}

std::string modelKey(const scheduler_state &state)
{
    return state.settings.keyPrefix + "interference";
}

bool startsWith(std::string_view text, std::string_view prefix)
{
    return text.substr(0, prefix.size()) == prefix;
}

// One worker a line: its identifier and its address, which a later owner asks even if service
// discovery does not have it any more.
std::string joinWorkers(const scheduler_state &state)
{
    std::string text;
    for (const auto &[id, worker] : state.workers)
        text += id.value + ' ' + worker.info.address + '\n';
    return text;
}

void addRecords(const scheduler_state &state, const job_record &job, commit_batch &batch)
{
    if (job.finishedUnixMs != 0) {
        batch.removedKeys.push_back(jobKey(state, job.spec.name));
        batch.puts.push_back({progressKey(state, job.spec.name), encodeProgress(job), 0});
        return;
    }
    if (!job.isStored)
        batch.puts.push_back({jobKey(state, job.spec.name), encodeAcceptance(job), 0});
    if (job.isStored || job.hasBegun())
        batch.puts.push_back({progressKey(state, job.spec.name), encodeProgress(job), 0});
}

void addWorkerList(scheduler_state &state, commit_batch &batch)
{
    batch.puts.push_back({workersKey(state), joinWorkers(state), 0});
    for (const auto &[id, worker] : state.workers)
        state.committingWorkers.emplace_back(id, worker.info.address);
    state.isWorkerListDirty = false;
}

// A later owner starts with what this one has learned. It travels with other records only.
void addModel(scheduler_state &state, commit_batch &batch)
{
    if (state.now < state.nextModelAt)
        return;
    state.nextModelAt = state.now + modelInterval;
    std::string model = state.interference.encode();
    if (model == state.storedModel)
        return;
    state.storedModel = model;
    batch.puts.push_back({modelKey(state), std::move(model), 0});
}

void answerSubmission(scheduler_state &state, call_token token)
{
    job_reply reply;
    reply.token = token;
    reply.outcome = job_outcome::accepted;
    state.ports.answer(reply);
}

void answerCancellation(scheduler_state &state, call_token token)
{
    job_reply reply;
    reply.token = token;
    reply.outcome = job_outcome::cancelled;
    state.ports.answer(reply);
}

template <typename T>
void append(std::vector<T> &all, const std::vector<T> &more)
{
    all.insert(all.end(), more.begin(), more.end());
}

void settleEnd(scheduler_state &state, const pending_end &end)
{
    worker_record *worker = state.findWorker(end.worker);
    if (worker == nullptr || worker->bornUnixMs != end.bornUnixMs)
        return;
    worker->ends.settle(end.number);
    if (!worker->ends.hasUnsettled())
        state.bringPollForward(*worker, state.now);
}

void finishRecord(scheduler_state &state, const job_name &name, const job_waiters &waiters)
{
    for (call_token token : waiters.submissions)
        answerSubmission(state, token);
    for (call_token token : waiters.cancellations)
        answerCancellation(state, token);
    for (const pending_end &end : waiters.ends)
        settleEnd(state, end);
    job_record *job = state.findJob(name);
    if (job == nullptr)
        return;
    if (!job->isStored) {
        job->isStored = true;
        releaseDueOccurrences(state, *job);
    }
    // A job that ended after the batch was built is written once more.
    const bool isWrittenAgain = state.waiters.count(name) != 0;
    if (job->finishedUnixMs != 0 && !job->isFinishStored && !isWrittenAgain) {
        job->isFinishStored = true;
        state.expiring.emplace_back(state.now + state.settings.keepEndedJobs, name);
    }
}

void readAcceptance(scheduler_state &state, const stored_record &record)
{
    auto job = decodeAcceptance(record.value);
    if (!job) {
        state.ports.log("bad_record", fmt::format("key={}", record.key));
        return;
    }
    job->isStored = true;
    job->isRecovered = true;
    const job_name name = job->spec.name;
    state.jobs[name] = std::make_unique<job_record>(std::move(*job));
}

void readProgress(scheduler_state &state, const stored_record &record, const job_name &name)
{
    std::unique_ptr<job_record> &job = state.jobs[name];
    if (!job) {
        job = std::make_unique<job_record>();
        job->spec.name = name;
        job->isStored = true;
        job->isRecovered = true;
    }
    if (!decodeProgress(record.value, *job))
        state.ports.log("bad_record", fmt::format("key={}", record.key));
}

void readWorkers(scheduler_state &state, const std::string &text, instant inheritedUntil)
{
    std::size_t begin = 0;
    for (std::size_t end = text.find('\n'); end != std::string::npos;
         end = text.find('\n', begin)) {
        const std::string line = text.substr(begin, end - begin);
        begin = end + 1;
        const std::size_t space = std::min(line.rfind(' '), line.size());
        const worker_id id{line.substr(0, space)};
        worker_record &worker = state.workers[id];
        worker.info.id = id;
        worker.info.address = line.substr(std::min(space + 1, line.size()));
        worker.lease.limitLapse(inheritedUntil);
        state.unreportedWorkers.insert(id);
    }
}

// Finished jobs stay known for a while; the others go on.
void resumeJob(scheduler_state &state, job_record &job, std::int64_t unixNowMs)
{
    job.number = ++state.lastJobNumber;
    job.acceptedAt = state.now - std::chrono::milliseconds(unixNowMs - job.acceptedUnixMs);
    if (job.finishedUnixMs != 0) {
        job.isFinishStored = true;
        state.expiring.emplace_back(state.now + state.settings.keepEndedJobs, job.spec.name);
        return;
    }
    // An owner that has just started may not have read the configuration: until then no number of
    // failures ends a job.
    job.policy.attemptLimit = queue_policy::unknownAttemptLimit;
    const auto policy = state.queues.find(job.spec.queue);
    if (policy != state.queues.end())
        job.policy = policy->second;
    job.policy.queue = job.spec.queue;
    job.chainsMs = chainsFromMs(job.spec);
    resumeOccurrences(state, job, unixNowMs);
}

bool hasRoom(const commit_batch &batch, std::size_t limit)
{
    return batch.puts.size() + batch.removedKeys.size() + 2 <= limit;
}

// Moves the records of a job from those that wait to the batch.
void addToBatch(scheduler_state &state, const job_name &name, commit_batch &batch)
{
    const auto waiters = state.waiters.find(name);
    if (const job_record *job = state.findJob(name))
        addRecords(state, *job, batch);
    else
        batch.removedKeys.push_back(progressKey(state, name));
    state.committing.emplace_back(name, std::move(waiters->second));
    state.waiters.erase(waiters);
}

// Adds jobs whose callers wait for the batch, the oldest first.
void addCallersJobs(scheduler_state &state, commit_batch &batch)
{
    std::deque<job_name> others;
    for (job_name &name : state.dirtyJobs) {
        const job_waiters &waiters = state.waiters.at(name);
        const bool hasCaller = !waiters.submissions.empty() || !waiters.cancellations.empty();
        if (hasCaller && hasRoom(batch, maxCallerEntries))
            addToBatch(state, name, batch);
        else
            others.push_back(std::move(name));
    }
    state.dirtyJobs = std::move(others);
}

void addOldestJobs(scheduler_state &state, commit_batch &batch)
{
    while (!state.dirtyJobs.empty() && hasRoom(batch, maxBatchEntries)) {
        const job_name name = std::move(state.dirtyJobs.front());
        state.dirtyJobs.pop_front();
        addToBatch(state, name, batch);
    }
}

} // namespace

job_waiters &markDirty(scheduler_state &state, const job_record &job)
{
    const auto [found, isNew] = state.waiters.try_emplace(job.spec.name);
    if (isNew)
        state.dirtyJobs.push_back(job.spec.name);
    return found->second;
}

void settleWhenDurable(scheduler_state &state, const job_name &name, const pending_end &end)
{
    const auto waiting = state.waiters.find(name);
    if (waiting != state.waiters.end()) {
        waiting->second.ends.push_back(end);
        return;
    }
    // The batch under way holds all that is known of the job, or the job would be dirty again.
    const auto underWay = std::find_if(state.committing.begin(), state.committing.end(),
                                       [&](const auto &entry) { return entry.first == name; });
    if (underWay != state.committing.end())
        underWay->second.ends.push_back(end);
    else
        settleEnd(state, end);
}

void flushCommits(scheduler_state &state)
{
    if (state.isCommitting || !state.isOwner || state.now < state.nextCommitAt)
        return;
    if (state.dirtyJobs.empty() && !state.isWorkerListDirty)
        return;
    commit_batch batch;
    if (state.isWorkerListDirty)
        addWorkerList(state, batch);
    addModel(state, batch);
    addCallersJobs(state, batch);
    addOldestJobs(state, batch);
    state.isCommitting = true;
    state.nextCommitAt = state.dirtyJobs.empty() ? state.now + commitInterval : state.now;
    ++state.counters.commits;
    state.ports.commit(std::move(batch));
}

void finishCommit(scheduler_state &state)
{
    state.isCommitting = false;
    const auto finished = std::move(state.committing);
    state.committing.clear();
    for (const auto &[name, waiters] : finished)
        finishRecord(state, name, waiters);
    for (const auto &[id, address] : state.committingWorkers) {
        worker_record *worker = state.findWorker(id);
        if (worker == nullptr || worker->isRecorded || worker->info.address != address)
            continue;
        worker->isRecorded = true;
        state.isDispatchWanted = true;
    }
    state.committingWorkers.clear();
}

void takeBackCommit(scheduler_state &state)
{
    state.isCommitting = false;
    const auto refused = std::move(state.committing);
    state.committing.clear();
    for (const auto &[name, waiters] : refused) {
        const auto [found, isNew] = state.waiters.try_emplace(name);
        if (isNew)
            state.dirtyJobs.push_back(name);
        append(found->second.submissions, waiters.submissions);
        append(found->second.cancellations, waiters.cancellations);
        append(found->second.ends, waiters.ends);
    }
    state.isWorkerListDirty = state.isWorkerListDirty || !state.committingWorkers.empty();
    state.committingWorkers.clear();
    state.storedModel.clear();
    state.nextCommitAt = state.now + refusedCommitPause;
    if (!state.isStoreAvailable)
        refuseUnsentJobs(state);
}

void forgetEndedJobs(scheduler_state &state)
{
    while (!state.expiring.empty() && state.expiring.front().first <= state.now) {
        const job_name name = state.expiring.front().second;
        state.expiring.pop_front();
        const job_record *job = state.findJob(name);
        if (job == nullptr)
            continue;
        markDirty(state, *job);
        const auto isOfJob = [job](const ready_step &step) { return step.job == job; };
        state.ready.erase(std::remove_if(state.ready.begin(), state.ready.end(), isOfJob),
                          state.ready.end());
        state.jobs.erase(name);
    }
}

void loadRecords(scheduler_state &state, const std::vector<stored_record> &records,
                 std::int64_t unixNowMs, instant inheritedUntil)
{
    const std::string jobPrefix = state.settings.keyPrefix + "job/";
    const std::string progressPrefix = state.settings.keyPrefix + "run/";
    for (const stored_record &record : records) {
        if (startsWith(record.key, jobPrefix))
            readAcceptance(state, record);
        else if (record.key == workersKey(state))
            readWorkers(state, record.value, inheritedUntil);
        else if (record.key == modelKey(state))
            state.interference.decode(record.value);
    }
    for (const stored_record &record : records) {
        if (startsWith(record.key, progressPrefix))
            readProgress(state, record, {record.key.substr(progressPrefix.size())});
    }
    for (auto &[name, job] : state.jobs)
        resumeJob(state, *job, unixNowMs);
}

} // namespace crocuswind::scheduler
