#include "unreported_workers.h"

#include <algorithm>
#include <utility>

namespace crocuswind::scheduler {

possible_incarnation possibleIncarnationOf(const step_spec &step)
{
    return step.isContinuous || step.allowsDuplicates ? possible_incarnation::known
                                                      : possible_incarnation::known_or_later;
}

void unreported_workers::limit(const worker_id &worker, std::set<task_name> tasks)
{
    const auto found = m_workers.find(worker);
    if (found != m_workers.end())
        found->second.tasks = std::move(tasks);
}

bool unreported_workers::excludeKnownIncarnation(const worker_id &worker)
{
    const auto found = m_workers.find(worker);
    return found != m_workers.end() && !std::exchange(found->second.hasOnlyLaterIncarnation, true);
}

bool unreported_workers::mayHaveAny(possible_incarnation where) const
{
    return std::any_of(m_workers.begin(), m_workers.end(), [where](const auto &entry) {
        return !entry.second.tasks && entry.second.mayBeOn(where);
    });
}

bool unreported_workers::mayHave(const task_name &task, possible_incarnation where) const
{
    return std::any_of(m_workers.begin(), m_workers.end(),
                       [&](const auto &entry) { return entry.second.mayHave(task, where); });
}

std::vector<worker_id> unreported_workers::workersThatMayHave(const task_name &task,
                                                              possible_incarnation where) const
{
    std::vector<worker_id> workers;
    for (const auto &[worker, runs] : m_workers) {
        if (runs.mayHave(task, where))
            workers.push_back(worker);
    }
    return workers;
}

const std::set<task_name> *unreported_workers::tasksOn(const worker_id &worker) const
{
    const auto found = m_workers.find(worker);
    return found == m_workers.end() || !found->second.tasks ? nullptr : &*found->second.tasks;
}

} // namespace crocuswind::scheduler
