/// Places waiting tasks on workers, and evicts other tasks for those entitled to capacity.
#ifndef CROCUSWIND_BATCH_PLACER_H
#define CROCUSWIND_BATCH_PLACER_H

#include "shard_state.h"

#include <map>
#include <optional>
#include <set>
#include <utility>
#include <vector>

namespace crocuswind {

/// Runs placement passes and records the result of the last one, so that a pass that could place
/// nothing is not repeated.
class placer
{
public:
    /// Returns true if a pass might place a task that the last one could not.
    bool shouldRun(const shard_state &state) const;

    /// Claims workers for waiting tasks. Called when a commit may be sent; that commit then
    /// contains the claims.
    void place(shard_state &state);

    /// Resets all state of an ownership.
    void clear() { *this = placer(); }

    /// Returns the worker that is reserved for a task that has waited long, if any.
    const std::optional<worker_id> &reservedWorker() const { return m_reservedWorker; }

    /// Returns the task that `reservedWorker` is reserved for.
    const std::optional<task_key> &reservedFor() const { return m_reservedFor; }

private:
    placement_result offer(shard_state &state, const queued_task &task);
    std::optional<worker_id> takeProbeWorker(const shard_state &state, const queued_task &task,
                                             const task_runtime &runtime);
    void evictForWaitingTasks(shard_state &state);
    void evictForTask(shard_state &state, const queued_task &task,
                      std::map<std::pair<job_id, rack_id>, int> &planned);
    void reserve(shard_state &state);
    void evictForReservation(shard_state &state);
    bool hasPendingEvictions(const shard_state &state) const;

    std::uint64_t m_freeCapacityRevision = 0;
    std::uint64_t m_queueRevision = 0;
    bool m_isPassIncomplete = false; ///< The last pass reached its limit of placements or offers.
    instant m_nextReview;
    /// Tasks of this pass that are entitled to evict others.
    std::vector<queued_task> m_evictionRequesters;
    std::vector<worker_id> m_probeWorkers; ///< Quarantined workers that are due for a probe task.
    std::set<task_key> m_evictedTasks;
    std::optional<task_key> m_reservedFor;
    std::optional<worker_id> m_reservedWorker;
    instant m_reservedAt;
};

} // namespace crocuswind

#endif
