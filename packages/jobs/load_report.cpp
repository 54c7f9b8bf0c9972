#include "load_report.h"

#include <algorithm>
#include <ctime>
#include <utility>

namespace crocuswind {

using namespace scheduler;

namespace {

constexpr duration reportInterval = 1s;

// Returns the processor time that this process has used, in milliseconds.
std::int64_t processorMs()
{
    timespec time = {};
    clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &time);
    return std::int64_t(time.tv_sec) * 1000 + time.tv_nsec / 1000000;
}

std::int64_t milliseconds(duration d)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(d).count();
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
    m_reportedRounds = m_loop.rounds();
    m_loop.takeMaxLateness();
    schedule();
}

void load_report::recordStart(instant sentAt)
{
    m_longestStart = std::max(m_longestStart, m_loop.now() - sentAt);
}

void load_report::recordStoreCall(instant sentAt)
{
    m_longestStoreCall = std::max(m_longestStoreCall, m_loop.now() - sentAt);
}

void load_report::recordWorkersAge()
{
    // A new owner that has not read the list of workers yet has no age to report.
    if (m_core.workersAsOf() == instant())
        return;
    m_highestWorkersAge = std::max(m_highestWorkersAge, m_loop.now() - m_core.workersAsOf());
}

void load_report::schedule()
{
    m_loop.cancel(m_timer);
    m_timer = m_loop.callAt(m_loop.now() + reportInterval, [this] { report(); });
}

void load_report::report()
{
    const std::int64_t lateMs = milliseconds(m_loop.takeMaxLateness());
    m_metrics.set("crocuswind_loop_late_seconds", {}, double(lateMs) / 1e3);
    if (!m_core.isOwner())
        return;
    const scheduler_counters now = m_core.counters();
    const scheduler_counters &before = m_reported;
    const std::int64_t nowProcessorMs = processorMs();
    const std::int64_t rounds = m_loop.rounds();
    recordWorkersAge();
    const std::int64_t workersAgeMs
        = milliseconds(std::exchange(m_highestWorkersAge, duration::zero()));
    m_metrics.set("crocuswind_workers_age_seconds", {}, double(workersAgeMs) / 1e3);
    m_log.info("event=load epoch={} late_ms={} rounds={} processor_ms={} start_ms={} store_ms={} "
               "workers_age_ms={} accepted={} starts={} polls={} paces={} commits={} "
               "tasks_waiting={} jobs_uncommitted={} workers_unreported={} polls_held={} "
               "idle_poll_ms={} passes_held_back={}",
               m_epoch, lateMs, rounds - m_reportedRounds, nowProcessorMs - m_reportedProcessorMs,
               milliseconds(std::exchange(m_longestStart, duration::zero())),
               milliseconds(std::exchange(m_longestStoreCall, duration::zero())), workersAgeMs,
               now.accepted - before.accepted, now.starts - before.starts, now.polls - before.polls,
               now.paces - before.paces, now.commits - before.commits, now.tasksWaiting,
               now.jobsUncommitted, now.workersUnreported, now.pollsHeld, now.idlePollMs,
               now.passesHeldBack - before.passesHeldBack);
    m_reported = now;
    m_reportedProcessorMs = nowProcessorMs;
    m_reportedRounds = rounds;
    schedule();
}

} // namespace crocuswind
