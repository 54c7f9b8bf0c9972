/// Keeps the workers that an earlier owner may have used and that the present one has not heard
/// from, with what may be running there.
#ifndef CROCUSWIND_SCHEDULER_UNREPORTED_WORKERS_H
#define CROCUSWIND_SCHEDULER_UNREPORTED_WORKERS_H

#include "job_model.h"
#include "worker_record.h"

#include <map>
#include <optional>
#include <set>

namespace crocuswind::scheduler {

/// A set of workers. Tasks that may be on one of them must not start elsewhere.
class unreported_workers
{
public:
    /// Any task of the earlier owner may be on the worker.
    void add(const worker_id &worker) { m_workers[worker] = std::nullopt; }

    /// Of the tasks only these may be on the worker. Has no effect on a worker that is not there.
    void limit(const worker_id &worker, std::set<task_name> tasks);

    /// Nothing can be on the worker any more that is not known. Returns true if it was there.
    bool erase(const worker_id &worker) { return m_workers.erase(worker) != 0; }

    void clear() { m_workers.clear(); }
    bool contains(const worker_id &worker) const { return m_workers.count(worker) != 0; }
    std::size_t size() const { return m_workers.size(); }

    /// Returns true if any task may be on one of the workers.
    bool mayHaveAny() const;

    /// Returns true if the task may be on one of the workers.
    bool mayHave(const task_name &task) const;

    /// Returns the tasks that may be on the worker, or null if it may have any or is not there.
    const std::set<task_name> *tasksOn(const worker_id &worker) const;

private:
    std::map<worker_id, std::optional<std::set<task_name>>> m_workers;
};

} // namespace crocuswind::scheduler

#endif
