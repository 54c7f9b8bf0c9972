/// Defines the scheduler of jobs as a state machine without I/O. Every event carries its time; what
/// is to be done goes to the ports.
#ifndef CROCUSWIND_SCHEDULER_SCHEDULER_CORE_H
#define CROCUSWIND_SCHEDULER_SCHEDULER_CORE_H

#include "job_calls.h"
#include "scheduler_ports.h"

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace crocuswind::scheduler {

/// Fixed facts of the scheduler. The durations are bounds of the platform or rates of our own.
struct scheduler_settings
{
    std::string keyPrefix = "cw/"; ///< All keys of the scheduler in the store begin with it.
    /// How long a worker runs on without hearing from us. Its runs outlive an owner that is
    /// replaced only after a short store outage. Not longer: a lasting task is to run elsewhere 9 s
    /// after its worker was lost, and its lease has to lapse first.
    duration workerLease = 6s;
    duration longestLease = 10s; ///< Workers shorten any lease to this.
    duration keepEndedJobs = 150s; ///< How long an ended job can be queried.
    /// Nothing is started by an older list of workers: some may have announced their leave. A
    /// worker gives notice at least 2 s ahead, and an order takes up to 0.8 s.
    duration longestWorkersAge = 1200ms;
    duration earlyLimit = 100ms; ///< An occurrence may be released this long before its time.
};

/// Counters since the start, and gauges.
struct scheduler_counters
{
    std::int64_t accepted = 0;
    std::int64_t refused = 0;
    std::int64_t starts = 0;
    std::int64_t startsUnanswered = 0;
    std::int64_t startsRejected = 0;
    std::int64_t stops = 0;
    std::int64_t polls = 0;
    std::int64_t paces = 0;
    std::int64_t commits = 0;
    std::int64_t workersExamined = 0; ///< When choosing workers for tasks.
    std::int64_t endsDone = 0;
    std::int64_t endsFailed = 0;
    std::int64_t runsLost = 0; ///< Runs that ended without a listed end.
    std::int64_t jobsKnown = 0; ///< Gauge.
    std::int64_t tasksWaiting = 0; ///< Gauge, as of the last dispatch.
    std::int64_t jobsUncommitted = 0; ///< Gauge: jobs with changes that are not durable yet.
    std::int64_t workersUnreported = 0; ///< Gauge: workers that hold back tasks taken over.
};

/// A record of the store, as read when the jobs are taken over.
struct stored_record
{
    std::string key;
    std::string value;
};

/// Schedules all jobs while this host owns them. Times must not decrease.
class scheduler_core
{
public:
    scheduler_core(scheduler_settings settings, scheduler_ports &ports);
    ~scheduler_core();
    scheduler_core(const scheduler_core &) = delete;
    scheduler_core &operator=(const scheduler_core &) = delete;

    /// Takes over all jobs under \p epoch. \p records are all keys with the settings' prefix.
    /// \p unixNowMs relates due times to \p now. Leases granted by earlier owners lapse by
    /// \p inheritedUntil at the latest.
    void takeOver(instant now, std::int64_t unixNowMs, std::int64_t epoch,
                  const std::vector<stored_record> &records, instant inheritedUntil);

    /// Forgets everything: another host owns the jobs. Calls under way are answered `not_owner`.
    void giveUp(instant now);

    /// Begins nothing new; true once nothing waits to become durable.
    bool prepareHandover(instant now);

    /// Leases may be granted until \p authorityUntil; before \p soleUntil there is no other owner.
    /// Both increase while the ownership is confirmed.
    void setAuthority(instant now, instant authorityUntil, instant soleUntil);

    /// The store answers, or does not. While it does not, new jobs are refused at once, and those
    /// that were not sent to it yet as well.
    void setStoreAvailable(instant now, bool isAvailable);

    /// Replaces the policies of all queues.
    void setQueues(instant now, const std::vector<queue_policy> &queues);

    /// Service discovery has this worker, as new or changed.
    void onWorker(instant now, const worker_info &info);

    /// Service discovery does not have this worker any more.
    void onWorkerGone(instant now, const worker_id &worker);

    /// What service discovery has told holds all changes that it had accepted before \p asOf. While
    /// that is longer ago than `longestWorkersAge` and the store answers, nothing is started.
    void onWorkersCurrent(instant now, instant asOf);

    /// Handles a call; the answer goes to the ports, at once or later.
    void call(instant now, std::int64_t unixNowMs, const job_call &call);

    void onStartResult(instant now, const start_order &order, const order_result &result);
    void onStopResult(instant now, const stop_order &order, const order_result &result);
    void onPaceResult(instant now, const pace_order &order, const order_result &result);
    void onPollResult(instant now, const poll_order &order, const poll_result &result);

    /// The batch under way is durable.
    void onCommitted(instant now);
    /// The store refused the batch, which surely had no effect.
    void onCommitRefused(instant now);

    /// Does what is due. To be called at nextWake() at the latest, and only after all input that
    /// had arrived before the last call: leases are judged by the time up to which input was
    /// handled.
    void tick(instant now, std::int64_t unixNowMs);

    /// Returns when tick() is wanted next.
    instant nextWake() const;

    /// Returns true while this host owns the jobs.
    bool isOwner() const;

    /// Returns up to when the changes of service discovery are known.
    instant workersAsOf() const;

    const scheduler_counters &counters() const;

private:
    struct implementation;
    std::unique_ptr<implementation> m_implementation;
};

} // namespace crocuswind::scheduler

#endif
