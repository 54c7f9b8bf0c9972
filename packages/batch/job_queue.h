/// Orders the waiting tasks: latency-critical ones first, then the team that is furthest below its
/// share, then by urgency and age.
#ifndef CROCUSWIND_BATCH_JOB_QUEUE_H
#define CROCUSWIND_BATCH_JOB_QUEUE_H

#include "commitments.h"
#include "shard_events.h"

#include <functional>
#include <map>
#include <set>
#include <vector>

namespace crocuswind {

/// What the queue keeps about a waiting task.
struct queued_task
{
    task_key task;
    resources size;
    bool isLatencyCritical = false;
    job_urgency urgency = job_urgency::normal;
    instant waitingSince;
    std::int64_t number = 0; ///< Order of submission.
};

/// What became of a task that was offered for placement.
enum class offer_result {
    placed,
    no_room, ///< Nothing as large will find room in this pass either.
    skipped, ///< Not placed for a reason of its own.
};

/// The waiting tasks of a shard, and what each team has committed.
class job_queue
{
public:
    /// Sets the weights of the teams; a team that is not named has weight 1.
    void setQuotas(const std::vector<quota> &quotas);

    /// Adds a task; it must not be in the queue.
    void add(const queued_task &task);

    /// Removes a task; returns false if it is not in the queue.
    bool remove(const task_key &task);

    bool contains(const task_key &task) const { return m_tasks.count(task) != 0; }
    std::size_t size() const { return m_tasks.size(); }

    /// Returns true if a latency-critical task waits.
    bool hasLatencyCritical() const { return !m_latencyCritical.empty(); }

    /// Counts \p size as used by \p team, or as no longer used if \p isRelease.
    void use(const team_id &team, const resources &size, bool isRelease);

    /// Returns the largest share that the team uses of any resource, divided by its weight.
    double weightedShare(const team_id &team, const resources &total) const;

    /// Returns what the team is guaranteed, as a weighted share: 1 divided by the sum of the
    /// weights of all teams that use or want something. Above it, a team borrows.
    double guaranteedShare() const;

    /// Returns how many tasks come before \p task within its team and class, or nothing if it is
    /// not in the queue.
    std::optional<std::size_t> position(const task_key &task) const;

    /// Offers tasks in order until \p maxPlaced were placed, \p maxOffers were offered or all were
    /// offered. The callback must not change the queue.
    /// \return the tasks that were placed; they are no longer in the queue.
    std::vector<task_key> offer(const resources &total, std::size_t maxPlaced,
                                std::size_t maxOffers,
                                const std::function<offer_result(const queued_task &)> &callback);

private:
    /// Earlier comes first: the waiting time, shifted by the urgency.
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
