#include "duty_order.h"

#include <algorithm>
#include <limits>

namespace crocuswind::policy {

namespace {

constexpr std::int64_t milliCoresPerCore = 1000;

/// Polls of workers without known runs that a whole core has in flight at most. They are answered
/// at once, so that more of them only wait in queues: until they are given up and sent again, and
/// in front of the answers of the store.
constexpr std::int64_t openPollsPerCore = 1000;
constexpr std::int64_t minOpenPolls = 32;

/// With slow polls, at most this many times as many are in flight.
constexpr std::int64_t slowFactor = 4;

/// Retries and idle polls together with first polls must not exceed these parts of the bound.
constexpr std::int64_t retryDivisor = 4;
constexpr std::int64_t idleDivisor = 2;

/// Polls of workers without runs that a whole core sends in a second. They take a sixth of it.
constexpr std::int64_t idlePollsPerCoreSecond = 2500;

/// Workers that an owner looks at in a second for one purpose.
constexpr std::int64_t scannedWorkersPerSecond = 30000;

/// A round of the owner's duties that takes this long is in time. A longer one takes from the
/// starts, and one that takes as long as the longest leaves none: leases of 6 s are renewed every
/// second, and several renewals have to fail before one lapses.
constexpr duration promptRound = 350ms;
constexpr duration longestRound = 1500ms;

} // namespace

poll_counts allowedPolls(const owner_size &size, const poll_counts &inFlight, std::int64_t slow)
{
    if (size.milliCores <= 0) {
        constexpr std::int64_t unbounded = std::numeric_limits<std::int64_t>::max();
        return {unbounded, unbounded, unbounded};
    }
    const std::int64_t open
        = std::max(minOpenPolls, size.milliCores * openPollsPerCore / milliCoresPerCore);
    const std::int64_t quick = inFlight.first + inFlight.retry + inFlight.idle;
    const auto left = [](std::int64_t bound, std::int64_t used) {
        return std::max<std::int64_t>(0, bound - used);
    };
    const std::int64_t room = std::min(left(open, quick), left(open * slowFactor, quick + slow));
    return {room, std::min(room, left(open / retryDivisor, inFlight.retry)),
            std::min(room, left(open / idleDivisor, quick))};
}

duration idlePollInterval(const owner_size &size, duration shortest)
{
    if (size.milliCores <= 0)
        return shortest;
    const double perSecond
        = double(size.milliCores * idlePollsPerCoreSecond) / double(milliCoresPerCore);
    const std::chrono::duration<double> needed{double(size.workers) / perSecond};
    return std::max(shortest, std::chrono::duration_cast<duration>(needed));
}

duration fullScanInterval(std::int64_t workers)
{
    return duration(1s) * workers / scannedWorkersPerSecond;
}

std::int64_t allowedStarts(std::int64_t starts, duration round)
{
    if (round <= promptRound)
        return starts;
    if (round >= longestRound)
        return 0;
    const double share
        = double((longestRound - round).count()) / double((longestRound - promptRound).count());
    return std::int64_t(double(starts) * share);
}

} // namespace crocuswind::policy
