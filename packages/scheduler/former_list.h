/// Defines the list of workers that an owner found in the store, and bounds when it was written.
/// Private to the package.
#ifndef CROCUSWIND_SCHEDULER_FORMER_LIST_H
#define CROCUSWIND_SCHEDULER_FORMER_LIST_H

#include "worker_list.h"

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace crocuswind::scheduler {

/// The silent and misdirected leases and the unanswered runs of a list of workers, which each last
/// until a fixed time after the list was written. The hosts share no clock; they both know the
/// clocks of the workers, so that a worker's clock tells the reader how long ago that was at least.
class former_list
{
public:
    former_list() = default;

    /// A list that was written at \p writtenBy at the latest.
    former_list(const worker_list &list, instant writtenBy);

    /// The clock of this incarnation of a worker read \p clockMs at \p now at the latest. Returns
    /// true if this bounds the time of writing more closely.
    bool noteClock(const worker_id &worker, std::int64_t incarnationStartUnixMs,
                   std::int64_t clockMs, instant now);

    /// Returns the latest time at which the list can have been written.
    instant writtenBy() const { return m_writtenBy; }

    /// Returns true if the list has witnesses, and none of their clocks is known.
    bool isUndated() const { return !m_witnesses.empty() && !m_isDated; }

    /// Returns the lease of a silent worker as stored, or null.
    const silent_lease *find(const worker_id &worker) const;

    /// Returns the latest time at which the lease lapses.
    instant lapseOf(const silent_lease &lease) const { return lapseAfter(lease.timeLeftMs); }
    instant lapseOf(const misdirected_lease &lease) const { return lapseAfter(lease.timeLeftMs); }
    /// Returns the latest time at which the runs end.
    instant endOf(const unanswered_runs &runs) const { return lapseAfter(runs.timeLeftMs); }

    const std::map<worker_id, silent_lease> &silent() const { return m_silent; }
    const std::vector<misdirected_lease> &misdirected() const { return m_misdirected; }
    const std::vector<unanswered_runs> &unanswered() const { return m_unanswered; }
    bool namesUnanswered() const { return m_namesUnanswered; }
    const std::optional<owner_moment> &writtenAt() const { return m_writtenAt; }
    const std::vector<clock_witness> &witnesses() const { return m_witnesses; }

private:
    instant lapseAfter(std::int64_t timeLeftMs) const;

    std::map<worker_id, silent_lease> m_silent;
    std::vector<misdirected_lease> m_misdirected;
    std::vector<unanswered_runs> m_unanswered;
    bool m_namesUnanswered = false;
    std::optional<owner_moment> m_writtenAt;
    std::vector<clock_witness> m_witnesses;
    instant m_writtenBy;
    bool m_isDated = false;
};

} // namespace crocuswind::scheduler

#endif
