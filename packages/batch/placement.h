/// Selects the worker for a task, and the tasks to evict if no worker has the capacity.
#ifndef CROCUSWIND_BATCH_PLACEMENT_H
#define CROCUSWIND_BATCH_PLACEMENT_H

#include "resource_accounting.h"

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <vector>

namespace crocuswind {

/// The constraints and preferences of a placement.
struct placement_request
{
    resources size;
    /// Spreads over racks and the workers with the most free cores; otherwise fills up workers.
    bool isLatencyCritical = false;
    /// Number of replicas of the same service in each rack, if it has several. May be null.
    const std::map<rack_id, int> *replicasByRack = nullptr;
    /// Workers to avoid if another one has the capacity. May be null.
    const std::set<worker_id> *avoid = nullptr;
    /// A worker reserved for another task. May be null.
    const worker_id *reserved = nullptr;
    /// Returns the expected slowdown that the placement causes to the work on the worker and to the
    /// task. Used for ranking, lower is better; infinity excludes the worker. May be empty.
    std::function<double(const worker_slot &)> penalty;
};

/// Returns an eligible worker with sufficient capacity, or nothing. Examines a bounded number of
/// candidates; workers with too little memory or too few accelerators do not count towards it.
std::optional<worker_id> chooseWorker(const resource_accounting &accounting,
                                      const placement_request &request);

/// Returns the eligible worker and the tasks on it whose removal frees capacity for \p size at the
/// lowest cost. \p cost returns nothing for a task that must not be removed; \p slotCost adds a
/// cost per worker.
std::optional<std::pair<worker_id, std::vector<task_key>>>
chooseVictims(const resource_accounting &accounting, const resources &size,
              const std::function<std::optional<std::int64_t>(const task_key &)> &cost,
              const std::function<std::int64_t(const worker_slot &)> &slotCost);

/// The worker that comes nearest to fitting a task that no worker can hold.
struct nearest_worker
{
    worker_id worker;
    resources capacity;
};

/// Returns nothing if any worker is large enough; otherwise the worker whose largest shortage,
/// relative to \p size, is smallest. At least one worker must be known.
std::optional<nearest_worker> nearestIfNoneFits(const resource_accounting &accounting,
                                                const resources &size);

} // namespace crocuswind

#endif
