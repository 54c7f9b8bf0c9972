/// Defines the state that the parts of the scheduler share. Private to the package.
#ifndef CROCUSWIND_SCHEDULER_SCHEDULER_STATE_H
#define CROCUSWIND_SCHEDULER_SCHEDULER_STATE_H

#include "interference_model.h"
#include "scheduler_core.h"
#include "unreported_workers.h"

#include <deque>
#include <map>
#include <memory>
#include <set>
#include <unordered_map>
#include <utility>
#include <vector>

namespace crocuswind::scheduler {

/// An end of a worker that may be acknowledged once the job's progress is durable.
struct pending_end
{
    worker_id worker;
    std::int64_t bornUnixMs = 0; ///< The incarnation that listed it.
    std::int64_t number = 0;
};

/// What waits for the next durable record of a job.
struct job_waiters
{
    std::vector<call_token> submissions;
    std::vector<call_token> cancellations;
    std::vector<pending_end> ends;
};

/// A step of which tasks wait to start.
struct ready_step
{
    job_record *job = nullptr;
    int occurrence = 0;
    int step = 0;
};

/// Everything that the owner of the jobs knows. The parts are free functions on it.
struct scheduler_state
{
    scheduler_state(scheduler_settings s, scheduler_ports &p)
        : settings(std::move(s))
        , ports(p)
    { }

    scheduler_settings settings;
    scheduler_ports &ports;
    instant now;
    instant lastTickAt;
    instant inputReadUntil; ///< What has arrived before is handled: the tick before the last one.

    bool isOwner = false;
    bool isDeposed = false; ///< A worker has seen a higher epoch.
    bool isHandingOver = false; ///< Nothing new is begun; commits are finished.
    std::int64_t epoch = 0;
    instant tookOverAt; ///< When the ownership began.
    std::int64_t unixOffsetMs = 0; ///< Unix time less the time of `now`, in milliseconds.
    instant authorityUntil; ///< Leases of workers never reach beyond it.

    bool isStoreAvailable = true;
    instant soleUntil; ///< Before, there is no other owner.

    std::map<queue_id, queue_policy> queues;
    std::unordered_map<job_name, std::unique_ptr<job_record>> jobs;
    /// Jobs that may not have begun; may hold others, which are left out when they are counted.
    std::set<job_name> unbegunJobs;
    std::int64_t lastJobNumber = 0;
    std::map<worker_id, worker_record> workers;
    instant workersAsOf; ///< All that service discovery had accepted before is known.
    bool areStartsHeld = false; ///< The list of workers is too old to start anything by it.
    unreported_workers unreportedWorkers;

    instant nextPollScanAt; ///< No worker is due for a poll before.
    instant nextReviewAt; ///< Of stops without an answer and leases.
    instant nextPruneAt; ///< Of workers that have left.
    /// When stops are sent again that have no answer by then; may hold stops that were answered.
    std::deque<std::pair<instant, task_name>> stopsToRepeat;

    // Commits.
    std::deque<job_name> dirtyJobs; ///< In the order in which they became dirty.
    std::unordered_map<job_name, job_waiters> waiters; ///< Of dirty jobs.
    std::vector<std::pair<job_name, job_waiters>> committing; ///< In the batch under way.
    bool isCommitting = false;
    bool isWorkerListDirty = false;
    /// Workers whose record of what may be there is to be written or removed, and when.
    std::map<worker_id, instant> leavingDue;
    instant nextModelAt; ///< When the interference model may be written next.
    std::string storedModel; ///< As written last.
    /// In the list of the batch under way, with their addresses.
    std::vector<std::pair<worker_id, std::string>> committingWorkers;
    /// Leaving workers of which the batch under way writes the record (true) or removes it.
    std::map<worker_id, bool> committingLeaving;
    instant nextCommitAt;
    std::deque<std::pair<instant, job_name>> expiring; ///< When ended jobs are forgotten.

    interference_model
        interference; ///< Kept over changes of the owner: images behave alike everywhere.
    std::vector<interfering_share> shares; ///< Space for those of one worker.

    // Dispatch.
    bool isDispatchWanted = false;
    instant nextDispatchAt;
    std::vector<ready_step> ready; ///< Steps with waiting tasks; may hold steps without.
    std::multimap<instant, std::pair<job_name, int>> dueOccurrences;

    scheduler_counters counters;

    /// What may be on the worker has changed. Matters for leaving workers only.
    void noteRunsChanged(const worker_record &worker);
    /// Has the record of a leaving worker written, or removed if it is none, at \p when.
    void scheduleLeavingRecord(const worker_id &id, instant when);

    /// Writes a line on a single task or order. \p makeFields returns its text and is called only
    /// if the log has room: a full log drops most of a thousand such lines a second.
    template <class function>
    void logDetail(const char *event, function makeFields)
    {
        if (ports.wantsDetail())
            ports.logDetail(event, makeFields());
    }

    /// Sets when the worker is polled next.
    void schedulePoll(worker_record &worker, instant when);
    /// Has the worker polled at \p when at the latest.
    void bringPollForward(worker_record &worker, instant when);

    /// Returns the job, or null.
    job_record *findJob(const job_name &name);
    /// Returns the task, or null.
    task_state *findTask(const task_name &name);
    /// Returns the worker, or null.
    worker_record *findWorker(const worker_id &id);
};

} // namespace crocuswind::scheduler

#endif
