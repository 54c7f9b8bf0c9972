/// Bounds the leases that earlier owners of the jobs may have granted to workers, and relates the
/// times that earlier owners stored to this host's clock.
#ifndef CROCUSWIND_SCHEDULER_EARLIER_AUTHORITY_H
#define CROCUSWIND_SCHEDULER_EARLIER_AUTHORITY_H

#include "base/base.h"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>

namespace crocuswind::scheduler {

/// Maximum relative difference of the rates of two hosts' clocks.
constexpr double maxClockRateDifference = 0.02;

/// A moment on the clock of the owner of an epoch.
struct owner_moment
{
    std::int64_t epoch = 0;
    std::int64_t clockMs = 0;

    friend bool operator==(const owner_moment &a, const owner_moment &b)
    {
        return a.epoch == b.epoch && a.clockMs == b.clockMs;
    }
};

/// Until when earlier owners could extend leases of workers. Each host keeps its own record, on its
/// own clock: once it sees an owner of a later epoch, the store confirms no earlier one any more.
class earlier_authority
{
public:
    earlier_authority() = default;

    /// All owners up to \p epoch extend leases until \p end at the latest. Of several bounds, the
    /// earliest counts.
    void limit(std::int64_t epoch, instant end);

    /// Returns when the authority of all owners up to \p epoch has ended, or instant::max() if no
    /// later owner is known.
    instant endOf(std::int64_t epoch) const;

    /// Sets the last epoch whose owner may have granted leases: no later one was confirmed.
    void setLastConfirmedEpoch(std::int64_t epoch) { m_lastConfirmedEpoch = epoch; }

    /// Returns the last of the epochs before \p epoch whose owner may have granted leases.
    std::int64_t lastConfirmedEpochBefore(std::int64_t epoch) const;

    /// The clock of the owner of \p epoch read \p clockMs at \p now at the latest.
    void noteClock(std::int64_t epoch, std::int64_t clockMs, instant now);

    /// Returns the latest time at which the moment may have been, or nothing if this host has not
    /// seen that owner's clock. The rates of the two clocks may differ by maxClockRateDifference.
    std::optional<instant> latestTimeOf(const owner_moment &moment) const;

    /// Forgets the bounds that do not differ from others by \p now, because both have passed.
    void forgetBefore(instant now);

private:
    struct clock_sight
    {
        std::int64_t clockMs = 0;
        instant at;
    };

    /// The ends by epoch. They increase with the epoch.
    std::map<std::int64_t, instant> m_ends;
    std::optional<std::int64_t> m_lastConfirmedEpoch;
    /// The last readings of the owners' clocks, by epoch.
    std::map<std::int64_t, std::deque<clock_sight>> m_clocks;
};

} // namespace crocuswind::scheduler

#endif
