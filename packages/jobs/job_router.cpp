#include "job_router.h"

#include <utility>

namespace crocuswind {

using scheduler::call_token;
using scheduler::job_call;
using scheduler::job_call_kind;
using scheduler::job_outcome;
using scheduler::job_reply;

namespace {

/// Calls wait this long for a new owner, which usually takes over within this time. Afterwards they
/// are refused, those that wait and new ones at once, until an owner is reachable.
constexpr duration ownerChangeGracePeriod = 2500ms;

/// Retry delay given to a caller that is refused because no owner is reachable.
constexpr std::int64_t noOwnerRetryAfterMs = 1000;

/// Delay before a call that was answered `not_owner` is sent again: the ownership of that host is
/// changing, so the next attempt may succeed or find another owner.
constexpr duration notOwnerRetryInterval = 60ms;

bool isMutation(const job_call &call)
{
    return call.kind == job_call_kind::submit || call.kind == job_call_kind::cancel;
}

bool reportsNoEffect(job_outcome outcome)
{
    return outcome == job_outcome::refused || outcome == job_outcome::not_found
        || outcome == job_outcome::not_owner;
}

} // namespace

job_router::job_router(event_loop &loop, random_source &random, job_call_sender sender)
    : m_loop(loop)
    , m_sender(std::move(sender))
    , m_unreachableSince(loop.now())
    , m_tokens(random)
{
    scheduleRefusals();
}

job_router::~job_router()
{
    m_loop.cancel(m_refusalTimer);
    for (auto &[token, pending] : m_pending) {
        m_loop.cancel(pending.deadlineTimer);
        m_loop.cancel(pending.resendTimer);
    }
}

void job_router::call(job_call call, instant deadline, done_callback done)
{
    ++m_counters.calls;
    const call_token token = m_tokens.next();
    call.token = token;
    pending_call &pending = m_pending[token];
    pending.call = std::move(call);
    pending.deadline = deadline;
    pending.done = std::move(done);
    pending.deadlineTimer = m_loop.callAt(deadline, [this, token] { onDeadline(token); });
    const bool isOwnerMissing
        = m_unreachableSince && m_loop.now() - *m_unreachableSince > ownerChangeGracePeriod;
    if (m_isStopped || isOwnerMissing) {
        onDeadline(token);
        return;
    }
    trySend(pending);
}

void job_router::stop()
{
    m_isStopped = true;
    std::vector<call_token> open;
    for (const auto &[token, pending] : m_pending)
        open.push_back(token);
    for (call_token token : open)
        onDeadline(token);
}

void job_router::trySend(pending_call &pending)
{
    if (!m_owner || pending.awaitingReplyFrom)
        return;
    const std::optional<host_id> previouslySentTo = pending.lastSentTo;
    pending.call.timeLeftMs = millisecondsLeft(m_loop.now(), pending.deadline);
    // The sender may deliver the reply before it returns, which erases this pending call.
    pending.awaitingReplyFrom = m_owner;
    pending.lastSentTo = m_owner;
    const call_token token = pending.call.token;
    const bool isSent = m_sender(*m_owner, pending.call);
    const auto found = m_pending.find(token);
    if (found == m_pending.end())
        return;
    if (!isSent) {
        found->second.awaitingReplyFrom.reset();
        found->second.lastSentTo = previouslySentTo;
        return;
    }
    if (previouslySentTo)
        ++m_counters.resends;
}

void job_router::sendUnsent()
{
    std::vector<call_token> waiting;
    for (const auto &[token, pending] : m_pending) {
        if (!pending.awaitingReplyFrom)
            waiting.push_back(token);
    }
    for (call_token token : waiting) {
        const auto found = m_pending.find(token);
        if (found != m_pending.end())
            trySend(found->second);
    }
}

void job_router::setReachable(bool isReachable)
{
    if (isReachable) {
        m_unreachableSince.reset();
        m_loop.cancel(m_refusalTimer);
    } else if (!m_unreachableSince) {
        m_unreachableSince = m_loop.now();
        scheduleRefusals();
    }
}

void job_router::scheduleRefusals()
{
    m_refusalTimer
        = m_loop.callAt(*m_unreachableSince + ownerChangeGracePeriod, [this] { refuseUnsent(); });
}

// Refuses the calls that certainly have had no effect, rather than let them wait for their
// deadline. Those that an owner may have carried out wait on.
void job_router::refuseUnsent()
{
    std::vector<call_token> waiting;
    for (const auto &[token, pending] : m_pending) {
        if (!pending.lastSentTo || !isMutation(pending.call))
            waiting.push_back(token);
    }
    for (call_token token : waiting)
        onDeadline(token);
}

void job_router::setOwner(const std::optional<host_id> &owner)
{
    if (m_owner == owner)
        return;
    m_owner = owner;
    for (auto &[token, pending] : m_pending)
        pending.awaitingReplyFrom.reset();
    setReachable(false);
}

void job_router::onHostReachable(const host_id &host)
{
    if (m_owner != host)
        return;
    setReachable(true);
    sendUnsent();
}

void job_router::onHostUnreachable(const host_id &host)
{
    if (m_owner != host)
        return;
    setReachable(false);
    for (auto &[token, pending] : m_pending) {
        if (pending.awaitingReplyFrom == host)
            pending.awaitingReplyFrom.reset();
    }
}

void job_router::onReply(const host_id &from, const job_reply &reply)
{
    if (!m_tokens.isIssued(reply.token)) {
        ++m_counters.foreignReplies;
        return;
    }
    const auto found = m_pending.find(reply.token);
    if (found == m_pending.end())
        return;
    pending_call &pending = found->second;
    // A former owner's reply that the call had no effect is ignored: the owner to which the call
    // was sent afterwards may still carry it out.
    if (reportsNoEffect(reply.outcome) && pending.lastSentTo != from)
        return;
    if (reply.outcome != job_outcome::not_owner) {
        finish(reply.token, reply);
        return;
    }
    if (pending.awaitingReplyFrom != from)
        return;
    const call_token token = reply.token;
    m_loop.cancel(pending.resendTimer);
    pending.resendTimer = m_loop.callAt(m_loop.now() + notOwnerRetryInterval, [this, token] {
        const auto again = m_pending.find(token);
        if (again == m_pending.end())
            return;
        again->second.awaitingReplyFrom.reset();
        trySend(again->second);
    });
}

void job_router::onDeadline(call_token token)
{
    const auto found = m_pending.find(token);
    if (found == m_pending.end())
        return;
    const pending_call &pending = found->second;
    job_reply reply;
    reply.token = token;
    reply.outcome = job_outcome::no_answer;
    if (!pending.lastSentTo || !isMutation(pending.call)) {
        reply.outcome = job_outcome::refused;
        reply.reason = "no host owns the jobs at present";
        reply.retryAfterMs = noOwnerRetryAfterMs;
        ++m_counters.refusedWithoutOwner;
    } else {
        ++m_counters.unanswered;
    }
    finish(token, reply);
}

void job_router::finish(call_token token, const job_reply &reply)
{
    const auto found = m_pending.find(token);
    const done_callback done = std::move(found->second.done);
    m_loop.cancel(found->second.deadlineTimer);
    m_loop.cancel(found->second.resendTimer);
    m_pending.erase(found);
    done(reply);
}

} // namespace crocuswind
