/// Places waiting tasks on workers, and makes room for those that have a right to it.
#ifndef CROCUSWIND_BATCH_PLACER_H
#define CROCUSWIND_BATCH_PLACER_H

#include "shard_state.h"

#include <map>
#include <optional>
#include <set>
#include <utility>
#include <vector>

namespace crocuswind {

/// Remembers what the last pass left, so that a pass without prospects is not repeated.
class placer
{
public:
    /// Returns true if a pass could place something that the last one could not.
    bool isWanted(const shard_state &state) const;

    /// Claims workers for waiting tasks; called when a commit may be sent, which then holds the
    /// claims.
    void place(shard_state &state);

    /// Forgets everything that belongs to an ownership.
    void clear() { *this = placer(); }

    /// The worker whose room is kept for a task that has waited long, if any.
    const std::optional<worker_id> &reservedWorker() const { return m_reservedWorker; }

    /// The task for which it is kept.
    const std::optional<task_key> &reservedFor() const { return m_reservedFor; }

private:
    offer_result offer(shard_state &state, const queued_task &task);
    std::optional<worker_id> takeProbe(const shard_state &state, const queued_task &task,
                                       const task_runtime &runtime);
    void makeRoom(shard_state &state);
    void makeRoomFor(shard_state &state, const queued_task &task,
                     std::map<std::pair<job_id, rack_id>, int> &planned);
    void reserve(shard_state &state);
    void clearReserved(shard_state &state);
    bool hasRemovalsUnderWay(const shard_state &state) const;

    std::uint64_t m_roomRevision = 0;
    std::uint64_t m_queueRevision = 0;
    bool m_isUnfinished = false; ///< The last pass stopped at its bounds.
    instant m_nextReview;
    std::vector<queued_task> m_roomWanted; ///< Tasks of this pass with a right to room.
    std::vector<worker_id> m_probes; ///< Workers put aside that are due for one task.
    std::set<task_key> m_removedForRoom;
    std::optional<task_key> m_reservedFor;
    std::optional<worker_id> m_reservedWorker;
    instant m_reservedAt;
};

} // namespace crocuswind

#endif
