#include "earlier_authority.h"

#include <algorithm>
#include <cmath>
#include <iterator>

namespace crocuswind::scheduler {

namespace {

/// Times of owners further back are not asked for: each owner stores its list of workers anew.
constexpr std::size_t maxClocks = 16;
/// Older readings bound nothing more closely, as the difference of the clocks' rates adds up.
constexpr std::size_t maxSightsOfClock = 20;

} // namespace

void earlier_authority::limit(std::int64_t epoch, instant end)
{
    if (endOf(epoch) <= end)
        return;
    const auto known = m_ends.insert_or_assign(epoch, end).first;
    // Later ends of earlier epochs say nothing any more.
    for (auto i = known; i != m_ends.begin();) {
        const auto earlier = std::prev(i);
        if (earlier->second < end)
            break;
        m_ends.erase(earlier);
    }
}

instant earlier_authority::endOf(std::int64_t epoch) const
{
    const auto found = m_ends.lower_bound(epoch);
    return found == m_ends.end() ? instant::max() : found->second;
}

std::int64_t earlier_authority::lastConfirmedEpochBefore(std::int64_t epoch) const
{
    return std::min(epoch - 1, m_lastConfirmedEpoch.value_or(epoch - 1));
}

void earlier_authority::noteClock(std::int64_t epoch, std::int64_t clockMs, instant now)
{
    std::deque<clock_sight> &sights = m_clocks[epoch];
    sights.push_back({clockMs, now});
    if (sights.size() > maxSightsOfClock)
        sights.pop_front();
    if (m_clocks.size() > maxClocks)
        m_clocks.erase(m_clocks.begin());
}

// A reading was seen late by an unknown time, so the earliest of the bounds is the closest one.
std::optional<instant> earlier_authority::latestTimeOf(const owner_moment &moment) const
{
    const auto found = m_clocks.find(moment.epoch);
    if (found == m_clocks.end())
        return std::nullopt;
    instant latest = instant::max();
    for (const clock_sight &sight : found->second) {
        const double sinceSightMs = double(moment.clockMs - sight.clockMs);
        const double margin = std::abs(sinceSightMs) * maxClockRateDifference;
        const std::chrono::duration<double, std::milli> sinceSight(sinceSightMs + margin);
        latest = std::min(latest, sight.at + std::chrono::ceil<duration>(sinceSight));
    }
    return latest;
}

void earlier_authority::forgetBefore(instant now)
{
    while (m_ends.size() > 1 && std::next(m_ends.begin())->second <= now)
        m_ends.erase(m_ends.begin());
}

} // namespace crocuswind::scheduler
