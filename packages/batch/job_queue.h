/// Orders the waiting tasks: latency-critical tasks first, then by the weighted share of the team,
/// lowest first, then by urgency and age.
#ifndef CROCUSWIND_BATCH_JOB_QUEUE_H
#define CROCUSWIND_BATCH_JOB_QUEUE_H

#include "resource_accounting.h"
#include "shard_events.h"

#include <functional>
#include <map>
#include <set>
#include <vector>

namespace crocuswind {

/// A waiting task as the queue stores it.
struct queued_task
{
    task_key task;
    resources size;
    bool isLatencyCritical = false;
    job_urgency urgency = job_urgency::normal;
    instant waitingSince;
    std::int64_t number = 0; ///< Submission number.
};

/// The result of offering a task for placement.
enum class placement_result {
    placed,
    no_capacity, ///< No worker has capacity; tasks at least as large are skipped in this pass.
    skipped, ///< Not placed for a reason specific to this task.
};

/// The waiting tasks of a shard, and the resources that each team has committed.
class job_queue
{
public:
    /// Sets the weights of the teams. A team without a quota has weight 1.
    void setQuotas(const std::vector<quota> &quotas);

    /// Removes all tasks and resets the usage of the teams. The quotas are kept.
    void clear();

    /// Adds a task; it must not be in the queue.
    void add(const queued_task &task);

    /// Removes a task; returns false if it is not in the queue.
    bool remove(const task_key &task);

    bool contains(const task_key &task) const { return m_tasks.count(task) != 0; }
    std::size_t size() const { return m_tasks.size(); }

    /// Returns the task that has waited longest, or null. \p isLatencyCritical selects whether only
    /// latency-critical tasks or only the others are considered.
    const queued_task *oldest(bool isLatencyCritical) const;

    /// Returns true if a latency-critical task is waiting.
    bool hasLatencyCritical() const { return !m_latencyCritical.empty(); }

    /// Adds \p size to the usage of \p team, or subtracts it if \p isRelease.
    void use(const team_id &team, const resources &size, bool isRelease);

    /// Returns the dominant share of the team, that is the largest share of any resource that it
    /// uses, divided by its weight.
    double weightedShare(const team_id &team, const resources &total) const;

    /// Returns the guaranteed weighted share: 1 divided by the sum of the weights of all teams that
    /// use resources or have waiting tasks. A team above it borrows resources from others.
    double guaranteedShare() const;

    /// Returns the number of tasks before \p task within its team and class, or nothing if it is
    /// not queued.
    std::optional<std::size_t> position(const task_key &task) const;

    /// Offers tasks in order until \p maxPlaced were placed, \p maxOffers were offered or all were
    /// offered. The callback must not change the queue.
    /// \return the placed tasks, which have been removed from the queue.
    std::vector<task_key>
    offer(const resources &total, std::size_t maxPlaced, std::size_t maxOffers,
          const std::function<placement_result(const queued_task &)> &callback);

private:
    /// Sort key, lowest first: start of the wait shifted by urgency, submission number, task.
    using order = std::tuple<instant, std::int64_t, task_key>;
    using team_order = std::map<team_id, std::set<order>>;

    static order orderOf(const queued_task &task);
    team_order &classOf(const queued_task &task);
    const team_order &classOf(const queued_task &task) const;
    std::int64_t weightOf(const team_id &team) const;

    std::map<team_id, std::int64_t> m_weights;
    std::map<team_id, resources> m_used;
    std::map<task_key, queued_task> m_tasks;
    team_order m_latencyCritical;
    team_order m_others;
};

} // namespace crocuswind

#endif
