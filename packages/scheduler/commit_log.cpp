#include "commit_log.h"

#include "run_times.h"

#include "job_intake.h"
#include "job_policy.h"
#include "leaving_records.h"
#include "occurrences.h"
#include "record_codec.h"
#include "silent_workers.h"
#include "task_lifecycle.h"

#include <algorithm>
#include <fmt/format.h>
#include <utility>

namespace crocuswind::scheduler {

namespace {

// The store accepts 32 entries in one transaction; two are used for the proof of ownership, and one
// more for its confirmation.
constexpr std::size_t maxBatchEntries = 30;
constexpr std::size_t maxConfirmingBatchEntries = maxBatchEntries - 1;
/// Jobs with waiting callers and jobs that have ended are written first, up to this many entries.
/// The remaining entries of the batch are filled in the order in which jobs became dirty.
constexpr std::size_t maxCallerEntries = 22;

// The pause after a batch that contained all changes lets the completions of several workers share
// the next batch.
constexpr duration commitInterval = 60ms;

/// The pause after the store has refused a batch.
constexpr duration refusedCommitBackoff = 150ms;

/// Minimum time between writes of the interference model. What is lost with a change of the owner
/// is learned again in a similar time.
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

void addRecords(const scheduler_state &state, const job_record &job, commit_batch &batch)
{
    if (job.finishedUnixMs != 0) {
        batch.removedKeys.push_back(jobKey(state, job.spec.name));
        batch.puts.push_back({progressKey(state, job.spec.name), encodeProgress(job), 0});
        return;
    }
    if (!job.isStored)
        batch.puts.push_back({jobKey(state, job.spec.name), encodeAcceptance(job), 0});
    if (job.isStored || job.hasStarted())
        batch.puts.push_back({progressKey(state, job.spec.name), encodeProgress(job), 0});
}

void addWorkerList(scheduler_state &state, commit_batch &batch)
{
    state.committingWorkers = takeWorkerList(state);
    batch.puts.push_back({workersKey(state), toText(*state.committingWorkers), 0});
    state.isWorkerListDirty = false;
}

// Adds the interference model if it has changed, for use by a later owner. The model alone never
// causes a commit.
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

void settleCompletion(scheduler_state &state, const pending_completion &completion)
{
    worker_record *worker = state.findWorker(completion.worker);
    if (worker == nullptr || worker->incarnationStartUnixMs != completion.incarnationStartUnixMs)
        return;
    worker->completions.settle(completion.number);
    if (worker->runs.empty() && !worker->completions.hasUnsettled())
        state.noteRunsChanged(*worker);
    if (!worker->completions.hasUnsettled())
        state.bringPollForward(*worker, state.now);
}

void finishRecord(scheduler_state &state, const job_name &name, const job_waiters &waiters)
{
    for (call_token token : waiters.submissions)
        answerSubmission(state, token);
    for (call_token token : waiters.cancellations)
        answerCancellation(state, token);
    for (const pending_completion &completion : waiters.completions)
        settleCompletion(state, completion);
    job_record *job = state.findJob(name);
    if (job == nullptr)
        return;
    if (!job->isStored) {
        job->isStored = true;
        releaseDueOccurrences(state, *job);
    }
    // A job that ended after the batch was built has another write pending.
    const bool isWrittenAgain = state.waiters.count(name) != 0;
    if (job->finishedUnixMs != 0 && !job->isFinishStored && !isWrittenAgain) {
        job->isFinishStored = true;
        state.expiringJobs.emplace_back(state.now + state.settings.keepEndedJobs, name);
    }
}

void readAcceptance(scheduler_state &state, const stored_record &record)
{
    auto job = decodeAcceptance(record.value);
    const bool isValid = job && checkJob(job->spec, record.key).empty() && job->acceptedUnixMs >= 0
        && job->acceptedUnixMs <= maxUnixMs;
    if (!isValid) {
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
    // Without a readable acceptance record, the progress record is useful only if the job has
    // ended.
    if (job->spec.steps.empty() && job->finishedUnixMs == 0)
        state.jobs.erase(name);
}

// Keeps a finished job for queries until it expires, and resumes any other job.
void resumeJob(scheduler_state &state, job_record &job, std::int64_t unixNowMs)
{
    job.number = ++state.lastJobNumber;
    job.acceptedAt = state.now - std::chrono::milliseconds(unixNowMs - job.acceptedUnixMs);
    job.requestedAt = job.acceptedAt;
    if (job.finishedUnixMs != 0) {
        job.isFinishStored = true;
        state.expiringJobs.emplace_back(state.now + state.settings.keepEndedJobs, job.spec.name);
        return;
    }
    // A new owner may not have read the configuration yet. Until then no number of failures fails a
    // job.
    job.policy.attemptLimit = queue_policy::unknownAttemptLimit;
    job.policy.queue = job.spec.queue;
    updatePolicy(state, job);
    job.criticalPathsMs = expectedCriticalPathsMs(state, job.spec);
    state.unstartedJobs.insert(job.spec.name);
    job.idleSince = job.hasStarted() ? state.now : job.acceptedAt;
    resumeOccurrences(state, job);
}

bool fitsInBatch(const commit_batch &batch, std::size_t limit)
{
    return batch.puts.size() + batch.removedKeys.size() + 2 <= limit;
}

// Moves the pending changes of a job to the batch.
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

bool hasCaller(const job_waiters &waiters)
{
    return !waiters.submissions.empty() || !waiters.cancellations.empty();
}

bool hasEnded(const scheduler_state &state, const job_name &name)
{
    const auto found = state.jobs.find(name);
    return found != state.jobs.end() && found->second->finishedUnixMs != 0;
}

// Adds the dirty jobs that \p isMeant selects, the oldest first, up to \p limit entries.
template <class predicate>
void addJobs(scheduler_state &state, commit_batch &batch, std::size_t limit, predicate isMeant)
{
    std::deque<job_name> others;
    for (job_name &name : state.dirtyJobs) {
        if (fitsInBatch(batch, limit) && isMeant(name))
            addToBatch(state, name, batch);
        else
            others.push_back(std::move(name));
    }
    state.dirtyJobs = std::move(others);
}

// Callers wait for the answers to their calls and for the ends of their jobs, so these come first.
void addDirtyJobs(scheduler_state &state, commit_batch &batch)
{
    addJobs(state, batch, maxCallerEntries,
            [&](const job_name &name) { return hasCaller(state.waiters.at(name)); });
    addJobs(state, batch, maxCallerEntries,
            [&](const job_name &name) { return hasEnded(state, name); });
    const std::size_t limit = batch.confirmsOwnership ? maxConfirmingBatchEntries : maxBatchEntries;
    addJobs(state, batch, limit, [](const job_name &) { return true; });
}

} // namespace

bool isHandoverFlushOver(const scheduler_state &state)
{
    return state.isHandingOver && state.now >= state.handoverFlushUntil
        && !isMisdirectedLeaseUnstored(state);
}

job_waiters &markDirty(scheduler_state &state, const job_record &job)
{
    const auto [found, isNew] = state.waiters.try_emplace(job.spec.name);
    if (isNew)
        state.dirtyJobs.push_back(job.spec.name);
    return found->second;
}

void settleWhenDurable(scheduler_state &state, const job_name &name,
                       const pending_completion &completion)
{
    const auto waiting = state.waiters.find(name);
    if (waiting != state.waiters.end()) {
        waiting->second.completions.push_back(completion);
        return;
    }
    // The job is not dirty, so the batch in flight, if it contains the job, has its present state.
    const auto inFlight = std::find_if(state.committing.begin(), state.committing.end(),
                                       [&](const auto &entry) { return entry.first == name; });
    if (inFlight != state.committing.end())
        inFlight->second.completions.push_back(completion);
    else
        settleCompletion(state, completion);
}

void flushCommits(scheduler_state &state)
{
    if (state.isCommitting || !state.isOwner || state.now < state.nextCommitAt)
        return;
    if (isHandoverFlushOver(state))
        return;
    const bool isConfirmDue = state.now >= state.nextConfirmAt;
    const bool hasChanges
        = !state.dirtyJobs.empty() || state.isWorkerListDirty || isLeavingRecordDue(state);
    // An owner that hands over must not wait for a commit that stores nothing.
    const bool needsEmptyCommit = isConfirmDue && !state.isHandingOver;
    if (!hasChanges && !needsEmptyCommit)
        return;
    commit_batch batch;
    if (isConfirmDue) {
        batch.confirmsOwnership = true;
        state.nextConfirmAt = state.now + state.settings.confirmInterval;
    }
    if (state.isWorkerListDirty)
        addWorkerList(state, batch);
    addLeavingRecords(state, batch);
    addModel(state, batch);
    addDirtyJobs(state, batch);
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
    if (const auto list = std::exchange(state.committingWorkers, std::nullopt))
        noteListStored(state, *list);
    finishLeavingRecords(state);
}

void requeueCommit(scheduler_state &state)
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
        append(found->second.completions, waiters.completions);
    }
    state.isWorkerListDirty = state.isWorkerListDirty || state.committingWorkers.has_value();
    state.committingWorkers.reset();
    requeueLeavingRecords(state);
    state.storedModel.clear();
    state.nextConfirmAt = state.now;
    state.nextCommitAt = state.now + refusedCommitBackoff;
    if (!state.isStoreAvailable)
        refuseUnsentJobs(state);
}

void forgetEndedJobs(scheduler_state &state)
{
    while (!state.expiringJobs.empty() && state.expiringJobs.front().first <= state.now) {
        const job_name name = state.expiringJobs.front().second;
        state.expiringJobs.pop_front();
        const job_record *job = state.findJob(name);
        if (job == nullptr)
            continue;
        if (job->mayHaveRun()) {
            state.expiringJobs.emplace_back(state.now + state.settings.keepEndedJobs, name);
            continue;
        }
        markDirty(state, *job);
        const auto isOfJob = [job](const ready_step &step) { return step.job == job; };
        state.ready.erase(std::remove_if(state.ready.begin(), state.ready.end(), isOfJob),
                          state.ready.end());
        state.unstartedJobs.erase(name);
        state.jobs.erase(name);
    }
}

void loadRecords(scheduler_state &state, const std::vector<stored_record> &records,
                 std::int64_t unixNowMs, const earlier_authority &authority)
{
    const std::string jobPrefix = state.settings.keyPrefix + "job/";
    const std::string progressPrefix = state.settings.keyPrefix + "run/";
    for (const stored_record &record : records) {
        if (startsWith(record.key, jobPrefix))
            readAcceptance(state, record);
        else if (record.key == workersKey(state))
            restoreWorkers(state, parseWorkerList(record.value), authority);
        else if (record.key == modelKey(state))
            state.interference.decode(record.value);
    }
    for (const stored_record &record : records) {
        if (startsWith(record.key, progressPrefix))
            readProgress(state, record, {record.key.substr(progressPrefix.size())});
        else if (startsWith(record.key, leavingPrefix(state)))
            readLeavingRecord(state, {record.key.substr(leavingPrefix(state).size())}, record.value,
                              authority);
    }
    for (auto &[name, job] : state.jobs)
        resumeJob(state, *job, unixNowMs);
}

} // namespace crocuswind::scheduler
