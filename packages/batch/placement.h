/// Chooses the worker for a task, and the tasks that would have to leave to make room for one.
#ifndef CROCUSWIND_BATCH_PLACEMENT_H
#define CROCUSWIND_BATCH_PLACEMENT_H

#include "commitments.h"

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <vector>

namespace crocuswind {

/// What a placement must regard.
struct placement_request
{
    resources size;
    /// Spreads over racks and workers with much room; otherwise fills workers up.
    bool isLatencyCritical = false;
    /// Replicas of the same service in each rack, if there are several. May be null.
    const std::map<rack_id, int> *replicasByRack = nullptr;
    /// Workers to avoid if another one fits. May be null.
    const std::set<worker_id> *avoid = nullptr;
    /// A worker whose room is kept for another task. May be null.
    const worker_id *reserved = nullptr;
    /// Expected harm of the placement to the work on the worker and to the task; smaller is better.
    /// May be empty. Used for ranking only.
    std::function<double(const worker_slot &)> penalty;
};

/// Returns an eligible worker with room, or nothing. Examines a bounded number of workers, except
/// when these have too little memory or too few accelerators.
std::optional<worker_id> chooseWorker(const commitment_book &book,
                                      const placement_request &request);

/// Returns the eligible worker and the tasks on it whose removal makes room for \p size at the
/// least cost. \p cost returns nothing for a task that must stay.
std::optional<std::pair<worker_id, std::vector<task_key>>>
chooseVictims(const commitment_book &book, const resources &size,
              const std::function<std::optional<std::int64_t>(const task_key &)> &cost);

/// The worker that comes nearest to holding a task that no worker can hold.
struct nearest_worker
{
    worker_id worker;
    resources capacity;
};

/// Returns nothing if some worker is large enough; otherwise the worker whose worst shortage,
/// relative to \p size, is the smallest. There must be a worker.
std::optional<nearest_worker> nearestIfNoneFits(const commitment_book &book, const resources &size);

} // namespace crocuswind

#endif
