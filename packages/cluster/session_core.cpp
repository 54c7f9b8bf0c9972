#include "session_core.h"

#include "seat_record.h"

#include <algorithm>
#include <fmt/format.h>

namespace crocuswind {

namespace {

/// Grace period after the deadline of a call, after which a missing result from the adapter is
/// treated as lost.
constexpr duration answerSlack = 1s;

/// Longest time that a release may take. After that the process may exit, and the lease expires.
constexpr duration releaseLimit = 3s;

/// The only seat of a data centre may be used while the store is unreachable. The permission is
/// renewed for this long at a time.
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
    if (m_plannedWake && m_now > *m_plannedWake + m_settings.maxWakeDelay)
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
    reportUsability();
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
    // The clock may have stopped during the pause, so neither the lease nor an earlier answer of a
    // peer is valid evidence.
    m_lastPeerConfirmation.reset();
    if (m_leaseUntil > m_now) {
        m_leaseUntil = m_now;
        m_actions.push_back(session_changed{m_lease, m_leaseUntil, m_isStoreReachable});
    }
    // An answer to a renewal sent before the pause is no evidence, so the renewal is sent again.
    if (m_leaseCall.what == pending_call::purpose::renew)
        m_leaseCall = pending_call();
    m_nextLeaseCall = m_now;
    m_leaseFailures = 0;
}

void session_core::on(const cluster_peer_report &e)
{
    if (m_heldSeat) {
        for (const seat_claim &c : e.claims) {
            if (c.seat != m_heldSeat->seat)
                continue;
            if (c.epoch > m_heldSeat->epoch) {
                loseSeat(fmt::format("{} reports that {} holds the seat now", e.host.value,
                                     c.holder.value));
                return;
            }
            if (c.epoch == m_heldSeat->epoch && m_heldSeat->acknowledged.insert(e.host).second)
                m_heldSeat->lastAcknowledged = m_now;
        }
    }
    // A peer that has not learned the seats since it started may be unaware of a higher claim.
    if (!e.seatsKnown)
        return;
    if (!m_lastPeerConfirmation || e.probeSent > *m_lastPeerConfirmation)
        m_lastPeerConfirmation = e.probeSent;
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
    m_nextLeaseCall = std::max(m_now, done.sent + m_settings.renewInterval);
    if (done.what == pending_call::purpose::renew && result->ttlSeconds <= 0) {
        loseLease("the lease has lapsed");
        return;
    }
    if (done.what == pending_call::purpose::grant) {
        m_lease = result->lease;
        m_nextSeatCall = m_now;
    }
    // The store counts the lease from a later time, so it never expires there before it expires
    // here.
    m_leaseUntil = done.sent + m_settings.leaseTtl;
    if (m_unconfirmedSince && done.sent >= *m_unconfirmedSince)
        m_unconfirmedSince.reset();
    m_actions.push_back(session_changed{m_lease, m_leaseUntil, true});
}

void session_core::onSeatAnswer(const pending_call &done, const store_result &result)
{
    if (!result) {
        // The next read shows whether a claim whose answer was lost took effect.
        m_nextSeatCall = m_now + m_settings.retryPause;
        return;
    }
    m_nextSeatCall = m_now;
    if (done.what == pending_call::purpose::read_seats) {
        onSeatsRead(*result);
    } else if (done.what == pending_call::purpose::claim && m_pendingClaim) {
        if (result->succeeded && m_pendingClaim->lease == m_lease) {
            m_pendingClaim->epoch = result->revision;
            holdSeat(*m_pendingClaim);
        } else if (!result->succeeded) {
            m_pendingClaim.reset();
            m_nextSeatCall = m_now + m_settings.retryPause;
        }
    } else if (done.what == pending_call::purpose::release) {
        // The seat is no longer held, whether this attempt or an earlier one took effect.
        if (m_heldSeat)
            m_actions.push_back(session_claim_changed{std::nullopt});
        m_heldSeat.reset();
    } else if (done.what == pending_call::purpose::revoke) {
        m_isReleased = true;
        m_actions.push_back(session_released());
    }
}

void session_core::onSeatsRead(const store_reply &reply)
{
    const auto entries = seatEntries(m_settings.dataCentre, m_settings.seats, reply.entries);
    cluster_seats_read seatsRead;
    const seat_entry *own = nullptr;
    const seat_entry *free = nullptr;
    // Hosts start their search at different seats, so that they rarely compete for the same one.
    const int first = m_seatPastQuarantine.value_or(
        int(stableHash(m_settings.self.value) % std::uint64_t(m_settings.seats)));
    std::string problem = "all seats are held by other hosts";
    bool isCountDifferent = false;
    for (const seat_entry &e : entries) {
        // The record of the last holder is written together with its claim, so its revision equals
        // the epoch of the claim. It remains after the claim itself has expired.
        if (e.last)
            seatsRead.claims.push_back({e.seat, e.lastModRevision, e.last->host});
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
    m_actions.push_back(std::move(seatsRead));
    if (own != nullptr) {
        held_seat seat;
        if (m_pendingClaim && m_pendingClaim->seat == own->seat) {
            seat = *m_pendingClaim;
        } else {
            // The state of the seat before the claim is unknown, so former requests may still be
            // running.
            seat.seat = own->seat;
            seat.needsQuarantine = true;
        }
        seat.epoch = own->epoch;
        seat.lease = m_lease;
        holdSeat(seat);
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
    m_pendingClaim.reset();
    m_nextSeatCall = m_now + m_settings.freeSeatPollInterval;
}

void session_core::claim(const seat_entry &entry)
{
    held_seat seat;
    seat.seat = entry.seat;
    seat.lease = m_lease;
    if (entry.last && !entry.last->isReleased) {
        seat.formerHolder = entry.last->host;
        const bool isSameIncarnation = entry.last->host == m_settings.self
            && entry.last->incarnationNumber == m_settings.incarnationNumber;
        seat.needsQuarantine = !(isSameIncarnation && m_seatPastQuarantine == entry.seat);
    }
    m_seatPastQuarantine.reset();
    // This may be a repeated claim. If an earlier attempt takes effect late, this one fails.
    if (m_pendingClaim && m_pendingClaim->seat == seat.seat && m_pendingClaim->needsQuarantine)
        seat.needsQuarantine = true;
    m_pendingClaim = seat;
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

void session_core::holdSeat(held_seat seat)
{
    seat.claimed = m_now;
    m_pendingClaim.reset();
    m_heldSeat = std::move(seat);
    m_actions.push_back(
        session_claim_changed{seat_claim{m_heldSeat->seat, m_heldSeat->epoch, m_settings.self}});
}

void session_core::loseSeat(const std::string &reason)
{
    m_pendingClaim.reset();
    m_seatProblem = reason;
    m_nextSeatCall = m_now;
    if (!m_heldSeat)
        return;
    m_heldSeat.reset();
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
    if (!m_heldSeat && isLeaseUsable && m_seatCall.what == purpose::none
        && m_now >= m_nextSeatCall) {
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
    if (m_heldSeat && m_heldSeat->lease == m_lease) {
        // If this host has not completed the quarantine, the next holder must.
        const bool isClean = isQuarantineOver();
        const seat_record record{m_settings.self, m_settings.incarnationNumber, m_settings.seats,
                                 isClean};
        const std::string key = seatKey(m_settings.dataCentre, m_heldSeat->seat);
        store_transaction t;
        t.compares.push_back(
            {key, store_compare::property::create_revision, m_heldSeat->epoch, {}});
        t.puts.push_back(
            {lastHolderKey(m_settings.dataCentre, m_heldSeat->seat), encodeSeat(record), 0});
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
    if (!m_heldSeat->needsQuarantine)
        return m_heldSeat->claimed;
    // The former holder may have lost only its connection to the store. It continues to use the
    // seat while a peer that knows of no higher claim answers its probes, so every peer must first
    // learn of this claim. An answer that a peer, or this host, sent before that remains valid
    // evidence for the peer evidence window, and requests dispatched in that time may run for the
    // dispatch limit. A former holder of the only seat continues even without any peer, so it must
    // itself have learned of the claim or be known to have stopped.
    for (const host_id &peer : m_localPeers) {
        const bool isExcluded = peer == m_heldSeat->formerHolder && m_settings.seats > 1;
        if (!isExcluded && m_heldSeat->acknowledged.count(peer) == 0)
            return std::nullopt;
    }
    return std::max(m_heldSeat->claimed, m_heldSeat->lastAcknowledged)
        + m_settings.peerEvidenceWindow + m_settings.dispatchLimit;
}

bool session_core::isQuarantineOver() const
{
    const auto end = quarantineEnd();
    return end && m_now >= *end;
}

instant session_core::usableUntil() const
{
    if (!m_heldSeat || m_releaseDeadline || m_heldSeat->lease != m_lease || !isQuarantineOver())
        return instant();
    const bool isOnlySeat = m_settings.seats == 1 && !m_isStoreReachable
        && (!m_unconfirmedSince || m_hasStoreFailedSinceWake);
    if (isOnlySeat)
        return m_now + onlySeatPeriod;
    if (m_unconfirmedSince)
        return instant();
    instant until = m_leaseUntil;
    if (!m_isStoreReachable && m_lastPeerConfirmation)
        until = std::max(until, *m_lastPeerConfirmation + m_settings.peerEvidenceWindow);
    return until;
}

void session_core::reportUsability()
{
    if (m_heldSeat && isQuarantineOver()) {
        m_heldSeat->needsQuarantine = false;
        m_seatPastQuarantine = m_heldSeat->seat;
    }
    const instant until = usableUntil();
    if (until > m_now) {
        if (!m_isGranted || until > m_grantedUntil) {
            m_actions.push_back(
                seat_granted{m_heldSeat->seat, m_settings.seats, m_heldSeat->epoch, until});
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
    const bool isAwake = m_plannedWake && now <= *m_plannedWake + m_settings.maxWakeDelay;
    if (!m_isGranted || !isAwake || now >= m_grantedUntil)
        return std::nullopt;
    return m_heldSeat->seat;
}

std::string session_core::status(instant now) const
{
    if (m_releaseDeadline)
        return "the seat is given back";
    if (!m_heldSeat) {
        if (!m_isStoreReachable)
            return "no seat: the store does not answer";
        return "no seat: " + m_seatProblem;
    }
    const std::string seat = fmt::format("seat {} of {}", m_heldSeat->seat, m_settings.seats);
    if (m_isGranted && now < m_grantedUntil)
        return seat + (m_isStoreReachable ? "" : " (without the store)");
    if (m_unconfirmedSince)
        return seat + " is not used: the process was paused and nobody has confirmed the seat";
    if (!isQuarantineOver()) {
        return seat
            + fmt::format(" is not used yet: requests of {} may still run",
                          m_heldSeat->formerHolder.value);
    }
    return seat + " is not used: neither the store nor a peer of the data centre answers";
}

instant session_core::nextWake() const
{
    // Wake-ups are always close together, so that a late one reveals a pause of the process.
    instant next = m_now + m_settings.renewInterval;
    const auto wakeBy = [&](instant when) {
        if (when > m_now)
            next = std::min(next, when);
    };
    for (const pending_call *slot : {&m_leaseCall, &m_seatCall}) {
        if (slot->what != pending_call::purpose::none)
            wakeBy(slot->deadline + answerSlack);
    }
    wakeBy(m_nextLeaseCall);
    if (!m_heldSeat || m_releaseDeadline)
        wakeBy(m_nextSeatCall);
    if (m_releaseDeadline)
        wakeBy(*m_releaseDeadline);
    if (m_heldSeat) {
        if (const auto end = quarantineEnd())
            wakeBy(*end);
    }
    if (m_isGranted)
        wakeBy(m_grantedUntil);
    return next;
}

duration session_core::leaseRetryPause(instant sent) const
{
    // While the lease is still valid, renewals are retried without a delay; afterwards with
    // exponential backoff.
    if (m_now < m_leaseUntil)
        return std::max(duration(0), sent + m_settings.renewTimeout - m_now);
    constexpr duration longest = 2s;
    return std::min(m_settings.retryPause * (1 << std::min(m_leaseFailures, 4)), longest);
}

} // namespace crocuswind
