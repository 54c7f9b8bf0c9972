/// Forwards callers' calls to the host that owns the jobs and returns its replies.
#ifndef CROCUSWIND_JOBS_JOB_ROUTER_H
#define CROCUSWIND_JOBS_JOB_ROUTER_H

#include "base/base.h"
#include "held_calls.h"
#include "io/io.h"
#include "life_tokens.h"
#include "policy/policy.h"
#include "scheduler/scheduler.h"

#include <functional>
#include <map>
#include <optional>

namespace crocuswind {

/// Sends a call to a host. Returns false if the call was not sent, so that the host cannot have
/// carried it out.
using job_call_sender = std::function<bool(const host_id &owner, const scheduler::job_call &call)>;

/// Counters of a router.
struct job_router_counters
{
    std::int64_t calls = 0;
    std::int64_t resends = 0; ///< Calls sent again after the owner changed or the link broke.
    std::int64_t unanswered = 0; ///< Mutating calls whose outcome is unknown at the deadline.
    std::int64_t refusedWithoutOwner = 0;
    std::int64_t foreignReplies = 0; ///< Dropped replies to calls of a former process of this host.
};

/// Keeps each call until it is answered or its deadline passes. Sends the call again when the owner
/// changes or the connection to it breaks; this is safe because the owner treats repeated calls as
/// one.
class job_router
{
public:
    using done_callback = std::function<void(const scheduler::job_reply &reply)>;

    /// \p random is used during the construction only. Processes of a host must get different
    /// numbers from it, so that a reply to a former one is recognized.
    job_router(event_loop &loop, random_source &random, job_call_sender sender);
    ~job_router();
    job_router(const job_router &) = delete;
    job_router &operator=(const job_router &) = delete;

    /// Sends a call to the owner. \p done is called exactly once, at \p deadline at the latest,
    /// possibly before this function returns.
    void call(scheduler::job_call call, instant deadline, done_callback done);

    /// Answers all calls at once, as at their deadlines, and from now on each new one. For a
    /// process that is about to end.
    void stop();

    /// Sets the owner of the jobs, or nothing if no host owns them.
    void setOwner(const std::optional<host_id> &owner);

    /// Sets whether this host sees in the store which host owns the jobs.
    void setOwnerVisible(bool isVisible);

    /// Sets whether neither the owner nor the store has been heard for long. New calls are refused
    /// then: a link that is cut would take them, and their outcome would be unknown.
    void setSilent(bool isSilent);

    /// The connection to \p host has been established, or has been lost.
    void onHostReachable(const host_id &host);
    void onHostUnreachable(const host_id &host);

    /// Handles the reply of the host \p from to a call that was sent to it. A reply to a call of a
    /// former process of this host is dropped and counted.
    void onReply(const host_id &from, const scheduler::job_reply &reply);

    /// Returns what this host knows of the owner, by which calls are refused.
    const policy::owner_contact &contact() const { return m_contact; }

    const held_calls &held() const { return m_held; }

    const job_router_counters &counters() const { return m_counters; }

private:
    struct pending_call
    {
        scheduler::job_call call;
        instant arrivedAt;
        instant deadline;
        done_callback done;
        /// The host whose reply is awaited. Empty if the call is to be sent.
        std::optional<host_id> awaitingReplyFrom;
        /// The last host that the call was sent to. It may have carried out the call.
        std::optional<host_id> lastSentTo;
        bool isToldOfTakeover = false; ///< The last host that answered did not own the jobs.
        timer_id deadlineTimer = 0;
        timer_id resendTimer = 0;
    };

    void trySend(pending_call &pending);
    void sendUnsent();
    void finish(scheduler::call_token token, const scheduler::job_reply &reply);
    void onDeadline(scheduler::call_token token);
    void setReachable(bool isReachable);
    void scheduleRefusals();
    void refuseUnsent();
    call_wait waitOf(const pending_call &pending) const;

    event_loop &m_loop;
    job_call_sender m_sender;
    std::optional<host_id> m_owner;
    policy::owner_contact m_contact;
    bool m_isStopped = false;
    life_tokens m_tokens;
    std::map<scheduler::call_token, pending_call> m_pending;
    job_router_counters m_counters;
    held_calls m_held;
    timer_id m_refusalTimer = 0;
};

} // namespace crocuswind

#endif
