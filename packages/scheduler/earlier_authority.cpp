#include "earlier_authority.h"

#include <algorithm>
#include <iterator>

namespace crocuswind::scheduler {

namespace {

/// Times of owners further back are not asked for: each owner stores its list of workers anew.
constexpr std::size_t maxClocks = 16;

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
    const instant origin = now - std::chrono::milliseconds(clockMs);
    const auto [found, isNew] = m_clockOrigins.try_emplace(epoch, origin);
    found->second = std::min(found->second, origin);
    if (m_clockOrigins.size() > maxClocks)
        m_clockOrigins.erase(m_clockOrigins.begin());
}

std::optional<instant> earlier_authority::latestTimeOf(const owner_moment &moment) const
{
    const auto found = m_clockOrigins.find(moment.epoch);
    if (found == m_clockOrigins.end())
        return std::nullopt;
    return found->second + std::chrono::milliseconds(moment.clockMs);
}

void earlier_authority::forgetBefore(instant now)
{
    while (m_ends.size() > 1 && std::next(m_ends.begin())->second <= now)
        m_ends.erase(m_ends.begin());
}

} // namespace crocuswind::scheduler
