#include "run_audit.h"

#include <algorithm>
#include <fmt/format.h>

namespace crocuswind::standin {

void run_audit::noteStart(const audited_run &run, std::int64_t atMs)
{
    ++m_starts;
    auto &running = m_runs[run.task];
    for (const auto &[worker, number] : running)
        m_violations.push_back(fmt::format("at {} ms {} run {} on {} beside run {} on {}", atMs,
                                           run.task, run.run, run.worker, number, worker));
    if (m_acknowledged.count(run.task) != 0)
        m_violations.push_back(fmt::format("at {} ms {} run {} on {} after an acknowledged end",
                                           atMs, run.task, run.run, run.worker));
    running[run.worker] = run.run;
}

void run_audit::noteEnd(const audited_run &run)
{
    m_runs[run.task].erase(run.worker);
}

std::size_t run_audit::running(const std::string &prefix) const
{
    return std::size_t(std::count_if(m_runs.begin(), m_runs.end(), [&prefix](const auto &entry) {
        return entry.first.rfind(prefix, 0) == 0 && !entry.second.empty();
    }));
}

std::size_t run_audit::runsOn(const std::string &worker) const
{
    return std::size_t(std::count_if(m_runs.begin(), m_runs.end(), [&worker](const auto &entry) {
        return entry.second.count(worker) != 0;
    }));
}

} // namespace crocuswind::standin
