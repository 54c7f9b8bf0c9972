/// Defines the job scheduler as a state machine without I/O. Every event carries its time, and
/// every action is issued through scheduler_ports.
#ifndef CROCUSWIND_SCHEDULER_SCHEDULER_CORE_H
#define CROCUSWIND_SCHEDULER_SCHEDULER_CORE_H

#include "earlier_authority.h"
#include "job_calls.h"
#include "scheduler_ports.h"

#include <cstdint>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace crocuswind::scheduler {

/// Constants of the scheduler. The durations are limits of the platform or intervals of the
/// scheduler itself.
struct scheduler_settings
{
    std::string keyPrefix = "cw/"; ///< Prefix of all keys of the scheduler in the store.
    /// How long a worker keeps its runs without a lease renewal from the owner. Long enough that
    /// the runs survive an owner that is replaced after a short store outage. Not longer, because
    /// a continuous task must run on another worker within 9 s of the loss of its worker, and the
    /// lease has to lapse first.
    duration workerLease = 6s;
    /// Interval at which the owner confirms its ownership by a commit, an empty one if there is
    /// nothing to store.
    duration confirmInterval = 500ms;
    duration longestLease = 10s; ///< Workers truncate longer leases to this.
    duration keepEndedJobs = 150s; ///< How long a job can be queried after its end.
    /// Maximum age of the list of workers for starting tasks. Workers in an older list may have
    /// announced that they leave. A worker announces that at least 2 s ahead, and a command takes
    /// up to 0.8 s.
    duration longestWorkersAge = 1200ms;
    duration earlyLimit = 100ms; ///< An occurrence may be released this long before its due time.
};

/// Counters since the start of the process, and gauges.
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
    std::int64_t workersExamined = 0; ///< Candidates evaluated when choosing workers for tasks.
    std::int64_t completionsDone = 0;
    std::int64_t completionsFailed = 0;
    std::int64_t runsLost = 0; ///< Runs that disappeared without a completion report.
    std::int64_t servingOverTargetMs = 0; ///< Task-milliseconds of serving tasks over their target.
    std::int64_t forecastsUsable = 0; ///< Gauge: steps whose load forecast is used.
    double forecastError = 0; ///< Gauge: mean over these steps, as a utilisation.
    std::int64_t jobsKnown = 0; ///< Gauge.
    std::int64_t evacuatedDataCentres = 0; ///< Gauge.
    std::int64_t tasksWaiting = 0; ///< Gauge, as of the last dispatch.
    std::int64_t jobsUncommitted = 0; ///< Gauge: jobs with changes that are not durable yet.
                                      /// Gauge: workers without a report since the takeover, whose
                                      /// possible tasks must not start.
    std::int64_t workersUnreported = 0;
};

/// A key and its value in the store, as read during a takeover.
struct stored_record
{
    std::string key;
    std::string value;
};

/// Schedules all jobs while this host owns them. The `now` of successive calls must not decrease.
class scheduler_core
{
public:
    scheduler_core(scheduler_settings settings, scheduler_ports &ports);
    ~scheduler_core();
    scheduler_core(const scheduler_core &) = delete;
    scheduler_core &operator=(const scheduler_core &) = delete;

    /// Takes over all jobs under \p epoch. \p records are all entries of the store with the
    /// settings' key prefix. \p unixNowMs is the Unix time at \p now and converts due times. Leases
    /// granted by earlier owners lapse by the end of their \p authority.
    void takeOver(instant now, std::int64_t unixNowMs, std::int64_t epoch,
                  const std::vector<stored_record> &records, const earlier_authority &authority);

    /// Discards the state of all jobs and workers because another host owns the jobs. Pending calls
    /// are answered with `not_owner`.
    void giveUp(instant now);

    /// Stops accepting calls and starting tasks. Returns true once all changes are durable.
    bool prepareHandover(instant now);

    /// Sets the end of this host's authority: leases of workers may extend to \p authorityUntil,
    /// and no other host can own the jobs before \p exclusiveUntil. Both increase each time the
    /// store confirms the ownership; before the first time \p authorityUntil is instant().
    void setAuthority(instant now, instant authorityUntil, instant exclusiveUntil);

    /// Sets whether the store answers. While it does not, new jobs are refused at once; jobs that
    /// were not sent to the store yet are refused too.
    void setStoreAvailable(instant now, bool isAvailable);

    /// Replaces the policies of all queues.
    void setQueues(instant now, const std::vector<queue_policy> &queues);

    /// Replaces the set of evacuated data centres: no task is started on their workers, and
    /// continuous tasks leave them as far as other workers have room. Call it before the first
    /// setQueues(), because a new owner starts inherited tasks as soon as it knows their queues.
    void setEvacuatedDataCentres(instant now, const std::set<data_centre_id> &dataCentres);

    /// Service discovery has added or changed this worker.
    void onWorker(instant now, const worker_info &info);

    /// Service discovery has removed this worker.
    void onWorkerGone(instant now, const worker_id &worker);

    /// Service discovery has delivered all changes that it accepted before \p asOf. While \p asOf
    /// is older than `longestWorkersAge` and the store answers, no task is started.
    void onWorkersSynchronized(instant now, instant asOf);

    /// Handles a call. The reply goes to scheduler_ports::answer(), immediately or after a commit.
    void call(instant now, std::int64_t unixNowMs, const job_call &call);

    void onStartResult(instant now, const start_command &command, const command_result &result);
    void onStopResult(instant now, const stop_command &command, const command_result &result);
    void onPaceResult(instant now, const pace_command &command, const command_result &result);
    void onPollResult(instant now, const poll_command &command, const poll_result &result);

    /// The batch in flight is durable.
    void onCommitted(instant now);
    /// The store refused the batch in flight, which certainly had no effect.
    void onCommitRefused(instant now);

    /// Performs the work that is due. Call it at nextWake() at the latest, and only after all input
    /// that arrived before the previous call has been handled: the expiry of leases is checked
    /// against the time up to which input has been handled.
    void tick(instant now, std::int64_t unixNowMs);

    /// Returns the time at which tick() must be called next.
    instant nextWake() const;

    /// Returns true while this host owns the jobs.
    bool isOwner() const;

    /// Returns the time up to which all changes of service discovery are known.
    instant workersAsOf() const;

    const scheduler_counters &counters() const;

private:
    struct implementation;
    std::unique_ptr<implementation> m_implementation;
};

} // namespace crocuswind::scheduler

#endif
