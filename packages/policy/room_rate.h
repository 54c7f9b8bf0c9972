/// Learns how fast a kind of room serves work.
///
/// Load pattern: callers' estimates are off, and best-effort work is slowed down for the sake of
/// others, so that the processors in use say little about how soon a backlog is done.
#ifndef CROCUSWIND_POLICY_ROOM_RATE_H
#define CROCUSWIND_POLICY_ROOM_RATE_H

#include "base/base.h"

#include <cstdint>

namespace crocuswind::policy {

/// Relates the processors that work occupies to the estimated work that it gets done, and measures
/// the work that is accepted. All amounts are exponentially weighted sums over the last seconds.
class room_rate
{
public:
    /// Starts to measure, without any knowledge, at \p now.
    explicit room_rate(instant now);

    /// A run on \p milliCores that was bound for \p occupied has ended. \p isDone is true if its
    /// task is done, of which the caller had estimated that it runs for \p expectedMs.
    void recordEnd(instant now, std::int64_t milliCores, duration occupied, std::int64_t expectedMs,
                   bool isDone);

    /// Work of \p milliCoreMs, as estimated, was accepted.
    void recordAccepted(instant now, double milliCoreMs);

    /// Returns how much estimated work a processor does in the time that it is occupied, at least
    /// 0.2 and at most 5. It is 1 until runs have ended.
    double efficiency() const;

    /// Returns the estimated work that is accepted per time, in thousandths of a core.
    double acceptedMilliCores(instant now) const;

private:
    void decay(instant now);

    instant m_begunAt;
    instant m_updatedAt;
    double m_occupied = 0; ///< In thousandths of a core times milliseconds, like all work.
    double m_done = 0;
    double m_accepted = 0;
};

} // namespace crocuswind::policy

#endif
