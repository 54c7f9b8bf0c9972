#include "job_router.h"

#include <utility>

namespace crocuswind {

using scheduler::call_token;
using scheduler::job_call;
using scheduler::job_call_kind;
using scheduler::job_outcome;
using scheduler::job_reply;

namespace {

/// A new owner has usually taken over within this time; calls wait for it. After that they are
/// refused at once until there is one.
constexpr duration ownerChangeLimit = 2500ms;

/// When to come back while no owner can be reached.
constexpr std::int64_t noOwnerRetryMs = 1000;

/// A host that has just lost or won the ownership is asked again after this time.
constexpr duration notOwnerRetryInterval = 60ms;

bool changesSomething(const job_call &call)
{
    return call.kind == job_call_kind::submit || call.kind == job_call_kind::cancel;
}

bool deniesEffect(job_outcome outcome)
{
    return outcome == job_outcome::refused || outcome == job_outcome::not_found
        || outcome == job_outcome::not_owner;
}

} // namespace

job_router::job_router(event_loop &loop, job_call_sender sender)
    : m_loop(loop)
    , m_sender(std::move(sender))
    , m_unreachableSince(loop.now())
{ }

job_router::~job_router()
{
    for (auto &[token, pending] : m_pending) {
        m_loop.cancel(pending.timer);
        m_loop.cancel(pending.resend);
    }
}

void job_router::call(job_call call, instant deadline, done_callback done)
{
    ++m_counters.calls;
    const call_token token = ++m_lastToken;
    call.token = token;
    pending_call &pending = m_pending[token];
    pending.call = std::move(call);
    pending.deadline = deadline;
    pending.done = std::move(done);
    pending.timer = m_loop.callAt(deadline, [this, token] { onDeadline(token); });
    if (m_unreachableSince && m_loop.now() - *m_unreachableSince > ownerChangeLimit) {
        onDeadline(token);
        return;
    }
    trySend(pending);
}

void job_router::trySend(pending_call &pending)
{
    if (!m_owner || pending.sentTo)
        return;
    const std::optional<host_id> before = pending.lastSentTo;
    pending.call.timeLeftMs = millisecondsLeft(m_loop.now(), pending.deadline);
    // The answer may come from within the call and end it.
    pending.sentTo = m_owner;
    pending.lastSentTo = m_owner;
    const call_token token = pending.call.token;
    const bool isSent = m_sender(*m_owner, pending.call);
    const auto found = m_pending.find(token);
    if (found == m_pending.end())
        return;
    if (!isSent) {
        found->second.sentTo.reset();
        found->second.lastSentTo = before;
        return;
    }
    if (before)
        ++m_counters.repeats;
}

void job_router::sendWaiting()
{
    std::vector<call_token> waiting;
    for (const auto &[token, pending] : m_pending) {
        if (!pending.sentTo)
            waiting.push_back(token);
    }
    for (call_token token : waiting) {
        const auto found = m_pending.find(token);
        if (found != m_pending.end())
            trySend(found->second);
    }
}

void job_router::notePath(bool isUp)
{
    if (isUp)
        m_unreachableSince.reset();
    else if (!m_unreachableSince)
        m_unreachableSince = m_loop.now();
}

void job_router::setOwner(const std::optional<host_id> &owner)
{
    if (m_owner == owner)
        return;
    m_owner = owner;
    for (auto &[token, pending] : m_pending)
        pending.sentTo.reset();
    notePath(false);
}

void job_router::onPathUp(const host_id &host)
{
    if (m_owner != host)
        return;
    notePath(true);
    sendWaiting();
}

void job_router::onPathDown(const host_id &host)
{
    if (m_owner != host)
        return;
    notePath(false);
    for (auto &[token, pending] : m_pending) {
        if (pending.sentTo == host)
            pending.sentTo.reset();
    }
}

void job_router::onReply(const host_id &from, const job_reply &reply)
{
    const auto found = m_pending.find(reply.token);
    if (found == m_pending.end())
        return;
    pending_call &pending = found->second;
    // What a former owner says that it has not done, the one that was asked after it may do.
    if (deniesEffect(reply.outcome) && pending.lastSentTo != from)
        return;
    if (reply.outcome != job_outcome::not_owner) {
        finish(reply.token, reply);
        return;
    }
    if (pending.sentTo != from)
        return;
    const call_token token = reply.token;
    m_loop.cancel(pending.resend);
    pending.resend = m_loop.callAt(m_loop.now() + notOwnerRetryInterval, [this, token] {
        const auto again = m_pending.find(token);
        if (again == m_pending.end())
            return;
        again->second.sentTo.reset();
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
    if (!pending.lastSentTo || !changesSomething(pending.call)) {
        reply.outcome = job_outcome::refused;
        reply.reason = "no host owns the jobs at present";
        reply.retryAfterMs = noOwnerRetryMs;
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
    m_loop.cancel(found->second.timer);
    m_loop.cancel(found->second.resend);
    m_pending.erase(found);
    done(reply);
}

} // namespace crocuswind
