#include "former_list.h"

#include <algorithm>

namespace crocuswind::scheduler {

former_list::former_list(const worker_list &list, instant writtenBy)
    : m_misdirected(list.misdirected)
    , m_unanswered(list.unanswered)
    , m_namesUnanswered(list.namesUnanswered)
    , m_writtenAt(list.writtenAt)
    , m_witnesses(list.witnesses)
    , m_writtenBy(writtenBy)
{
    for (const silent_lease &lease : list.silent)
        m_silent[lease.worker] = lease;
}

bool former_list::noteClock(const worker_id &worker, std::int64_t incarnationStartUnixMs,
                            std::int64_t clockMs, instant now)
{
    const auto found
        = std::find_if(m_witnesses.begin(), m_witnesses.end(), [&](const clock_witness &witness) {
              return witness.worker == worker
                  && witness.incarnationStartUnixMs == incarnationStartUnixMs;
          });
    if (found == m_witnesses.end())
        return false;
    m_isDated = true;
    if (clockMs <= found->clockMs)
        return false;
    // The worker's clock may be faster than the reader's.
    const double passedMs = double(clockMs - found->clockMs) / (1 + maxClockRateDifference);
    const instant writtenBy = now - std::chrono::milliseconds(std::int64_t(passedMs));
    if (writtenBy >= m_writtenBy)
        return false;
    m_writtenBy = writtenBy;
    return true;
}

const silent_lease *former_list::find(const worker_id &worker) const
{
    const auto found = m_silent.find(worker);
    return found == m_silent.end() ? nullptr : &found->second;
}

instant former_list::lapseAfter(std::int64_t timeLeftMs) const
{
    return m_writtenBy + std::chrono::milliseconds(timeLeftMs);
}

} // namespace crocuswind::scheduler
