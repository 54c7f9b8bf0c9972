#include "room_rate.h"

#include <algorithm>
#include <cmath>

namespace crocuswind::policy {

namespace {

/// Time constant of the sums.
constexpr duration memory = 5s;

/// Work of this amount counts as done at an efficiency of 1 before anything was observed, in
/// thousandths of a core times milliseconds.
constexpr double assumedWork = 1000 * 1000;

constexpr double minEfficiency = 0.2;
constexpr double maxEfficiency = 5;

double toMs(duration d)
{
    return double(d.count()) / 1000;
}

} // namespace

room_rate::room_rate(instant now)
    : m_begunAt(now)
    , m_updatedAt(now)
{ }

void room_rate::recordEnd(instant now, std::int64_t milliCores, duration occupied,
                          std::int64_t expectedMs, bool isDone)
{
    decay(now);
    m_occupied += double(milliCores) * toMs(occupied);
    if (isDone)
        m_done += double(milliCores) * double(expectedMs);
}

void room_rate::recordAccepted(instant now, double milliCoreMs)
{
    decay(now);
    m_accepted += milliCoreMs;
}

double room_rate::efficiency() const
{
    const double ratio = (m_done + assumedWork) / (m_occupied + assumedWork);
    return std::clamp(ratio, minEfficiency, maxEfficiency);
}

double room_rate::acceptedMilliCores(instant now) const
{
    const double left = std::exp(-toMs(now - m_updatedAt) / toMs(memory));
    const double observed = 1 - std::exp(-toMs(now - m_begunAt) / toMs(memory));
    return observed <= 0 ? 0 : m_accepted * left / (toMs(memory) * observed);
}

void room_rate::decay(instant now)
{
    const double left = std::exp(-toMs(now - m_updatedAt) / toMs(memory));
    m_occupied *= left;
    m_done *= left;
    m_accepted *= left;
    m_updatedAt = now;
}

} // namespace crocuswind::policy
