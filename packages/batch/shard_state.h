/// Holds the state of an owned shard and implements the state transitions of its tasks. Job records
/// change only here, so that the accounting, the queue and the segments stay consistent with them.
#ifndef CROCUSWIND_BATCH_SHARD_STATE_H
#define CROCUSWIND_BATCH_SHARD_STATE_H

#include "commit_pipeline.h"
#include "interference.h"
#include "job_queue.h"
#include "job_table.h"
#include "ownership.h"
#include "shard_core.h"
#include "worker_health.h"

#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace crocuswind {

/// Duration of the lease under which a worker runs tasks.
constexpr duration taskLease = 15s;
/// Longest time that a task can run after the last renewal was sent: a renewal may be in transit
/// for just under one lease, and the clocks of owner and worker may drift apart by 1 s.
constexpr duration maxTaskLifetimeAfterRenewal = 2 * taskLease + 1s;
/// A worker that has not answered for this long is only probed, so that its leases expire.
constexpr duration unresponsiveAfter = 3s;
/// Number of charged failures after which a task fails permanently. With the increasing retry
/// delays this takes about six minutes.
constexpr int maxFailures = 5;

/// State of one worker during an ownership.
struct worker_session
{
    worker_info info;
    bool isListed = false; ///< The latest host list contains the worker.
    instant unlistedSince; ///< When it was removed from the host list, if it is not listed.
    bool hasReported = false; ///< Has answered a sync of this epoch.
    worker_incarnation incarnationNumber = 0;
    std::int64_t sequence = 0; ///< Sequence of the last sync sent.
    std::int64_t basis = 0; ///< Sequence of the last sync answered.
    bool isInFlight = false;
    bool wantsSync = false; ///< There are commands that should not wait for the next renewal.
    instant nextSyncAt;
    /// Latest time at which this owner, or possibly a former one, may have renewed the lease.
    instant leaseSentAt;
    instant lastReportAt;
    int failures = 0; ///< Consecutive syncs without an answer.
    /// Attempts reported as running without a claim; to be stopped.
    std::vector<task_id> unclaimedTasks;
    /// Attempts reported as ended; to be forgotten once their outcome is durable.
    std::vector<task_id> endedAttempts;
    worker_health health;
    worker_load load; ///< Used to rank workers by interference.
    instant changedAt; ///< When a task was last added, removed or throttled differently.
    /// Number of claimed tasks whose start is not yet confirmed.
    std::size_t unconfirmedStarts = 0;

    bool isUnresponsive(instant now) const { return now - lastReportAt > unresponsiveAfter; }
};

/// The state of a shard that this host owns, shared by all components of the shard.
class shard_state
{
public:
    explicit shard_state(const shard_settings &given);

    /// Clears all state that belongs to an ownership.
    void clear();

    /// Starts an ownership with the content loaded from the store.
    void load(loaded_shard loaded);

    /// Replaces the list of workers by the latest host list.
    void setWorkers(const std::vector<worker_info> &workers);

    /// Adds a new job and enqueues all its tasks.
    job_entry &submit(const job_spec &spec);

    /// Removes a job whose submission is certainly not in the store.
    void drop(const job_id &job);

    /// Cancels all waiting tasks and marks the claimed ones to be stopped.
    void cancel(job_entry &job);

    /// Claims a waiting task for a worker. The caller must remove the task from the queue.
    /// \return false, with no effect, if the worker lacks the capacity.
    bool claim(job_entry &job, int replica, const worker_id &worker);

    /// Releases a claim whose attempt has certainly ended and returns the task to the waiting
    /// state; it is not placed before \p notBefore.
    void requeue(job_entry &job, int replica, instant notBefore);

    /// Moves a task to a final state.
    void finish(job_entry &job, int replica, task_state state, const std::string &result);

    /// Removes a claimed task from its worker, after a checkpoint if \p checkpointFirst.
    void remove(job_entry &job, int replica, bool checkpointFirst, const std::string &reason);

    /// Counts a failure against a task and fails it permanently at `maxFailures`.
    void chargeFailure(const task_key &task);

    /// Marks a job as changed. Returns the sequence of the commit that will contain the change.
    std::int64_t markChanged(job_entry &job, bool isUrgent);

    /// Returns true if the last change of the job is in the store.
    bool isDurable(const job_entry &job) const;

    /// Recomputes whether new tasks may be placed on the worker.
    void refreshEligibility(const worker_id &worker);

    /// Marks the start of a claimed task as confirmed.
    void confirmStart(job_entry &job, int replica);

    /// Removes a worker from quarantine.
    void endQuarantine(worker_session &session);

    /// Quarantines a failing worker unless too many workers are quarantined already.
    void quarantineIfFailing(worker_session &session);

    /// Moves tasks whose retry delay has passed into the queue.
    void releaseDelayed();

    /// Releases the claims on workers whose leases have certainly expired.
    void expireUnresponsiveWorkers();

    void log(std::string text) { actions.push_back(shard_log{std::move(text)}); }

    shard_settings settings;
    instant now;
    std::vector<shard_action> actions;
    ownership owner;
    commit_pipeline pipeline;
    job_table jobs;
    job_queue queue;
    resource_accounting accounting;
    std::unique_ptr<interference_policy> policy;
    std::map<worker_id, worker_session> sessions;
    std::set<worker_id> quarantined;
    /// Waiting tasks whose retry delay has not passed yet.
    std::set<std::pair<instant, task_key>> delayed;
    bool hasHostList = false;
    bool isDraining = false;
    instant tookOverAt;
    std::uint64_t queueRevision = 0; ///< Increases whenever a task enters the queue.

private:
    void restoreClaim(job_entry &job, int replica);
    void enqueue(job_entry &job, int replica, instant notBefore);
    void unqueue(job_entry &job, int replica);
    void releaseClaim(job_entry &job, int replica);
    void updateLoad(const job_entry &job, const worker_id &worker, bool isRelease);
    void reduceOvercommitment(const worker_id &worker);
};

} // namespace crocuswind

#endif
