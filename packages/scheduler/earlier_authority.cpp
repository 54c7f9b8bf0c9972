#include "earlier_authority.h"

#include <iterator>

namespace crocuswind::scheduler {

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

void earlier_authority::forgetBefore(instant now)
{
    while (m_ends.size() > 1 && std::next(m_ends.begin())->second <= now)
        m_ends.erase(m_ends.begin());
}

} // namespace crocuswind::scheduler
