/// Tracks the workers that an earlier owner may have used and that have not reported to the present
/// owner yet, together with the tasks that may be running there.
#ifndef CROCUSWIND_SCHEDULER_UNREPORTED_WORKERS_H
#define CROCUSWIND_SCHEDULER_UNREPORTED_WORKERS_H

#include "job_model.h"
#include "worker_record.h"

#include <map>
#include <optional>
#include <set>
#include <vector>

namespace crocuswind::scheduler {

/// A set of workers that have not reported yet. Tasks that may be running on one of them must not
/// start on another worker.
class unreported_workers
{
public:
    /// Adds a worker on which any task of the earlier owner may be running.
    void add(const worker_id &worker) { m_workers[worker] = std::nullopt; }

    /// Limits the tasks that may be on the worker to \p tasks. Has no effect if the worker is not
    /// in the set.
    void limit(const worker_id &worker, std::set<task_name> tasks);

    /// Removes a worker whose runs are all known now. Returns true if it was in the set.
    bool erase(const worker_id &worker) { return m_workers.erase(worker) != 0; }

    void clear() { m_workers.clear(); }
    bool contains(const worker_id &worker) const { return m_workers.count(worker) != 0; }
    std::size_t size() const { return m_workers.size(); }

    /// Returns true if the set has a worker without a limit, on which any task may be.
    bool mayHaveAny() const;

    /// Returns true if the task may be on one of the workers.
    bool mayHave(const task_name &task) const;

    /// Returns the workers on which the task may be.
    std::vector<worker_id> workersThatMayHave(const task_name &task) const;

    /// Returns the tasks that may be on the worker, or null if there is no limit or the worker is
    /// not in the set.
    const std::set<task_name> *tasksOn(const worker_id &worker) const;

private:
    std::map<worker_id, std::optional<std::set<task_name>>> m_workers;
};

} // namespace crocuswind::scheduler

#endif
