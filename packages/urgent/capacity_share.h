/// Defines how the slots and connections of runners are divided between the seats of a data centre,
/// and when this host may use its share (design 2.4).
#ifndef CROCUSWIND_URGENT_CAPACITY_SHARE_H
#define CROCUSWIND_URGENT_CAPACITY_SHARE_H

#include "base/base.h"

#include <algorithm>
#include <optional>

namespace crocuswind {

/// Returns how many of \p total units (slots or connections) of \p runner belong to seat number
/// \p seat out of \p seats. The shares of all seats add up to \p total. The remainder of the
/// division is given to seats in an order that is rotated by a hash of the runner's name, so that
/// no seat is favoured across all runners.
inline int seatShare(int total, const runner_id &runner, int seat, int seats)
{
    const int rotation = int(stableHash(runner.value) % std::uint64_t(seats));
    const int position = (seat + rotation) % seats;
    return total / seats + (position < total % seats ? 1 : 0);
}

/// Tracks whether this host holds a seat and may dispatch with it.
class capacity_share
{
public:
    /// \p quarantine is how long a newly acquired share stays unused if its former holder may still
    /// have requests running.
    explicit capacity_share(duration quarantine)
        : m_quarantine(quarantine)
    { }

    /// Acquires a seat, or renews the held seat until a new \p validUntil. A newly acquired seat is
    /// usable immediately if its former holder released it, otherwise after the quarantine.
    void grant(instant now, int seat, int seats, instant validUntil, bool wasReleased)
    {
        CROCUSWIND_INVARIANT(seats >= 1 && seat >= 0 && seat < seats, std::to_string(seat));
        const bool isHeld = m_seat == seat && m_seats == seats && now < m_validUntil;
        if (!isHeld)
            m_usableFrom = wasReleased ? now : now + m_quarantine;
        m_seat = seat;
        m_seats = seats;
        m_validUntil = validUntil;
    }

    void lose() { m_seat.reset(); }

    /// Returns true if a seat is held, valid and out of quarantine.
    bool mayDispatch(instant now) const { return isHeld(now) && now >= m_usableFrom; }

    /// Returns true if a seat is held and valid; it may still be in quarantine.
    bool isHeld(instant now) const { return m_seat && now < m_validUntil; }

    /// Returns when the share becomes usable. Meaningful only while a seat is held.
    instant usableFrom() const { return m_usableFrom; }

    /// Returns when the seat expires unless it is renewed. Meaningful only while a seat is held.
    instant validUntil() const { return m_validUntil; }

    /// Returns this host's share of \p total units of a runner, or 0 without a seat.
    int shareOf(int total, const runner_id &runner) const
    {
        return m_seat ? seatShare(total, runner, *m_seat, m_seats) : 0;
    }

private:
    duration m_quarantine;
    std::optional<int> m_seat;
    int m_seats = 1;
    instant m_usableFrom;
    instant m_validUntil;
};

} // namespace crocuswind

#endif
