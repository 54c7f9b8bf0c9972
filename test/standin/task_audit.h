/// Defines the record that all stand-in workers share: what ran where, as far as the invariants on
/// batch jobs are concerned. It sees every worker at once, which no part of the scheduler can.
#ifndef CROCUSWIND_STANDIN_TASK_AUDIT_H
#define CROCUSWIND_STANDIN_TASK_AUDIT_H

#include "batch/batch.h"

#include <cstdint>
#include <map>
#include <nlohmann/json.hpp>
#include <string>
#include <utility>

namespace crocuswind::standin {

/// What is known of one replica of a job over all workers and attempts.
struct task_history
{
    int starts = 0;
    int running = 0;
    int highestRunning = 0; ///< More than 1 means that it ran in two places at once (I2).
    int done = 0; ///< More than 1 means that it was carried out twice.
    int failed = 0;
    int stopped = 0;
    int leaseExpired = 0;
    int lostInRestart = 0;
    int highestAttempt = 0;
    int staleAttempts = 0; ///< Starts of an attempt not above an earlier one, on any worker.
    std::int64_t lastCheckpoint = 0; ///< The highest that was saved.
    int resumesBelowCheckpoint = 0; ///< Starts from an older checkpoint than the last one saved.
};

/// Why an attempt ended.
enum class task_end { done, failed, stopped, lease_expired, restart };

/// The record. Workers report in the order of time.
class task_audit
{
public:
    void started(const task_id &task, std::int64_t fromCheckpoint);
    void checkpointed(const task_id &task, std::int64_t number);
    void ended(const task_id &task, task_end why);

    /// Returns the record of one replica.
    const task_history &history(const job_id &job, int replica) const;

    /// Sums up all replicas, with the names of those that broke an invariant, at most 20.
    nlohmann::json summary() const;

private:
    std::map<std::pair<job_id, int>, task_history> m_tasks;
};

} // namespace crocuswind::standin

#endif
