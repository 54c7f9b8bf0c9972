/// Defines the state that the components of the scheduler share. Private to the package.
#ifndef CROCUSWIND_SCHEDULER_SCHEDULER_STATE_H
#define CROCUSWIND_SCHEDULER_SCHEDULER_STATE_H

#include "former_list.h"
#include "interference_model.h"
#include "overload_control.h"
#include "poll_duties.h"
#include "scheduler_core.h"
#include "start_window.h"
#include "unreported_workers.h"
#include "worker_list.h"

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <queue>
#include <set>
#include <unordered_map>
#include <utility>
#include <vector>

namespace crocuswind::scheduler {

class worker_chooser;

/// A completion that may be acknowledged to its worker once the job's progress is durable.
struct pending_completion
{
    worker_id worker;
    std::int64_t incarnationStartUnixMs
        = 0; ///< Identifies the incarnation that reported the completion.
    std::int64_t number = 0;
};

/// Calls and completions that wait until the next record of a job is durable.
struct job_waiters
{
    std::vector<call_token> submissions;
    std::vector<call_token> cancellations;
    std::vector<pending_completion> completions;
};

/// A step that has tasks waiting to start.
struct ready_step
{
    job_record *job = nullptr;
    int occurrence = 0;
    int step = 0;
    bool hasNoWorker = false; ///< The last dispatch pass found no worker for a task of it.
};

/// Room on a worker that is kept for a task, see room_claims.h.
struct room_claim
{
    worker_id worker;
    resources size;
    instant keptUntil; ///< The room is given up then.
};

/// The complete state of the owner of the jobs. The components are free functions that operate on
/// it.
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
    /// All input that arrived before this time has been handled. It is the time of the tick before
    /// the last one.
    instant inputHandledUntil;

    bool isOwner = false;
    bool isDeposed = false; ///< A worker has seen a higher epoch.
    bool isHandingOver = false; ///< No call is accepted; tasks still start, and commits continue.
    instant handoverFlushUntil; ///< Most changes not stored by then are left to the successor.
    std::int64_t epoch = 0;
    instant tookOverAt; ///< Start of the ownership.
    std::int64_t unixOffsetMs = 0; ///< Unix time minus `now`, in milliseconds.
    /// No lease of a worker may extend beyond this time. It is instant() before the store has
    /// confirmed this ownership.
    instant authorityUntil;

    bool isStoreAvailable = true;
    /// Since when the store may have accepted nothing. Meaningful only while it is not available.
    instant storeSilentSince;
    instant exclusiveUntil; ///< No other host can own the jobs before this time.

    std::map<queue_id, queue_policy> queues;
    bool areQueuesKnown = false; ///< This host has read a configuration.
    /// No task is started there. Kept when the ownership changes, like the queues.
    std::set<data_centre_id> evacuatedDataCentres;
    std::unordered_map<job_name, std::unique_ptr<job_record>> jobs;
    /// Superset of the jobs of which no task has started. Other jobs are removed when the waiting
    /// jobs are counted.
    std::set<job_name> unstartedJobs;
    std::int64_t lastJobNumber = 0;
    std::map<worker_id, worker_record> workers;
    std::shared_ptr<worker_chooser> chooser; ///< Must be discarded before a worker is removed.
    std::vector<worker_record *> changedWorkers; ///< Changed since the last refresh of `chooser`.
    instant workersAsOf; ///< All changes that service discovery accepted before it are known.
    bool areStartsHeld = false; ///< No task is started because the list of workers is too old.
    unreported_workers unreportedWorkers;
    former_list formerList; ///< As this owner found it in the store.

    /// Times of polls with their workers, the earliest first. An entry counts only if it is the
    /// worker's present `nextPollAt`.
    std::priority_queue<poll_time, std::vector<poll_time>, std::greater<poll_time>> pollQueue;
    poll_duties pollDuties;
    instant nextPollScanAt; ///< No worker is due for a poll before this time.
    instant nextReviewAt; ///< Next check for unanswered stops and lapsed leases.
    instant nextPruneAt; ///< Next removal of workers that have left.
    instant nextWaitReportAt; ///< Next report of jobs that wait without a run.
    instant nextAbsenceReportAt; ///< Next report of continuous tasks that do not run.
    /// Stop commands and when each is sent again unless it has been answered. Answered ones may
    /// remain and are skipped.
    std::deque<std::pair<instant, task_name>> stopsToResend;

    // Commits.
    std::deque<job_name> dirtyJobs; ///< In the order in which they became dirty.
    std::unordered_map<job_name, job_waiters> waiters; ///< For each dirty job.
    std::vector<std::pair<job_name, job_waiters>> committing; ///< Jobs in the batch in flight.
    bool isCommitting = false;
    bool isWorkerListDirty = false;
    instant nextSilentListAt; ///< When the list is stored again while a worker is silent.
    /// Workers whose leaving record (the tasks that may be on a leaving worker) has to be written
    /// or removed, and when.
    std::map<worker_id, instant> leavingDue;
    instant nextModelAt; ///< Earliest time of the next write of the interference model.
    std::string storedModel; ///< The interference model as last written.
    std::optional<worker_list> committingWorkers; ///< In the batch in flight.
    /// Workers whose leaving record is written (true) or removed (false) by the batch in flight.
    std::map<worker_id, bool> committingLeaving;
    instant nextCommitAt;
    instant nextConfirmAt; ///< When the next commit confirms the ownership.
    std::deque<std::pair<instant, job_name>> expiringJobs; ///< Ended jobs and when to delete them.

    /// Kept when the ownership changes, because images behave alike on all workers.
    interference_model interference;
    /// Likewise kept, because a queue's jobs go on as they were.
    std::map<queue_id, policy::run_time_model> runTimes;
    instant nextPathUpdateAt; ///< Next update of the critical paths of jobs.
    std::vector<interfering_share> shares; ///< Reusable buffer for the shares of one worker.

    // Dispatch.
    bool isDispatchWanted = false;
    instant nextDispatchAt;
    bool isUtilisationLow = false; ///< As of the last look at all workers.
    instant nextUtilisationAt; ///< When a pass looks at all workers again.
    std::int64_t startsInFlight = 0; ///< Start commands without a result.
    start_window startWindow;
    std::vector<ready_step> ready; ///< Superset of the steps with waiting tasks.
    /// Learned by this ownership.
    std::map<room_kind, room_load> roomLoads;
    load_refusals loadRefusals; ///< By this owner.
    instant nextTriageAt; ///< Next choice of jobs that are given up for now.
    std::map<task_name, room_claim> claims; ///< By the task for which the room is kept.
    instant nextEvacuationAt; ///< Next search of places for tasks on leaving workers.
    std::set<task_name> yieldingTasks; ///< Tasks whose current run yields to all others.
    /// When the next occurrence of each job is due. An entry counts only if it is the due time of
    /// the job's `nextOccurrence`.
    std::multimap<instant, job_name> dueOccurrences;

    scheduler_counters counters;

    /// Records that the free resources, the interference budgets or the eligibility of the worker
    /// have changed.
    void noteWorkerChanged(worker_record &worker);
    /// Discards the chooser, which is built anew when it is needed.
    void discardChooser();
    /// Removes a worker. Returns the position behind it.
    std::map<worker_id, worker_record>::iterator
    removeWorker(std::map<worker_id, worker_record>::iterator worker);

    /// Schedules an update of the worker's leaving record after its set of possible runs has
    /// changed. Does nothing for workers that are not leaving and have no such record.
    void noteRunsChanged(const worker_record &worker);
    /// Schedules the write of a worker's leaving record at \p when, or its removal if the worker is
    /// not leaving by then.
    void scheduleLeavingRecord(const worker_id &id, instant when);

    /// Writes a line on a single task or command. \p makeFields formats the text and is called only
    /// if the log has capacity for the line: of a thousand such lines a second, a full log drops
    /// most.
    template <class function>
    void logDetail(const char *event, function makeFields)
    {
        if (ports.shouldLogDetail())
            ports.logDetail(event, makeFields());
    }

    /// Sets the time of the worker's next poll.
    void schedulePoll(worker_record &worker, instant when);
    /// Schedules the worker's next poll at \p when, or keeps the scheduled time if it is earlier.
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
