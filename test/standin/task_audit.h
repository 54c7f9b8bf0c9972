/// Defines the audit that all stand-in workers share. It records the runs of all workers and checks
/// the invariants of batch jobs, which no single part of the scheduler can observe.
#ifndef CROCUSWIND_STANDIN_TASK_AUDIT_H
#define CROCUSWIND_STANDIN_TASK_AUDIT_H

#include "batch/batch.h"

#include <cstdint>
#include <map>
#include <nlohmann/json.hpp>
#include <string>
#include <utility>

namespace crocuswind::standin {

/// The counters of one replica of a job, over all workers and attempts.
struct task_history
{
    int starts = 0;
    int running = 0;
    int highestRunning = 0; ///< More than 1 violates I2: concurrent attempts.
    int done = 0; ///< More than 1 means that it was completed twice.
    int failed = 0;
    int stopped = 0;
    int leaseExpired = 0;
    int lostInRestart = 0;
    int highestAttempt = 0;
    int staleAttempts = 0; ///< Starts whose attempt was not above all earlier ones.
    std::int64_t lastCheckpoint = 0; ///< Highest checkpoint number saved.
    int resumesBelowCheckpoint = 0; ///< Starts from a checkpoint below the highest saved.
};

/// Why an attempt ended.
enum class task_completion_reason { done, failed, stopped, lease_expired, restart };

/// Records task events. Workers must report them in chronological order.
class task_audit
{
public:
    void started(const task_id &task, std::int64_t fromCheckpoint);
    void checkpointed(const task_id &task, std::int64_t number);
    void ended(const task_id &task, task_completion_reason why);

    /// Returns the counters of one replica, all 0 if it is unknown.
    const task_history &history(const job_id &job, int replica) const;

    /// Returns totals over all replicas. Lists the names of at most 20 replicas that ran
    /// concurrently and of at most 20 that completed twice.
    nlohmann::json summary() const;

private:
    std::map<std::pair<job_id, int>, task_history> m_tasks;
};

} // namespace crocuswind::standin

#endif
