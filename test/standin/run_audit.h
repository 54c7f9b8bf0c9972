/// Defines the record of all runs on the workers of a site, which notices tasks that run twice.
#ifndef CROCUSWIND_STANDIN_RUN_AUDIT_H
#define CROCUSWIND_STANDIN_RUN_AUDIT_H

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace crocuswind::standin {

/// A run of a task on a worker.
struct audited_run
{
    std::string worker;
    std::string task;
    int run = 0;
};

/// Collects what the workers of a site carry out, whichever hosts asked for it.
class run_audit
{
public:
    /// A run has begun. \p atMs is the time since the beginning of the site.
    void noteStart(const audited_run &run, std::int64_t atMs);

    /// A run has ended, for whatever reason, or its worker's process has.
    void noteEnd(const audited_run &run);

    /// The end of a run that succeeded has been acknowledged, so that its worker has forgotten it.
    void noteAcknowledged(const std::string &task) { m_acknowledged.insert(task); }

    /// A command that was sent to a former life of a worker has been carried out by a later one.
    void noteMisdirected() { ++m_misdirected; }

    /// Returns what was broken: two runs of one task at a time, or a start after an acknowledged
    /// end.
    const std::vector<std::string> &violations() const { return m_violations; }

    /// Returns the number of runs on a worker.
    std::size_t runsOn(const std::string &worker) const;

    int starts() const { return m_starts; }
    int misdirected() const { return m_misdirected; }

    /// Returns the number of tasks that run now and whose name begins with \p prefix.
    std::size_t running(const std::string &prefix) const;

private:
    std::map<std::string, std::map<std::string, int>> m_runs; ///< Run by worker, by task.
    std::set<std::string> m_acknowledged; ///< Tasks.
    std::vector<std::string> m_violations;
    int m_starts = 0;
    int m_misdirected = 0;
};

} // namespace crocuswind::standin

#endif
