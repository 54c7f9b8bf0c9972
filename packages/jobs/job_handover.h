/// Decides when an owner of the jobs that is stopping gives up its ownership.
#ifndef CROCUSWIND_JOBS_JOB_HANDOVER_H
#define CROCUSWIND_JOBS_JOB_HANDOVER_H

#include "io/io.h"
#include "scheduler/scheduler.h"

#include <set>

namespace crocuswind {

/// Waits until another host can succeed the owner and the changes of its core are durable, and then
/// resigns from the election.
class job_handover
{
public:
    /// \p log, \p core and \p election must outlive this object.
    job_handover(event_loop &loop, const logger &log, scheduler::scheduler_core &core,
                 scheduler::owner_election &election);
    ~job_handover();
    job_handover(const job_handover &) = delete;
    job_handover &operator=(const job_handover &) = delete;

    /// The host has a link to this one and is not stopping, so that it can become the owner.
    void addCandidate(const host_id &host);
    /// The host is stopping, or the link to it was closed.
    void removeCandidate(const host_id &host);

    /// Begins to hand over. The owner resigns at \p deadline at the latest. Does nothing on a host
    /// that is not the owner.
    void begin(instant deadline);

private:
    bool canHandOver();
    void poll();

    event_loop &m_loop;
    const logger &m_log;
    scheduler::scheduler_core &m_core;
    scheduler::owner_election &m_election;
    std::set<host_id> m_candidates;
    instant m_deadline;
    bool m_isHandingOver = false; ///< The core accepts no calls any more; tasks still start.
    bool m_isDeferred = false;
    timer_id m_timer = 0;
};

} // namespace crocuswind

#endif
