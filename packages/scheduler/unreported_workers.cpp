#include "unreported_workers.h"

#include <algorithm>
#include <utility>

namespace crocuswind::scheduler {

void unreported_workers::limit(const worker_id &worker, std::set<task_name> tasks)
{
    const auto found = m_workers.find(worker);
    if (found != m_workers.end())
        found->second = std::move(tasks);
}

bool unreported_workers::mayHaveAny() const
{
    return std::any_of(m_workers.begin(), m_workers.end(),
                       [](const auto &entry) { return !entry.second; });
}

bool unreported_workers::mayHave(const task_name &task) const
{
    return std::any_of(m_workers.begin(), m_workers.end(), [&task](const auto &entry) {
        return !entry.second || entry.second->count(task) != 0;
    });
}

std::vector<worker_id> unreported_workers::workersThatMayHave(const task_name &task) const
{
    std::vector<worker_id> workers;
    for (const auto &[worker, tasks] : m_workers) {
        if (!tasks || tasks->count(task) != 0)
            workers.push_back(worker);
    }
    return workers;
}

const std::set<task_name> *unreported_workers::tasksOn(const worker_id &worker) const
{
    const auto found = m_workers.find(worker);
    return found == m_workers.end() || !found->second ? nullptr : &*found->second;
}

} // namespace crocuswind::scheduler
