/// Keeps what is committed on each worker, and an index of the workers by their free cores. Every
/// path that commits resources uses `commitment_book::commit`, which refuses overcommitment.
#ifndef CROCUSWIND_BATCH_COMMITMENTS_H
#define CROCUSWIND_BATCH_COMMITMENTS_H

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

/// Names one replica of a job, over all of its attempts.
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

/// One worker in the book.
struct worker_slot
{
    worker_id worker;
    rack_id rack;
    resources capacity;
    resources committed;
    bool isEligible = false; ///< New tasks may be placed; otherwise it is not in the index.
    std::map<task_key, resources> tasks;

    resources free() const { return capacity - committed; }
};

/// The commitments of all workers of a shard.
class commitment_book
{
public:
    /// Free thousandths of cores and the number of the slot, in this order.
    using index = std::set<std::pair<std::int64_t, std::size_t>>;

    /// Adds the worker or changes its size. A smaller size than is committed keeps the commitments;
    /// `isOvercommitted` then tells that tasks must leave.
    void setWorker(const worker_id &worker, const rack_id &rack, const resources &capacity);

    /// Removes a worker without commitments; returns false if it has some or is not known.
    bool removeWorker(const worker_id &worker);

    /// Permits or forbids new tasks on a known worker.
    void setEligible(const worker_id &worker, bool isEligible);

    /// Commits \p size on \p worker for \p task.
    /// \return false, with no effect, if the worker is not known, if the task has a commitment on
    /// any worker, or if the worker's size would be exceeded in any dimension.
    bool commit(const worker_id &worker, const task_key &task, const resources &size);

    /// Ends the commitment of \p task; returns false if it has none.
    bool release(const task_key &task);

    /// Returns the worker on which \p task has a commitment.
    std::optional<worker_id> workerOf(const task_key &task) const;

    /// Returns the worker's slot, or null if it is not known. Valid until the book changes.
    const worker_slot *find(const worker_id &worker) const;

    /// Returns true if the worker was made smaller than its commitments.
    bool isOvercommitted(const worker_id &worker) const;

    /// Eligible workers, those with accelerators apart so that other work leaves them free.
    const index &plainWorkers() const { return m_plain; }
    const index &acceleratedWorkers() const { return m_accelerated; }

    /// Returns the slot with a number from an index.
    const worker_slot &slot(std::size_t number) const { return m_slots[number]; }

    /// All known workers in the order of their names.
    const std::map<worker_id, std::size_t> &workers() const { return m_numbers; }

    /// Sum of the sizes of all known workers.
    const resources &totalCapacity() const { return m_total; }

    /// Increases with every change that can make room: a release, a new or eligible worker.
    std::uint64_t roomRevision() const { return m_roomRevision; }

private:
    index &indexOf(const worker_slot &slot);
    void takeFromIndex(std::size_t number);
    void putIntoIndex(std::size_t number);

    std::vector<worker_slot> m_slots;
    std::vector<std::size_t> m_unused;
    std::map<worker_id, std::size_t> m_numbers;
    std::map<task_key, std::size_t> m_where;
    index m_plain;
    index m_accelerated;
    resources m_total;
    std::uint64_t m_roomRevision = 0;
};

} // namespace crocuswind

#endif
