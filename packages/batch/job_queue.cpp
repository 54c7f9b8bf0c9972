#include "job_queue.h"

#include <algorithm>
#include <iterator>

namespace crocuswind {

namespace {

/// Waiting time that one urgency level is worth. A low-urgency job is therefore overtaken only by
/// high-urgency jobs that are submitted within twice this time after it.
constexpr duration urgencyStep = 600s;

double shareOf(std::int64_t used, std::int64_t total)
{
    return total <= 0 ? 0 : double(used) / double(total);
}

} // namespace

void job_queue::setQuotas(const std::vector<quota> &quotas)
{
    m_weights.clear();
    for (const quota &q : quotas)
        m_weights[q.team] = std::max<std::int64_t>(q.weight, 1);
}

void job_queue::clear()
{
    m_used.clear();
    m_tasks.clear();
    m_latencyCritical.clear();
    m_others.clear();
}

job_queue::order job_queue::orderOf(const queued_task &task)
{
    return {task.waitingSince - int(task.urgency) * urgencyStep, task.number, task.task};
}

job_queue::team_order &job_queue::classOf(const queued_task &task)
{
    return task.isLatencyCritical ? m_latencyCritical : m_others;
}

const job_queue::team_order &job_queue::classOf(const queued_task &task) const
{
    return task.isLatencyCritical ? m_latencyCritical : m_others;
}

void job_queue::add(const queued_task &task)
{
    const bool isNew = m_tasks.emplace(task.task, task).second;
    CROCUSWIND_INVARIANT(isNew, toString(task.task.job));
    classOf(task)[task.task.job.team].insert(orderOf(task));
}

bool job_queue::remove(const task_key &task)
{
    const auto at = m_tasks.find(task);
    if (at == m_tasks.end())
        return false;
    team_order &teams = classOf(at->second);
    const auto team = teams.find(task.job.team);
    team->second.erase(orderOf(at->second));
    if (team->second.empty())
        teams.erase(team);
    m_tasks.erase(at);
    return true;
}

void job_queue::use(const team_id &team, const resources &size, bool isRelease)
{
    resources &used = m_used[team];
    used = isRelease ? used - size : used + size;
    if (used == resources())
        m_used.erase(team);
}

std::int64_t job_queue::weightOf(const team_id &team) const
{
    const auto at = m_weights.find(team);
    return at == m_weights.end() ? 1 : at->second;
}

double job_queue::weightedShare(const team_id &team, const resources &total) const
{
    const auto at = m_used.find(team);
    if (at == m_used.end())
        return 0;
    const resources &used = at->second;
    const double largest = std::max({shareOf(used.milliCores, total.milliCores),
                                     shareOf(used.memoryMb, total.memoryMb),
                                     shareOf(used.accelerators, total.accelerators)});
    return largest / double(weightOf(team));
}

double job_queue::guaranteedShare() const
{
    std::set<team_id> active;
    for (const auto &[team, used] : m_used)
        active.insert(team);
    for (const team_order *teams : {&m_latencyCritical, &m_others}) {
        for (const auto &[team, tasks] : *teams)
            active.insert(team);
    }
    std::int64_t sum = 0;
    for (const team_id &team : active)
        sum += weightOf(team);
    return sum == 0 ? 1 : 1 / double(sum);
}

const queued_task *job_queue::oldest(bool isLatencyCritical) const
{
    const queued_task *oldest = nullptr;
    for (const auto &[team, tasks] : isLatencyCritical ? m_latencyCritical : m_others) {
        // The front task of each team; the order within a team includes urgency.
        const queued_task &first = m_tasks.at(std::get<2>(*tasks.begin()));
        if (oldest == nullptr || first.waitingSince < oldest->waitingSince)
            oldest = &first;
    }
    return oldest;
}

std::optional<std::size_t> job_queue::position(const task_key &task) const
{
    const auto at = m_tasks.find(task);
    if (at == m_tasks.end())
        return std::nullopt;
    const std::set<order> &tasks = classOf(at->second).at(task.job.team);
    return std::size_t(std::distance(tasks.begin(), tasks.find(orderOf(at->second))));
}

std::vector<task_key>
job_queue::offer(const resources &total, std::size_t maxPlaced, std::size_t maxOffers,
                 const std::function<placement_result(const queued_task &)> &callback)
{
    struct cursor
    {
        double share = 0;
        std::set<order>::const_iterator next;
        std::set<order>::const_iterator end;
    };
    std::vector<task_key> placed;
    std::vector<resources> unplaceableSizes;
    std::size_t offers = 0;
    for (const team_order *teams : {&m_latencyCritical, &m_others}) {
        std::map<team_id, cursor> cursors;
        // Sorted by share, so that the team with the smallest share is at the front.
        std::set<std::pair<double, team_id>> ranking;
        for (const auto &[team, tasks] : *teams) {
            cursors[team] = {weightedShare(team, total), tasks.begin(), tasks.end()};
            ranking.insert({cursors[team].share, team});
        }
        while (!ranking.empty() && placed.size() < maxPlaced && offers < maxOffers) {
            const team_id team = ranking.begin()->second;
            cursor &at = cursors[team];
            if (at.next == at.end) {
                ranking.erase(ranking.begin());
                continue;
            }
            const queued_task &task = m_tasks.at(std::get<2>(*at.next));
            ++at.next;
            const bool isTooLarge
                = std::any_of(unplaceableSizes.begin(), unplaceableSizes.end(),
                              [&](const resources &size) { return fitsInto(size, task.size); });
            if (isTooLarge)
                continue;
            ++offers;
            const placement_result result = callback(task);
            if (result == placement_result::no_capacity)
                unplaceableSizes.push_back(task.size);
            if (result != placement_result::placed)
                continue;
            placed.push_back(task.task);
            ranking.erase(ranking.begin());
            at.share = weightedShare(team, total);
            ranking.insert({at.share, team});
        }
    }
    for (const task_key &task : placed)
        (void)remove(task);
    return placed;
}

} // namespace crocuswind
