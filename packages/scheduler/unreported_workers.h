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

/// Where a task may be while workers have not reported.
enum class possible_incarnation {
    known, ///< Only on the incarnation that the earlier owner knew.
    known_or_later, ///< Also on a later one, which has answered no owner.
};

/// Returns where a task of the step may be. A continuous task is needed elsewhere before a run on a
/// later incarnation could be ruled out, and a task that allows duplicates need not wait for it.
possible_incarnation possibleIncarnationOf(const step_spec &step);

/// A set of workers that have not reported yet. Tasks that may be running on one of them must not
/// start on another worker.
class unreported_workers
{
public:
    /// Adds a worker on which any task of the earlier owner may be running.
    void add(const worker_id &worker) { m_workers[worker] = {}; }

    /// Limits the tasks that may be on the worker to \p tasks. Has no effect if the worker is not
    /// in the set.
    void limit(const worker_id &worker, std::set<task_name> tasks);

    /// Notes that no run on the known incarnation of the worker exists any more. Returns true if
    /// that is new.
    bool excludeKnownIncarnation(const worker_id &worker);

    /// Removes a worker whose runs are all known now. Returns true if it was in the set.
    bool erase(const worker_id &worker) { return m_workers.erase(worker) != 0; }

    void clear() { m_workers.clear(); }
    bool contains(const worker_id &worker) const { return m_workers.count(worker) != 0; }
    std::size_t size() const { return m_workers.size(); }

    /// Returns true if the set has a worker without a limit, on which any task may be.
    bool mayHaveAny(possible_incarnation where) const;

    /// Returns true if the task may be on one of the workers.
    bool mayHave(const task_name &task, possible_incarnation where) const;

    /// Returns the workers on which the task may be.
    std::vector<worker_id> workersThatMayHave(const task_name &task,
                                              possible_incarnation where) const;

    /// Returns the tasks that may be on the worker, or null if there is no limit or the worker is
    /// not in the set.
    const std::set<task_name> *tasksOn(const worker_id &worker) const;

private:
    struct possible_runs
    {
        std::optional<std::set<task_name>> tasks; ///< Nothing if any task may be there.
        bool hasOnlyLaterIncarnation = false;

        bool mayBeOn(possible_incarnation where) const
        {
            return !hasOnlyLaterIncarnation || where == possible_incarnation::known_or_later;
        }
        bool mayHave(const task_name &task, possible_incarnation where) const
        {
            return mayBeOn(where) && (!tasks || tasks->count(task) != 0);
        }
    };

    std::map<worker_id, possible_runs> m_workers;
};

} // namespace crocuswind::scheduler

#endif
