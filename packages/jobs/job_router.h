/// Brings callers' calls to the host that owns the jobs, and the answers back.
#ifndef CROCUSWIND_JOBS_JOB_ROUTER_H
#define CROCUSWIND_JOBS_JOB_ROUTER_H

#include "io/io.h"
#include "scheduler/scheduler.h"

#include <functional>
#include <map>
#include <optional>

namespace crocuswind {

/// Sends a call to a host. Returns false if nothing was sent.
using job_call_sender = std::function<bool(const host_id &owner, const scheduler::job_call &call)>;

/// Counters of a router.
struct job_router_counters
{
    std::int64_t calls = 0;
    std::int64_t repeats = 0; ///< Calls sent again, after a change of the owner or a broken link.
    std::int64_t unanswered = 0; ///< Calls that ended without a known outcome.
    std::int64_t refusedWithoutOwner = 0;
};

/// Keeps each call until it is answered or its deadline has come, and sends it again when the owner
/// changes or the way to it breaks; the owner takes repeated calls as one.
class job_router
{
public:
    using done_callback = std::function<void(const scheduler::job_reply &reply)>;

    job_router(event_loop &loop, job_call_sender sender);
    ~job_router();
    job_router(const job_router &) = delete;
    job_router &operator=(const job_router &) = delete;

    /// Sends a call; \p done is called exactly once, by \p deadline, maybe from within this call.
    void call(scheduler::job_call call, instant deadline, done_callback done);

    /// The owner has changed, or there is none.
    void setOwner(const std::optional<host_id> &owner);

    /// The way to \p host can be used, or is broken.
    void onPathUp(const host_id &host);
    void onPathDown(const host_id &host);

    void onReply(const host_id &from, const scheduler::job_reply &reply);

    /// Returns since when calls cannot reach an owner, or nothing if they can.
    std::optional<instant> unreachableSince() const { return m_unreachableSince; }

    const job_router_counters &counters() const { return m_counters; }

private:
    struct pending_call
    {
        scheduler::job_call call;
        instant deadline;
        done_callback done;
        std::optional<host_id> sentTo; ///< Whose answer is awaited.
        std::optional<host_id> lastSentTo; ///< An owner that may have carried it out.
        timer_id timer = 0;
        timer_id resend = 0;
    };

    void trySend(pending_call &pending);
    void sendWaiting();
    void finish(scheduler::call_token token, const scheduler::job_reply &reply);
    void onDeadline(scheduler::call_token token);
    void notePath(bool isUp);

    event_loop &m_loop;
    job_call_sender m_sender;
    std::optional<host_id> m_owner;
    std::optional<instant> m_unreachableSince;
    scheduler::call_token m_lastToken = 0;
    std::map<scheduler::call_token, pending_call> m_pending;
    job_router_counters m_counters;
};

} // namespace crocuswind

#endif
