#include "session_core.h"

#include "seat_record.h"

#include <algorithm>
#include <fmt/format.h>

namespace crocuswind {

namespace {

/// Slack after a deadline before a missing answer of the adapter is treated as lost.
constexpr duration answerSlack = 1s;

/// Longest time that a release may take; then the process may end and the lease lapses.
constexpr duration releaseLimit = 3s;

/// The only seat of a data centre is used without the store; the permission is renewed this far
/// ahead.
constexpr duration onlySeatPeriod = 2s;

} // namespace

session_core::session_core(session_settings settings)
    : m_settings(std::move(settings))
{ }

std::vector<session_core::action> session_core::handle(const event &e)
{
    m_now = e.now;
    m_actions.clear();
    if (m_isReleased)
        return {};
    if (m_plannedWake && m_now > *m_plannedWake + m_settings.pauseLimit)
        on(session_pause_detected());
    std::visit([this](const auto &what) { on(what); }, e.what);
    for (pending_call *slot : {&m_leaseCall, &m_seatCall}) {
        if (slot->what != pending_call::purpose::none && m_now >= slot->deadline + answerSlack)
            on(cluster_store_answer{slot->token, tl::unexpected(store_error::no_answer)});
    }
    if (m_releaseDeadline)
        startReleaseCalls();
    else
        startCalls();
    reportUse();
    if (!m_isReleased) {
        m_plannedWake = nextWake();
        m_actions.push_back(cluster_wake_at{*m_plannedWake});
    }
    return std::move(m_actions);
}

void session_core::on(const cluster_tick &) { }

void session_core::on(const cluster_store_answer &e)
{
    if (e.token == m_leaseCall.token && m_leaseCall.what != pending_call::purpose::none) {
        const pending_call done = m_leaseCall;
        m_leaseCall = pending_call();
        onLeaseAnswer(done, e.result);
    } else if (e.token == m_seatCall.token && m_seatCall.what != pending_call::purpose::none) {
        const pending_call done = m_seatCall;
        m_seatCall = pending_call();
        onSeatAnswer(done, e.result);
    }
}

void session_core::on(const session_pause_detected &)
{
    m_unconfirmedSince = m_now;
    m_hasStoreFailedSinceWake = false;
    // The clock may have stood still, so neither the lease nor an answer of a peer proves anything.
    m_heard.reset();
    if (m_leaseUntil > m_now) {
        m_leaseUntil = m_now;
        m_actions.push_back(session_changed{m_lease, m_leaseUntil, m_isStoreReachable});
    }
    // An answer to a call from before the pause proves nothing, so the call is made again.
    if (m_leaseCall.what == pending_call::purpose::renew)
        m_leaseCall = pending_call();
    m_nextLeaseCall = m_now;
    m_leaseFailures = 0;
}

void session_core::on(const cluster_peer_report &e)
{
    if (m_held) {
        for (const seat_claim &c : e.claims) {
            if (c.seat != m_held->seat)
                continue;
            if (c.epoch > m_held->epoch) {
                loseSeat(fmt::format("{} reports that {} holds the seat now", e.host.value,
                                     c.holder.value));
                return;
            }
            if (c.epoch == m_held->epoch && m_held->acknowledged.insert(e.host).second)
                m_held->lastAcknowledged = m_now;
        }
    }
    // A peer that has not read the seats since its start may have forgotten a higher claim.
    if (!e.seatsKnown)
        return;
    if (!m_heard || e.probeSent > *m_heard)
        m_heard = e.probeSent;
    if (m_unconfirmedSince && e.probeSent >= *m_unconfirmedSince)
        m_unconfirmedSince.reset();
}

void session_core::on(const cluster_local_peers &e)
{
    m_localPeers = {e.hosts.begin(), e.hosts.end()};
}

void session_core::on(const session_release &)
{
    if (!m_releaseDeadline)
        m_releaseDeadline = m_now + releaseLimit;
    m_nextSeatCall = m_now;
}

void session_core::call(pending_call *slot, pending_call::purpose what, store_operation operation)
{
    const bool isRenewal = what == pending_call::purpose::renew;
    *slot = {what, ++m_lastToken, m_now,
             m_now + (isRenewal ? m_settings.renewTimeout : m_settings.callTimeout)};
    m_actions.push_back(cluster_store_call{slot->token, std::move(operation), slot->deadline});
}

void session_core::onLeaseAnswer(const pending_call &done, const store_result &result)
{
    const bool wasReachable = m_isStoreReachable;
    m_isStoreReachable = bool(result);
    if (!result) {
        ++m_leaseFailures;
        m_hasStoreFailedSinceWake = true;
        m_nextLeaseCall = m_now + leaseRetryPause(done.sent);
        if (wasReachable)
            m_actions.push_back(session_changed{m_lease, m_leaseUntil, false});
        return;
    }
    m_leaseFailures = 0;
    m_nextLeaseCall = std::max(m_now, done.sent + m_settings.renewPause);
    if (done.what == pending_call::purpose::renew && result->ttlSeconds <= 0) {
        loseLease("the lease has lapsed");
        return;
    }
    if (done.what == pending_call::purpose::grant) {
        m_lease = result->lease;
        m_nextSeatCall = m_now;
    }
    // The store counts from a later moment, so the lease never ends there before it ends here.
    m_leaseUntil = done.sent + m_settings.leaseTtl;
    if (m_unconfirmedSince && done.sent >= *m_unconfirmedSince)
        m_unconfirmedSince.reset();
    m_actions.push_back(session_changed{m_lease, m_leaseUntil, true});
}

void session_core::onSeatAnswer(const pending_call &done, const store_result &result)
{
    if (!result) {
        // The read that follows shows whether a claim without an answer took effect.
        m_nextSeatCall = m_now + m_settings.retryPause;
        return;
    }
    m_nextSeatCall = m_now;
    if (done.what == pending_call::purpose::read_seats) {
        onSeatsRead(*result);
    } else if (done.what == pending_call::purpose::claim && m_pending) {
        if (result->succeeded && m_pending->lease == m_lease) {
            m_pending->epoch = result->revision;
            adopt(*m_pending);
        } else if (!result->succeeded) {
            m_pending.reset();
            m_nextSeatCall = m_now + m_settings.retryPause;
        }
    } else if (done.what == pending_call::purpose::release) {
        // Whether it took effect now or on an earlier attempt, the seat is no longer held.
        if (m_held)
            m_actions.push_back(session_claim_changed{std::nullopt});
        m_held.reset();
    } else if (done.what == pending_call::purpose::revoke) {
        m_isReleased = true;
        m_actions.push_back(session_released());
    }
}

void session_core::onSeatsRead(const store_reply &reply)
{
    const auto entries = seatEntries(m_settings.dataCentre, m_settings.seats, reply.entries);
    cluster_seats_read learned;
    const seat_entry *own = nullptr;
    const seat_entry *free = nullptr;
    // Different hosts begin their search at different seats, so that they rarely race for one.
    const int first = m_cleanSeat.value_or(
        int(stableHash(m_settings.self.value) % std::uint64_t(m_settings.seats)));
    std::string problem = "all seats are held by other hosts";
    bool isCountDifferent = false;
    for (const seat_entry &e : entries) {
        // The record of the last holder is written together with its claim, so its revision is the
        // claim's epoch, and it tells of a claim that has lapsed since.
        if (e.last)
            learned.claims.push_back({e.seat, e.lastModRevision, e.last->host});
        if (!e.holder) {
            const auto distance = [&](const seat_entry &s) {
                return (s.seat - first + m_settings.seats) % m_settings.seats;
            };
            if (free == nullptr || distance(e) < distance(*free))
                free = &e;
            continue;
        }
        if (e.holder->host == m_settings.self
            && e.holder->incarnationNumber == m_settings.incarnationNumber && e.lease == m_lease)
            own = &e;
        else if (e.holder->seats != m_settings.seats)
            isCountDifferent = true;
    }
    m_actions.push_back(std::move(learned));
    if (own != nullptr) {
        held_seat seat;
        if (m_pending && m_pending->seat == own->seat) {
            seat = *m_pending;
        } else {
            // The state before the claim is not known any more.
            seat.seat = own->seat;
            seat.needsQuarantine = true;
        }
        seat.epoch = own->epoch;
        seat.lease = m_lease;
        adopt(seat);
        return;
    }
    if (isCountDifferent) {
        problem = fmt::format("another host splits the runners by a number of seats other than {}",
                              m_settings.seats);
    } else if (free != nullptr) {
        claim(*free);
        return;
    }
    m_seatProblem = problem;
    m_pending.reset();
    m_nextSeatCall = m_now + m_settings.spareSeatPause;
}

void session_core::claim(const seat_entry &entry)
{
    held_seat seat;
    seat.seat = entry.seat;
    seat.lease = m_lease;
    if (entry.last && !entry.last->isReleased) {
        seat.former = entry.last->host;
        const bool isSameLife = entry.last->host == m_settings.self
            && entry.last->incarnationNumber == m_settings.incarnationNumber;
        seat.needsQuarantine = !(isSameLife && m_cleanSeat == entry.seat);
    }
    m_cleanSeat.reset();
    // The claim may be repeated. An earlier one that takes effect late makes this one fail.
    if (m_pending && m_pending->seat == seat.seat && m_pending->needsQuarantine)
        seat.needsQuarantine = true;
    m_pending = seat;
    const seat_record record{m_settings.self, m_settings.incarnationNumber, m_settings.seats,
                             false};
    const std::string key = seatKey(m_settings.dataCentre, entry.seat);
    const std::string last = lastHolderKey(m_settings.dataCentre, entry.seat);
    store_transaction t;
    t.compares.push_back({key, store_compare::property::version, 0, {}});
    t.compares.push_back({last, store_compare::property::mod_revision, entry.lastModRevision, {}});
    t.puts.push_back({key, encodeSeat(record), m_lease});
    t.puts.push_back({last, encodeSeat(record), 0});
    call(&m_seatCall, pending_call::purpose::claim, std::move(t));
}

void session_core::adopt(held_seat seat)
{
    seat.claimed = m_now;
    m_pending.reset();
    m_held = std::move(seat);
    m_actions.push_back(
        session_claim_changed{seat_claim{m_held->seat, m_held->epoch, m_settings.self}});
}

void session_core::loseSeat(const std::string &reason)
{
    m_pending.reset();
    m_seatProblem = reason;
    m_nextSeatCall = m_now;
    if (!m_held)
        return;
    m_held.reset();
    m_actions.push_back(session_claim_changed{std::nullopt});
}

void session_core::loseLease(const std::string &reason)
{
    m_lease = 0;
    m_leaseUntil = instant();
    m_nextLeaseCall = m_now;
    m_actions.push_back(session_changed{0, m_now, m_isStoreReachable});
    loseSeat(reason);
}

void session_core::startCalls()
{
    using purpose = pending_call::purpose;
    if (m_leaseCall.what == purpose::none && m_now >= m_nextLeaseCall) {
        if (m_lease != 0) {
            call(&m_leaseCall, purpose::renew, store_lease_renewal{m_lease});
        } else {
            call(
                &m_leaseCall, purpose::grant,
                store_lease_grant{
                    std::chrono::duration_cast<std::chrono::seconds>(m_settings.leaseTtl).count()});
        }
    }
    const bool isLeaseUsable = m_lease != 0 && m_now < m_leaseUntil;
    if (!m_held && isLeaseUsable && m_seatCall.what == purpose::none && m_now >= m_nextSeatCall) {
        call(&m_seatCall, purpose::read_seats,
             store_range{seatPrefix(m_settings.dataCentre), true});
    }
}

void session_core::startReleaseCalls()
{
    using purpose = pending_call::purpose;
    if (m_now >= *m_releaseDeadline) {
        m_isReleased = true;
        m_actions.push_back(session_released());
        return;
    }
    if (m_seatCall.what != purpose::none || m_now < m_nextSeatCall)
        return;
    if (m_held && m_held->lease == m_lease) {
        // A share that this host has not waited out must be waited out by the next holder.
        const bool isClean = isQuarantineOver();
        const seat_record record{m_settings.self, m_settings.incarnationNumber, m_settings.seats,
                                 isClean};
        const std::string key = seatKey(m_settings.dataCentre, m_held->seat);
        store_transaction t;
        t.compares.push_back({key, store_compare::property::create_revision, m_held->epoch, {}});
        t.puts.push_back(
            {lastHolderKey(m_settings.dataCentre, m_held->seat), encodeSeat(record), 0});
        t.deletes.push_back({key});
        call(&m_seatCall, purpose::release, std::move(t));
    } else if (m_lease != 0) {
        call(&m_seatCall, purpose::revoke, store_lease_revocation{m_lease});
    } else {
        m_isReleased = true;
        m_actions.push_back(session_released());
    }
}

std::optional<instant> session_core::quarantineEnd() const
{
    if (!m_held->needsQuarantine)
        return m_held->claimed;
    // The former holder may have lost only the store. It goes on while a peer answers it that knows
    // of no higher claim, so every peer must have learned of this claim first. What a peer, or this
    // host, answered before counts for the hearing window, and what was dispatched then may run for
    // the dispatch limit. A former holder of the only seat goes on without any peer and must itself
    // have learned of the claim, or be known to be gone.
    for (const host_id &peer : m_localPeers) {
        const bool isExempt = peer == m_held->former && m_settings.seats > 1;
        if (!isExempt && m_held->acknowledged.count(peer) == 0)
            return std::nullopt;
    }
    return std::max(m_held->claimed, m_held->lastAcknowledged) + m_settings.hearingWindow
        + m_settings.dispatchLimit;
}

bool session_core::isQuarantineOver() const
{
    const auto end = quarantineEnd();
    return end && m_now >= *end;
}

instant session_core::usableUntil() const
{
    if (!m_held || m_releaseDeadline || m_held->lease != m_lease || !isQuarantineOver())
        return instant();
    const bool isOnlySeat = m_settings.seats == 1 && !m_isStoreReachable
        && (!m_unconfirmedSince || m_hasStoreFailedSinceWake);
    if (isOnlySeat)
        return m_now + onlySeatPeriod;
    if (m_unconfirmedSince)
        return instant();
    instant until = m_leaseUntil;
    if (!m_isStoreReachable && m_heard)
        until = std::max(until, *m_heard + m_settings.hearingWindow);
    return until;
}

void session_core::reportUse()
{
    if (m_held && isQuarantineOver()) {
        m_held->needsQuarantine = false;
        m_cleanSeat = m_held->seat;
    }
    const instant until = usableUntil();
    if (until > m_now) {
        if (!m_isGranted || until > m_grantedUntil) {
            m_actions.push_back(seat_granted{m_held->seat, m_settings.seats, m_held->epoch, until});
            m_grantedUntil = until;
        }
        m_isGranted = true;
    } else if (m_isGranted) {
        m_isGranted = false;
        m_actions.push_back(seat_lost{status(m_now)});
    }
}

std::optional<int> session_core::usableSeat(instant now) const
{
    const bool isAwake = m_plannedWake && now <= *m_plannedWake + m_settings.pauseLimit;
    if (!m_isGranted || !isAwake || now >= m_grantedUntil)
        return std::nullopt;
    return m_held->seat;
}

std::string session_core::status(instant now) const
{
    if (m_releaseDeadline)
        return "the seat is given back";
    if (!m_held) {
        if (!m_isStoreReachable)
            return "no seat: the store does not answer";
        return "no seat: " + m_seatProblem;
    }
    const std::string seat = fmt::format("seat {} of {}", m_held->seat, m_settings.seats);
    if (m_isGranted && now < m_grantedUntil)
        return seat + (m_isStoreReachable ? "" : " (without the store)");
    if (m_unconfirmedSince)
        return seat + " is not used: the process was paused and nobody has confirmed the seat";
    if (!isQuarantineOver()) {
        return seat
            + fmt::format(" is not used yet: requests of {} may still run", m_held->former.value);
    }
    return seat + " is not used: neither the store nor a peer of the data centre answers";
}

instant session_core::nextWake() const
{
    // Wakes are never far apart, so that a late one reveals a pause.
    instant next = m_now + m_settings.renewPause;
    const auto sooner = [&](instant when) {
        if (when > m_now)
            next = std::min(next, when);
    };
    for (const pending_call *slot : {&m_leaseCall, &m_seatCall}) {
        if (slot->what != pending_call::purpose::none)
            sooner(slot->deadline + answerSlack);
    }
    sooner(m_nextLeaseCall);
    if (!m_held || m_releaseDeadline)
        sooner(m_nextSeatCall);
    if (m_releaseDeadline)
        sooner(*m_releaseDeadline);
    if (m_held) {
        if (const auto end = quarantineEnd())
            sooner(*end);
    }
    if (m_isGranted)
        sooner(m_grantedUntil);
    return next;
}

duration session_core::leaseRetryPause(instant sent) const
{
    // While the lease can still be saved it is tried without a pause, else ever more slowly.
    if (m_now < m_leaseUntil)
        return std::max(duration(0), sent + m_settings.renewTimeout - m_now);
    constexpr duration longest = 2s;
    return std::min(m_settings.retryPause * (1 << std::min(m_leaseFailures, 4)), longest);
}

} // namespace crocuswind
