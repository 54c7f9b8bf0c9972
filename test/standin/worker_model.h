/// Defines a worker as a state machine that follows the rules in batch/worker_sync.h. Its tasks
/// progress in exact steps between the times it is called at, so it runs in virtual time.
///
/// A task's speed is its throttle divided by its slowdown. The slowdown of a task t is
///
///     1 + interference * sum over the other tasks u of noise(u) * throttle(u) * cores(u) / cores
///
/// where `cores` are those of the worker and noise(u) is 0, 0.5, 1 or 1.5, chosen by a hash of the
/// job's name without a number at its end, so that jobs of one series share it. The actual run time
/// and usage of a job are its declared ones times a factor between 1 / spread and spread, chosen by
/// a hash of the whole name.
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

/// What a worker is and how its tasks behave.
struct worker_settings
{
    worker_id worker;
    resources capacity;
    worker_incarnation life = 1;
    double interference = 0.5; ///< 0 makes neighbours harmless.
    double spread = 1; ///< At least 1; 1 makes declarations exact.
    duration usageLag{5000000}; ///< Usage is measured this often and reported one period late.
    bool failsEverything = false; ///< Every task fails 50 ms after its start.
};

/// One worker.
class worker_model
{
public:
    worker_model(worker_settings settings, task_audit &audit);

    /// Handles one sync; returns the report, or the highest epoch seen if the sync's is lower.
    tl::expected<sync_report, std::int64_t> handle(instant now, const sync_request &request);

    /// Brings all tasks to \p now: ends those that are done, fail, or whose lease has expired.
    void advance(instant now);

    /// Ends everything and forgets it, under a higher incarnation.
    void restart(instant now);

    /// Stops all progress until \p until; leases go on expiring.
    void pause(instant now, instant until);

    void setFailsEverything(bool fails) { m_settings.failsEverything = fails; }
    void setInterference(double interference) { m_settings.interference = interference; }

    const worker_settings &settings() const { return m_settings; }
    instant pausedUntil() const { return m_pausedUntil; }

    /// Returns the declared sizes of the running tasks together, now and at their highest.
    const resources &committed() const { return m_committed; }
    const resources &highestCommitted() const { return m_highest; }

    /// Returns how often a start brought the commitments above the capacity (I1).
    int overcommitments() const { return m_overcommitments; }

    /// Returns how many syncs were refused for their epoch, or only reported for their sequence or
    /// basis.
    int staleEpochs() const { return m_staleEpochs; }
    int staleSyncs() const { return m_staleSyncs; }

    /// Returns how many starts were refused for their attempt.
    int refusedStarts() const { return m_refusedStarts; }

    /// Returns the slowdown of a running task in thousandths, 0 if it does not run.
    int slowdownPermille(const task_id &task) const;

private:
    struct task
    {
        shard_id shard;
        task_id id;
        resources size;
        reported_state state = reported_state::running;
        double neededMs = 0; ///< Work in all, in ms at full speed; infinite if there is no end.
        double doneMs = 0;
        int throttle = 1000;
        instant leaseEnd;
        instant failAt = instant::max();
        bool shouldFail = false; ///< Ends as failed, not as done.
        checkpoint saved;
        std::string result;
        std::optional<task_usage> measured; ///< The newest measurement, not reported yet.
        std::optional<task_usage> reported;
    };

    struct shard_view
    {
        std::int64_t epoch = 0;
        std::int64_t sequence = 0; ///< Highest applied in this epoch.
        std::map<std::int64_t, instant> answered; ///< Sequences of this epoch, with their times.
    };

    using replica_key = std::pair<job_id, int>;

    double slowdown(const task &t) const;
    double speed(const task &t) const;
    void apply(instant now, const sync_request &request, bool mayStart);
    void start(instant now, const sync_request &request, const start_command &command);
    void saveCheckpoint(task &t);
    void finish(task &t, reported_state state, task_end why, const std::string &result);
    void measureUsage(instant now);
    task *find(const task_id &id);
    sync_report report(instant now, const sync_request &request) const;

    worker_settings m_settings;
    task_audit &m_audit;
    std::map<task_id, task> m_tasks; ///< Running ones, and ended ones until they are forgotten.
    std::map<replica_key, int> m_attempts; ///< Highest attempt seen of each replica.
    std::map<shard_id, shard_view> m_shards;
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
