#include "load_plan.h"

#include <algorithm>
#include <cmath>

namespace crocuswind {

namespace {

constexpr duration never = duration::max();
constexpr std::int64_t minRunMs = 100;

} // namespace

load_plan::load_plan(const load_mix &mix)
    : m_mix(mix)
    , m_random(mix.seed)
{
    m_nextRequest = drawInterarrivalTime(mix.requestsPerSecond);
    m_nextJob = drawInterarrivalTime(mix.jobsPerSecond);
}

duration load_plan::drawInterarrivalTime(double perSecond)
{
    if (perSecond <= 0)
        return never;
    return duration(std::int64_t(-std::log(1 - m_random.fraction()) / perSecond * 1e6));
}

const std::string &load_plan::drawName(const std::vector<std::string> &names)
{
    return names[m_random.below(names.size())];
}

std::optional<planned_arrival> load_plan::next()
{
    const duration at = std::min(m_nextRequest, m_nextJob);
    if (at >= std::chrono::milliseconds(m_mix.durationMs))
        return std::nullopt;
    if (m_nextRequest <= m_nextJob) {
        planned_request r;
        r.number = m_requests++;
        r.service = drawName(m_mix.services);
        r.team = drawName(m_mix.teams);
        r.isUrgent = draw(m_mix.urgentPercent);
        r.isRepeatable = !draw(m_mix.unrepeatablePercent);
        m_nextRequest += drawInterarrivalTime(m_mix.requestsPerSecond);
        return planned_arrival{at, std::move(r)};
    }
    planned_job j;
    j.number = m_jobs++;
    j.team = drawName(m_mix.teams);
    const double drawn = -std::log(1 - m_random.fraction()) * double(m_mix.jobRunMs);
    j.runMs = draw(m_mix.continuousPercent) ? 0 : std::max(minRunMs, std::int64_t(drawn));
    m_nextJob += drawInterarrivalTime(m_mix.jobsPerSecond);
    return planned_arrival{at, std::move(j)};
}

} // namespace crocuswind
