#include "commit_log.h"

#include "job_intake.h"
#include "job_policy.h"
#include "record_codec.h"
#include "silent_workers.h"
#include "task_lifecycle.h"

#include <algorithm>
#include <charconv>
#include <fmt/format.h>
#include <sstream>
#include <utility>

namespace crocuswind::scheduler {

namespace {

// The store accepts 32 entries in one transaction; two are used for the proof of ownership, and one
// more for its confirmation.
constexpr std::size_t maxBatchEntries = 30;
constexpr std::size_t maxConfirmingBatchEntries = maxBatchEntries - 1;
// Limits the leaving records in a batch so that entries for jobs remain.
constexpr std::size_t maxLeavingRecords = 12;

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

std::string leavingPrefix(const scheduler_state &state)
{
    return state.settings.keyPrefix + "leaving/";
}

std::string modelKey(const scheduler_state &state)
{
    return state.settings.keyPrefix + "interference";
}

bool startsWith(std::string_view text, std::string_view prefix)
{
    return text.substr(0, prefix.size()) == prefix;
}

// Returns true if all tasks that may be on the worker are known and no other task can start there.
bool hasKnownTasks(const scheduler_state &state, const worker_record &worker)
{
    if (state.unreportedWorkers.contains(worker.info.id))
        return state.unreportedWorkers.tasksOn(worker.info.id) != nullptr;
    return worker.info.isDraining && !worker.hasStrayRuns;
}

// Returns the tasks that may have a run on the worker and those with a completion that is not
// durable yet.
std::set<task_name> tasksOn(const scheduler_state &state, const worker_record &worker)
{
    std::set<task_name> tasks;
    if (const auto *inherited = state.unreportedWorkers.tasksOn(worker.info.id))
        tasks = *inherited;
    for (const auto &[name, run] : worker.runs)
        tasks.insert(name);
    for (const auto &[number, name] : worker.completions.unsettled())
        tasks.insert(name);
    return tasks;
}

// Adds the write or the removal of a worker's leaving record. No task is started on a worker with
// such a record until the removal is durable.
void addLeavingRecord(scheduler_state &state, const worker_id &id, commit_batch &batch)
{
    worker_record *worker = state.findWorker(id);
    const bool isLeaving = worker != nullptr && hasKnownTasks(state, *worker);
    if (worker != nullptr && !isLeaving && !worker->mayHaveLeavingRecord)
        return;
    state.committingLeaving[id] = isLeaving;
    if (!isLeaving) {
        batch.removedKeys.push_back(leavingPrefix(state) + id.value);
        return;
    }
    worker->mayHaveLeavingRecord = true;
    std::string text = fmt::format("{}\n", state.epoch);
    for (const task_name &task : tasksOn(state, *worker))
        text += toString(task) + '\n';
    batch.puts.push_back({leavingPrefix(state) + id.value, std::move(text), 0});
}

void addLeavingRecords(scheduler_state &state, commit_batch &batch)
{
    for (auto i = state.leavingDue.begin();
         i != state.leavingDue.end() && state.committingLeaving.size() < maxLeavingRecords;) {
        const bool isDue = i->second <= state.now;
        if (isDue)
            addLeavingRecord(state, i->first, batch);
        i = isDue ? state.leavingDue.erase(i) : std::next(i);
    }
}

void finishLeavingRecords(scheduler_state &state)
{
    for (const auto &[id, isLeaving] : state.committingLeaving) {
        if (worker_record *worker = state.findWorker(id)) {
            worker->mayHaveLeavingRecord = isLeaving;
            state.noteWorkerChanged(*worker);
        }
        state.isDispatchWanted = state.isDispatchWanted || !isLeaving;
    }
    state.committingLeaving.clear();
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

// Reads a leaving record. It limits the tasks that may be on the worker unless an owner after its
// writer may have started tasks: that one may be of a build that keeps no such records.
void readLeaving(scheduler_state &state, const worker_id &id, const std::string &text,
                 const earlier_authority &authority)
{
    state.scheduleLeavingRecord(id, state.now);
    if (worker_record *worker = state.findWorker(id))
        worker->mayHaveLeavingRecord = true;
    std::set<task_name> tasks;
    std::istringstream lines(text);
    std::string firstLine;
    std::getline(lines, firstLine);
    std::int64_t epoch = 0;
    const char *const end = firstLine.data() + firstLine.size();
    const auto [rest, error] = std::from_chars(firstLine.data(), end, epoch);
    const bool isEpochRead = error == std::errc() && rest == end;
    const std::int64_t lastConfirmed = authority.lastConfirmedEpochBefore(state.epoch);
    const bool isCurrent = isEpochRead && epoch >= lastConfirmed && epoch < state.epoch;
    state.logDetail("leaving_record", [&] {
        return fmt::format("worker={} epoch={} last_confirmed_epoch={} is_current={}", id.value,
                           epoch, lastConfirmed, isCurrent);
    });
    if (!isCurrent)
        return;
    for (std::string line; std::getline(lines, line);) {
        const auto task = parseTaskName(line);
        if (!task)
            return;
        tasks.insert(*task);
    }
    state.unreportedWorkers.limit(id, std::move(tasks));
}

// Keeps a finished job for queries until it expires, and resumes any other job.
void resumeJob(scheduler_state &state, job_record &job, std::int64_t unixNowMs)
{
    job.number = ++state.lastJobNumber;
    job.acceptedAt = state.now - std::chrono::milliseconds(unixNowMs - job.acceptedUnixMs);
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
    job.criticalPathsMs = computeCriticalPathsMs(job.spec);
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

bool isLeavingRecordDue(const scheduler_state &state)
{
    return std::any_of(state.leavingDue.begin(), state.leavingDue.end(),
                       [&state](const auto &entry) { return entry.second <= state.now; });
}

bool isLeavingRecordPending(const scheduler_state &state, const worker_id &id)
{
    return state.leavingDue.count(id) != 0 || state.committingLeaving.count(id) != 0;
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
    for (const auto &[id, isLeaving] : state.committingLeaving)
        state.scheduleLeavingRecord(id, state.now);
    state.committingLeaving.clear();
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
            readLeaving(state, {record.key.substr(leavingPrefix(state).size())}, record.value,
                        authority);
    }
    for (auto &[name, job] : state.jobs)
        resumeJob(state, *job, unixNowMs);
}

} // namespace crocuswind::scheduler
