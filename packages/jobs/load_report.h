/// Defines the log line that the owner of the jobs writes once a second. It shows whether the owner
/// keeps up with its load.
#ifndef CROCUSWIND_JOBS_LOAD_REPORT_H
#define CROCUSWIND_JOBS_LOAD_REPORT_H

#include "io/io.h"
#include "scheduler/scheduler.h"

#include <cstdint>

namespace crocuswind {

/// Logs the owner's work since the previous line, the tasks that wait, the processor time, the
/// largest delay of the event loop, the longest start and store calls, and the largest age of the
/// list of workers. Also sets the metrics `crocuswind_loop_late_seconds` and
/// `crocuswind_workers_age_seconds`.
class load_report
{
public:
    load_report(event_loop &loop, const logger &log, metrics_registry &metrics,
                const scheduler::scheduler_core &core);
    ~load_report();
    load_report(const load_report &) = delete;
    load_report &operator=(const load_report &) = delete;

    /// Starts to log, under \p epoch, until the core is not the owner any more.
    void start(std::int64_t epoch);

    /// Records the latency of a start command sent at \p sentAt, which a worker has just confirmed.
    void recordStart(instant sentAt);

    /// Records the latency of a store call sent at \p sentAt, which has just been answered.
    void recordStoreCall(instant sentAt);

    /// Records the present age of the list of workers. Must be called before an update that lowers
    /// the age, as the report gives the largest age since the previous line.
    void recordWorkersAge();

private:
    void schedule();
    void report();

    event_loop &m_loop;
    const logger &m_log;
    metrics_registry &m_metrics;
    const scheduler::scheduler_core &m_core;
    std::int64_t m_epoch = 0;
    scheduler::scheduler_counters m_reported; ///< Counters at the previous line.
    std::int64_t m_reportedProcessorMs = 0;
    std::int64_t m_reportedRounds = 0;
    // Largest values since the previous line.
    duration m_longestStart = duration::zero();
    duration m_longestStoreCall = duration::zero();
    duration m_highestWorkersAge = duration::zero();
    timer_id m_timer = 0;
};

} // namespace crocuswind

#endif
