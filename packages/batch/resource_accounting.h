/// Tracks the resources committed on each worker and indexes the workers by free cores. Every path
/// that commits resources uses `resource_accounting::commit`, which refuses overcommitment.
#ifndef CROCUSWIND_BATCH_RESOURCE_ACCOUNTING_H
#define CROCUSWIND_BATCH_RESOURCE_ACCOUNTING_H

#include "job.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <tuple>
#include <utility>
#include <vector>

namespace crocuswind {

/// Identifies one replica of a job across all of its attempts.
struct task_key
{
    job_id job;
    int replica = 0;

    friend bool operator==(const task_key &a, const task_key &b)
    {
        return a.job == b.job && a.replica == b.replica;
    }
    friend bool operator!=(const task_key &a, const task_key &b) { return !(a == b); }
    friend bool operator<(const task_key &a, const task_key &b)
    {
        return std::tie(a.job, a.replica) < std::tie(b.job, b.replica);
    }
};

/// Capacity and commitments of one worker.
struct worker_slot
{
    worker_id worker;
    rack_id rack;
    resources capacity;
    resources committed;
    /// New tasks may be placed here. An ineligible worker is not in the index.
    bool isEligible = false;
    std::map<task_key, resources> tasks;

    resources free() const { return capacity - committed; }
};

/// The resource commitments of all workers of a shard.
class resource_accounting
{
public:
    /// Pairs of free millicores and slot number, in ascending order.
    using index = std::set<std::pair<std::int64_t, std::size_t>>;

    /// Adds a worker or changes its capacity. A capacity below the committed resources keeps the
    /// commitments; `isOvercommitted` then returns true until tasks are removed.
    void setWorker(const worker_id &worker, const rack_id &rack, const resources &capacity);

    /// Removes a worker without commitments. Returns false if it has commitments or is unknown.
    bool removeWorker(const worker_id &worker);

    /// Allows or disallows new tasks on a known worker.
    void setEligible(const worker_id &worker, bool isEligible);

    /// Commits \p size on \p worker for \p task.
    /// \return false, with no effect, if the worker is unknown, if the task already has a
    /// commitment on any worker, or if any dimension of the worker's capacity would be exceeded.
    bool commit(const worker_id &worker, const task_key &task, const resources &size);

    /// Releases the commitment of \p task. Returns false if it has none.
    bool release(const task_key &task);

    /// Returns the worker on which \p task has a commitment.
    std::optional<worker_id> workerOf(const task_key &task) const;

    /// Returns the worker's slot, or null if the worker is unknown. The pointer is valid until the
    /// next non-const call.
    const worker_slot *find(const worker_id &worker) const;

    /// Returns true if the capacity of the worker was reduced below its commitments.
    bool isOvercommitted(const worker_id &worker) const;

    /// Return the eligible workers. Workers with accelerators have their own index so that tasks
    /// without accelerators leave them free.
    const index &plainWorkers() const { return m_plain; }
    const index &acceleratedWorkers() const { return m_accelerated; }

    /// Returns the slot with the given number from an index.
    const worker_slot &slot(std::size_t number) const { return m_slots[number]; }

    /// Returns all known workers with their slot numbers, ordered by name.
    const std::map<worker_id, std::size_t> &workers() const { return m_slotOfWorker; }

    /// Returns the total capacity of all known workers.
    const resources &totalCapacity() const { return m_total; }

    /// Returns a counter that increases with every change that may free capacity: a release, a new
    /// or resized worker, a worker that becomes eligible.
    std::uint64_t freeCapacityRevision() const { return m_freeCapacityRevision; }

private:
    index &indexOf(const worker_slot &slot);
    void removeFromIndex(std::size_t number);
    void addToIndex(std::size_t number);

    std::vector<worker_slot> m_slots;
    std::vector<std::size_t> m_unusedSlots;
    std::map<worker_id, std::size_t> m_slotOfWorker;
    std::map<task_key, std::size_t> m_slotOfTask;
    index m_plain;
    index m_accelerated;
    resources m_total;
    std::uint64_t m_freeCapacityRevision = 0;
};

} // namespace crocuswind

#endif
