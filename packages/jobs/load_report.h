/// Defines the line that the owner of the jobs logs once a second, from which a reader sees whether
/// it keeps up.
#ifndef CROCUSWIND_JOBS_LOAD_REPORT_H
#define CROCUSWIND_JOBS_LOAD_REPORT_H

#include "io/io.h"
#include "scheduler/scheduler.h"

#include <cstdint>

namespace crocuswind {

/// Reports what the owner did since the last line, what waits, its processor time, how late its
/// loop was, how long calls took and how old its list of workers was. Also sets the metrics
/// `crocuswind_loop_late_seconds` and `crocuswind_workers_age_seconds`.
class load_report
{
public:
    load_report(event_loop &loop, const logger &log, metrics_registry &metrics,
                const scheduler::scheduler_core &core);
    ~load_report();
    load_report(const load_report &) = delete;
    load_report &operator=(const load_report &) = delete;

    /// Begins to report; the lines end when the core is no owner any more.
    void start(std::int64_t epoch);

    /// A start sent at \p sentAt was carried out, as the worker has just answered.
    void noteStart(instant sentAt);

    /// A call sent to the store at \p sentAt has just been answered.
    void noteStoreCall(instant sentAt);

    /// The list of workers has its present age, which may fall now.
    void noteWorkersAge();

private:
    void schedule();
    void report();

    event_loop &m_loop;
    const logger &m_log;
    metrics_registry &m_metrics;
    const scheduler::scheduler_core &m_core;
    std::int64_t m_epoch = 0;
    scheduler::scheduler_counters m_reported; ///< As of the last line.
    std::int64_t m_reportedProcessorMs = 0;
    std::int64_t m_reportedRounds = 0;
    duration m_longestStart = duration::zero(); ///< Since the last line, as the others below.
    duration m_longestStoreCall = duration::zero();
    duration m_highestWorkersAge = duration::zero();
    timer_id m_timer = 0;
};

} // namespace crocuswind

#endif
