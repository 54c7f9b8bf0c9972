/// Defines a model of a worker that follows the protocol in batch/worker_sync.h. The caller passes
/// the current time to each function, and the progress of the tasks in between is computed exactly,
/// so tests can run the worker in virtual time.
///
/// A task's speed is its throttle divided by its slowdown. The slowdown of a task t is
///
///     1 + interference * sum over the other tasks u of noise(u) * throttle(u) * cores(u) / cores
///
/// where `cores` without an argument is the number of processors of the worker. noise(u) is 0, 0.5,
/// 1 or 1.5, selected by a hash of the job's name without its trailing digits, so that all jobs of
/// a series have the same noise. The actual run time and usage of a job are the declared values
/// multiplied by a factor between 1 / spread and spread, selected by a hash of the full name. Usage
/// never exceeds the declared size.
#ifndef CROCUSWIND_STANDIN_WORKER_MODEL_H
#define CROCUSWIND_STANDIN_WORKER_MODEL_H

#include "base/base.h"
#include "batch/batch.h"
#include "task_audit.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <tl/expected.hpp>

namespace crocuswind::standin {

/// The capacity of a worker and the behaviour of its tasks.
struct worker_settings
{
    worker_id worker;
    resources capacity;
    worker_incarnation incarnationNumber = 1;
    double interference = 0.5; ///< Strength of the slowdown by neighbours; 0 for none.
    double spread = 1; ///< At least 1; with 1, declarations are exact.
    duration usageLag{5000000}; ///< Measurement period; reports lag by one period.
    bool failsEverything = false; ///< Makes every task fail 50 ms after its start.
};

/// Simulates one worker, and counts overcommitments and stale commands.
class worker_model
{
public:
    worker_model(worker_settings settings, task_audit &audit);

    /// Handles a sync request and returns the report. If the epoch of the request is stale, nothing
    /// is applied and the highest epoch seen is returned as the error.
    tl::expected<sync_report, std::int64_t> handle(instant now, const sync_request &request);

    /// Advances all tasks to \p now. Tasks that finish or fail, or whose lease expires, end.
    void advance(instant now);

    /// Simulates a restart: ends all tasks, discards all state and increments the incarnation.
    void restart(instant now);

    /// Suspends the progress of all tasks until \p until. Leases continue to expire.
    void pause(instant now, instant until);

    void setFailsEverything(bool fails) { m_settings.failsEverything = fails; }
    void setInterference(double interference) { m_settings.interference = interference; }

    const worker_settings &settings() const { return m_settings; }
    instant pausedUntil() const { return m_pausedUntil; }

    /// Returns the sum of the declared sizes of the running tasks: the current value, and the
    /// maximum of each resource so far.
    const resources &committed() const { return m_committed; }
    const resources &highestCommitted() const { return m_highest; }

    /// Returns how many starts raised the committed resources above the capacity, which violates
    /// invariant I1.
    int overcommitments() const { return m_overcommitments; }

    /// Returns how many syncs were refused because of a stale epoch.
    int staleEpochs() const { return m_staleEpochs; }

    /// Returns how many syncs had a stale sequence number or basis. Such a sync is answered with a
    /// report, but it neither starts tasks nor renews leases. A sync without starts and with basis
    /// 0, as after a change of the owner, has no basis to be stale.
    int staleSyncs() const { return m_staleSyncs; }

    /// Returns how many starts were refused because their attempt was not above the highest one
    /// seen for the replica.
    int refusedStarts() const { return m_refusedStarts; }

    /// Returns the slowdown of a running task in thousandths, or 0 if the task is not running.
    int slowdownPermille(const task_id &task) const;

private:
    struct task
    {
        shard_id shard;
        task_id id;
        resources size;
        reported_state state = reported_state::running;
        double neededMs = 0; ///< Total work in ms at full speed; infinite if continuous.
        double doneMs = 0; ///< Completed work in ms at full speed.
        int throttle = 1000; ///< Permitted speed in thousandths.
        instant leaseEnd;
        instant failAt = instant::max();
        bool shouldFail = false; ///< The task fails when its work is complete.
        checkpoint newestCheckpoint;
        std::string result;
        std::optional<task_usage> measured; ///< Latest measurement, not yet reported.
        std::optional<task_usage> reported;
    };

    /// What the worker remembers of the syncs of one shard.
    struct shard_sync_state
    {
        std::int64_t epoch = 0;
        std::int64_t sequence = 0; ///< Highest sequence number applied in this epoch.
        std::map<std::int64_t, instant> answered; ///< Receipt time by sequence number.
    };

    using replica_key = std::pair<job_id, int>;

    double slowdown(const task &t) const;
    double speed(const task &t) const;
    void apply(instant now, const sync_request &request, bool mayStart);
    void start(instant now, const sync_request &request, const start_command &command);
    void saveCheckpoint(task &t);
    void finish(task &t, reported_state state, task_completion_reason why,
                const std::string &result);
    void measureUsage(instant now);
    task *find(const task_id &id);
    sync_report report(instant now, const sync_request &request) const;

    worker_settings m_settings;
    task_audit &m_audit;
    std::map<task_id, task> m_tasks; ///< Ended tasks stay until the owner forgets them.
    std::map<replica_key, int> m_attempts; ///< Highest attempt seen for each replica.
    std::map<shard_id, shard_sync_state> m_shards;
    instant m_now;
    instant m_pausedUntil = instant::min();
    instant m_measuredAt = instant::min();
    instant m_reportedAt = instant::min();
    resources m_committed;
    resources m_highest;
    int m_overcommitments = 0;
    int m_staleEpochs = 0;
    int m_staleSyncs = 0;
    int m_refusedStarts = 0;
};

} // namespace crocuswind::standin

#endif
