#include "load_report.h"

#include <ctime>

namespace crocuswind {

using namespace scheduler;

namespace {

constexpr duration reportInterval = 1s;

// Processor time of this process since its start.
std::int64_t processorMs()
{
    timespec time = {};
    clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &time);
    return std::int64_t(time.tv_sec) * 1000 + time.tv_nsec / 1000000;
}

} // namespace

load_report::load_report(event_loop &loop, const logger &log, metrics_registry &metrics,
                         const scheduler_core &core)
    : m_loop(loop)
    , m_log(log)
    , m_metrics(metrics)
    , m_core(core)
{ }

load_report::~load_report()
{
    m_loop.cancel(m_timer);
}

void load_report::start(std::int64_t epoch)
{
    m_epoch = epoch;
    m_reported = m_core.counters();
    m_reportedProcessorMs = processorMs();
    m_loop.takeWorstLateness();
    schedule();
}

void load_report::schedule()
{
    m_loop.cancel(m_timer);
    m_timer = m_loop.callAt(m_loop.now() + reportInterval, [this] { report(); });
}

void load_report::report()
{
    const auto late
        = std::chrono::duration_cast<std::chrono::milliseconds>(m_loop.takeWorstLateness());
    m_metrics.set("crocuswind_loop_late_seconds", {}, double(late.count()) / 1e3);
    if (!m_core.isOwner())
        return;
    const scheduler_counters now = m_core.counters();
    const scheduler_counters &before = m_reported;
    const std::int64_t usedMs = processorMs();
    m_log.info("event=load epoch={} late_ms={} processor_ms={} accepted={} starts={} polls={} "
               "paces={} commits={} tasks_waiting={} jobs_uncommitted={} workers_unreported={}",
               m_epoch, late.count(), usedMs - m_reportedProcessorMs,
               now.accepted - before.accepted, now.starts - before.starts, now.polls - before.polls,
               now.paces - before.paces, now.commits - before.commits, now.tasksWaiting,
               now.jobsUncommitted, now.workersUnreported);
    m_reported = now;
    m_reportedProcessorMs = usedMs;
    schedule();
}

} // namespace crocuswind
