/// Holds the state of an owned shard and the transitions of its tasks. The records of jobs change
/// only here, so that the book, the queue and the segments always agree with them.
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

/// The lease under which a worker runs tasks.
constexpr duration taskLease = 15s;
/// The longest that a task can outlive the last renewal sent: a renewal may be in the network for
/// just under one lease, and the clocks of owner and worker may drift by 1 s in that time.
constexpr duration taskLifeAfterRenewal = 2 * taskLease + 1s;
/// A worker that has not answered for this long is only probed, so that its leases run out.
constexpr duration silentAfter = 3s;
/// Failures that are charged to a task before it fails for good. With the growing delays between
/// the attempts this takes about six minutes.
constexpr int maxFailures = 5;

/// What the owner knows about one worker during its ownership.
struct worker_session
{
    worker_info info;
    bool isListed = false; ///< Named by the latest host list.
    instant unlistedSince; ///< Otherwise, since when it is not.
    bool isContacted = false; ///< Has answered a sync of this epoch.
    worker_incarnation incarnationNumber = 0;
    std::int64_t sequence = 0; ///< Of the last sync sent.
    std::int64_t basis = 0; ///< Of the last sync answered.
    bool isInFlight = false;
    bool wantsSync = false; ///< There are commands that should not wait for the next renewal.
    instant nextSyncAt;
    instant leaseSentAt; ///< When a lease was last renewed, by this owner or possibly a former one.
    instant lastHeardAt;
    int failures = 0; ///< Syncs in a row without an answer.
    std::vector<task_id> strays; ///< Reported as running without a claim; to be stopped.
    std::vector<task_id> ended; ///< Reported as ended; to be forgotten once that is durable.
    worker_health health;
    worker_load load; ///< For ranking by interference.
    instant changedAt; ///< When a task last came, left or changed its throttle.
    std::size_t unproven = 0; ///< Claimed tasks that have not yet been seen to start well.

    bool isSilent(instant now) const { return now - lastHeardAt > silentAfter; }
};

/// The state of a shard that this host owns, and what all parts of the shard share.
class shard_state
{
public:
    explicit shard_state(const shard_settings &given);

    /// Drops everything that belongs to an ownership.
    void clear();

    /// Takes over what was loaded from the store.
    void load(loaded_shard loaded);

    /// Replaces the listed workers.
    void setWorkers(const std::vector<worker_info> &workers);

    /// Adds a new job; all its tasks wait.
    job_entry &submit(const job_spec &spec);

    /// Removes a job whose submission surely is not in the store.
    void drop(const job_id &job);

    /// Cancels all tasks that run nowhere, and marks the others to be stopped.
    void cancel(job_entry &job);

    /// Claims a waiting task for a worker; it must not be in the queue afterwards.
    /// \return false, with no effect, if the worker has no room.
    bool claim(job_entry &job, int replica, const worker_id &worker);

    /// Ends a claim whose attempt has provably ended; the task waits again, not before \p
    /// notBefore.
    void giveBack(job_entry &job, int replica, instant notBefore);

    /// Ends a task for good.
    void finish(job_entry &job, int replica, task_state state, const std::string &result);

    /// Takes a claimed task off its worker, after a checkpoint if \p saveFirst.
    void remove(job_entry &job, int replica, bool saveFirst, const std::string &reason);

    /// Charges one failure to a task and fails it for good after too many.
    void charge(const task_key &task);

    /// Marks a job as changed.
    std::int64_t touch(job_entry &job, bool isUrgent);

    /// Returns true if the last change of the job is in the store.
    bool isDurable(const job_entry &job) const;

    /// Recomputes whether new tasks may be placed on the worker.
    void refreshEligibility(const worker_id &worker);

    /// Notes that a claimed task has started well.
    void setProven(job_entry &job, int replica);

    /// Brings a worker back that was put aside.
    void endAside(worker_session &session);

    /// Puts a failing worker aside, unless too many already are.
    void putAsideIfFailing(worker_session &session);

    /// Moves tasks whose delay is over into the queue.
    void releaseDelayed();

    /// Ends the claims of workers whose tasks have provably ended because their leases ran out.
    void expireSilentWorkers();

    void log(std::string text) { actions.push_back(shard_log{std::move(text)}); }

    shard_settings settings;
    instant now;
    std::vector<shard_action> actions;
    ownership owner;
    commit_pipeline pipeline;
    job_table jobs;
    job_queue queue;
    commitment_book book;
    std::unique_ptr<interference_policy> policy;
    std::map<worker_id, worker_session> sessions;
    std::set<worker_id> aside; ///< Workers that are put aside.
    std::set<std::pair<instant, task_key>> delayed; ///< Waiting tasks that are not yet queued.
    bool hasHostList = false;
    bool isDraining = false;
    instant tookOverAt;
    std::uint64_t queueRevision = 0; ///< Increases when a task enters the queue.

private:
    void restoreClaim(job_entry &job, int replica);
    void enqueue(job_entry &job, int replica, instant notBefore);
    void unqueue(job_entry &job, int replica);
    void endClaim(job_entry &job, int replica);
    void noteLoad(const job_entry &job, const worker_id &worker, bool isRelease);
    void reduceOvercommitment(const worker_id &worker);
};

} // namespace crocuswind

#endif
