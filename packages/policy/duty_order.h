/// Decides what the owner of the jobs does first for its workers when it cannot do all in time, how
/// often it looks at workers without runs, and when it holds starts back.
///
/// Load pattern: thousands of workers and an owner with a small share of a core. If each worker is
/// polled as often as in a small fleet, the polls of workers that run nothing take the processor
/// from the renewals of leases, and runs lapse.
#ifndef CROCUSWIND_POLICY_DUTY_ORDER_H
#define CROCUSWIND_POLICY_DUTY_ORDER_H

#include "base/base.h"

#include <cstdint>

namespace crocuswind::policy {

/// What a poll of a worker is for, in the order in which polls are sent.
enum class poll_duty {
    renewal, ///< The worker has runs, or completions that it has to be told of. Never held back.
    first, ///< The worker may have runs that the owner does not know.
    retry, ///< The worker has no runs and did not answer.
    idle, ///< The worker has no runs and answered.
};
constexpr int pollDutyCount = 4;

/// The size that bounds an owner's work.
struct owner_size
{
    /// Processors that the owner's host may use, in thousandths of a core; 0 if not known, which
    /// bounds nothing.
    std::int64_t milliCores = 0;
    std::int64_t workers = 0; ///< Workers that the owner knows.
};

/// Polls of workers without known runs, by duty.
struct poll_counts
{
    std::int64_t first = 0;
    std::int64_t retry = 0;
    std::int64_t idle = 0;
};

/// A poll that has been in flight for this long is slow: its worker may be cut off.
constexpr duration slowPoll = 300ms;

/// Returns how many polls of each duty may be sent now, with \p inFlight polls unanswered and
/// \p slow ones besides. Retries and idle polls leave most of the room to first polls. Slow polls
/// take room only once there are several times as many as others may be in flight, so that workers
/// that are cut off do not hold back the others. Without a known size there is no bound.
poll_counts allowedPolls(const owner_size &size, const poll_counts &inFlight, std::int64_t slow);

/// Returns the time between two polls of a worker without runs: \p shortest, or longer if the fleet
/// is too large for the owner to poll each worker that often.
duration idlePollInterval(const owner_size &size, duration shortest);

/// Returns the least time between two looks at all \p workers for the same purpose. It is shorter
/// than a dispatch pass takes in fleets of up to 300 workers.
duration fullScanInterval(std::int64_t workers);

/// Returns how many of \p starts tasks may start in a pass, when the last round of the owner's
/// duties took \p round. An owner that cannot renew the leases of what runs starts nothing.
std::int64_t allowedStarts(std::int64_t starts, duration round);

} // namespace crocuswind::policy

#endif
