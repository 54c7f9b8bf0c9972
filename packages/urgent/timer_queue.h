/// Defines the timers of the request core.
#ifndef CROCUSWIND_URGENT_TIMER_QUEUE_H
#define CROCUSWIND_URGENT_TIMER_QUEUE_H

#include "base/base.h"

#include <cstdint>
#include <optional>
#include <set>
#include <tuple>

namespace crocuswind {

/// The event that a timer triggers when it expires.
enum class timer_kind : std::uint8_t {
    request_deadline, ///< The deadline or start limit of a queued request.
    retry_due, ///< The backoff of a request is over.
    attempt_deadline,
    slot_release, ///< The runner must have stopped working on an attempt.
    forward_timeout,
    query_timeout,
    runner_probe, ///< An ejected runner may be probed.
    seat_change, ///< The quarantine or the validity of the seat ends.
    drain_step,
};

/// One timer. Also serves as the handle to cancel it.
struct timer
{
    instant when;
    std::uint64_t order = 0; ///< Timers of the same instant expire in the order of scheduling.
    timer_kind kind = timer_kind::drain_step;
    std::uint64_t number
        = 0; ///< Number of the request, attempt, forward, query or runner, by kind.

    friend bool operator<(const timer &a, const timer &b)
    {
        return std::tie(a.when, a.order) < std::tie(b.when, b.order);
    }
};

/// Timers ordered by expiry.
class timer_queue
{
public:
    timer schedule(instant when, timer_kind kind, std::uint64_t number)
    {
        const timer t{when, ++m_lastOrder, kind, number};
        m_timers.insert(t);
        return t;
    }

    /// Removes a timer. Does nothing if it has expired.
    void cancel(const timer &t) { m_timers.erase(t); }

    /// Removes and returns the next timer that is due at \p now.
    std::optional<timer> takeDue(instant now)
    {
        if (m_timers.empty() || m_timers.begin()->when > now)
            return std::nullopt;
        const timer t = *m_timers.begin();
        m_timers.erase(m_timers.begin());
        return t;
    }

    /// Returns when the next timer is due.
    std::optional<instant> next() const
    {
        if (m_timers.empty())
            return std::nullopt;
        return m_timers.begin()->when;
    }

    std::size_t size() const { return m_timers.size(); }

private:
    std::set<timer> m_timers;
    std::uint64_t m_lastOrder = 0;
};

} // namespace crocuswind

#endif
