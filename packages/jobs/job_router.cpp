#include "job_router.h"

#include <utility>

namespace crocuswind {

using scheduler::call_token;
using scheduler::job_call;
using scheduler::job_call_kind;
using scheduler::job_outcome;
using scheduler::job_reply;

namespace {

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
    , m_tokens(random)
{
    m_contact.unreachableSince = loop.now();
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
    pending.arrivedAt = m_loop.now();
    pending.deadline = deadline;
    pending.done = std::move(done);
    pending.deadlineTimer = m_loop.callAt(deadline, [this, token] { onDeadline(token); });
    if (m_isStopped || policy::refusesCalls(m_contact, m_loop.now())) {
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
        m_contact.unreachableSince.reset();
        m_loop.cancel(m_refusalTimer);
    } else if (!m_contact.unreachableSince) {
        m_contact.unreachableSince = m_loop.now();
        scheduleRefusals();
    }
}

void job_router::setOwnerVisible(bool isVisible)
{
    if (isVisible == !m_contact.blindSince)
        return;
    m_contact.blindSince = isVisible ? std::nullopt : std::optional<instant>(m_loop.now());
    m_contact.disownedSince.reset();
    if (m_contact.unreachableSince)
        scheduleRefusals();
}

void job_router::setSilent(bool isSilent)
{
    if (std::exchange(m_contact.isSilent, isSilent) == isSilent)
        return;
    if (m_contact.unreachableSince)
        scheduleRefusals();
    else if (isSilent)
        refuseUnsent();
}

void job_router::scheduleRefusals()
{
    m_loop.cancel(m_refusalTimer);
    m_refusalTimer = m_loop.callAt(policy::patienceEnd(m_contact), [this] { refuseUnsent(); });
}

// Refuses the calls that certainly have had no effect, rather than let them wait for their
// deadline. Those that an owner may have carried out wait on for its successor, unless this host is
// cut off: then their callers learn at another host what became of them.
void job_router::refuseUnsent()
{
    std::vector<call_token> waiting;
    for (const auto &[token, pending] : m_pending) {
        const bool isLinkLost = m_contact.unreachableSince && policy::isCutOff(m_contact);
        if (!pending.lastSentTo || !isMutation(pending.call) || isLinkLost)
            waiting.push_back(token);
    }
    for (call_token token : waiting)
        onDeadline(token);
}

call_wait job_router::waitOf(const pending_call &pending) const
{
    if (policy::isCutOff(m_contact))
        return call_wait::cut_off;
    if (m_contact.unreachableSince)
        return m_owner ? call_wait::no_link : call_wait::no_owner;
    return pending.isToldOfTakeover ? call_wait::takeover : call_wait::reply;
}

void job_router::setOwner(const std::optional<host_id> &owner)
{
    if (m_owner == owner)
        return;
    m_owner = owner;
    m_contact.disownedSince.reset();
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
        if (from == m_owner)
            m_contact.disownedSince.reset();
        finish(reply.token, reply);
        return;
    }
    if (pending.awaitingReplyFrom != from)
        return;
    const call_token token = reply.token;
    if (!m_contact.disownedSince)
        m_contact.disownedSince = m_loop.now();
    if (policy::isDisowned(m_contact, m_loop.now())) {
        onDeadline(token);
        return;
    }
    pending.isToldOfTakeover = true;
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
        reply.retryAfterMs = policy::retryAfterMs(m_contact, token);
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
    m_held.note(found->second.call, waitOf(found->second), reply.outcome,
                m_loop.now() - found->second.arrivedAt);
    m_loop.cancel(found->second.deadlineTimer);
    m_loop.cancel(found->second.resendTimer);
    m_pending.erase(found);
    done(reply);
}

} // namespace crocuswind
