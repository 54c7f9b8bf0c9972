#include "runner_model.h"

#include <algorithm>
#include <cmath>

namespace crocuswind::standin {

namespace {

/// After this time a leaving runner must not receive any new request (invariant I7).
constexpr duration leavingGracePeriod = 3s;
constexpr std::size_t maxNamesListed = 20;

} // namespace

void request_audit::started(const std::string &id, bool isUnrepeatable)
{
    history &h = m_requests[id];
    ++h.runs;
    h.isUnrepeatable = h.isUnrepeatable || isUnrepeatable;
    ++h.running;
    h.highestRunning = std::max(h.highestRunning, h.running);
}

void request_audit::ended(const std::string &id)
{
    --m_requests[id].running;
}

int request_audit::runs(const std::string &id) const
{
    const auto found = m_requests.find(id);
    return found == m_requests.end() ? 0 : found->second.runs;
}

nlohmann::json request_audit::summary() const
{
    int highestRuns = 0;
    int highestConcurrent = 0;
    std::int64_t repeated = 0;
    std::int64_t unrepeatable = 0;
    std::int64_t unrepeatableRepeated = 0;
    nlohmann::json names = nlohmann::json::array();
    for (const auto &[id, h] : m_requests) {
        highestRuns = std::max(highestRuns, h.runs);
        highestConcurrent = std::max(highestConcurrent, h.highestRunning);
        unrepeatable += h.isUnrepeatable ? 1 : 0;
        unrepeatableRepeated += h.isUnrepeatable && h.runs > 1 ? 1 : 0;
        if (h.runs > 1 && ++repeated <= std::int64_t(maxNamesListed))
            names.push_back(id);
    }
    return {{"requests", m_requests.size()},
            {"run_more_than_once", repeated},
            {"unrepeatable", unrepeatable},
            {"unrepeatable_run_more_than_once", unrepeatableRepeated},
            {"highest_runs", highestRuns},
            {"highest_concurrent_runs", highestConcurrent},
            {"repeated", names}};
}

runner_model::runner_model(runner_settings settings, std::uint64_t seed, request_audit &audit)
    : m_settings(std::move(settings))
    , m_random(seed)
    , m_audit(audit)
{ }

duration runner_model::drawServiceTime()
{
    const double mean = m_settings.serviceMs * m_settings.slowFactor * 1000;
    double time = mean;
    if (m_settings.distribution == service_distribution::exponential) {
        time = -mean * std::log(1 - m_random.fraction());
    } else if (m_settings.distribution == service_distribution::lognormal) {
        // With a standard deviation of 0.5 of the logarithm, 1% of the requests take at least 2.8
        // times the mean.
        constexpr double sigma = 0.5;
        const double radius = std::sqrt(-2 * std::log(1 - m_random.fraction()));
        const double normal = radius * std::cos(2 * 3.14159265358979 * m_random.fraction());
        time = mean * std::exp(sigma * normal - sigma * sigma / 2);
    }
    return duration(std::int64_t(time));
}

void runner_model::arrive(instant now, std::uint64_t token, const std::string &id, instant deadline,
                          bool isUnrepeatable)
{
    ++m_arrived;
    if (m_leavingSince && now > *m_leavingSince + leavingGracePeriod)
        ++m_arrivedAfterLeaving;
    const std::size_t concurrent = m_waiting.size() + m_running.size() + 1;
    if (concurrent > std::size_t(m_settings.connections) || draw(m_settings.refusePercent)) {
        ++m_refused;
        m_finished.push_back({token, request_completion::refused});
        return;
    }
    m_highestConcurrent = std::max(m_highestConcurrent, concurrent);
    m_waiting.push_back({token, id, deadline, isUnrepeatable});
    startWaiting(now);
}

void runner_model::startWaiting(instant now)
{
    while (!m_waiting.empty() && m_running.size() < std::size_t(m_settings.slots)) {
        const waiting_request request = std::move(m_waiting.front());
        m_waiting.pop_front();
        if (now >= request.deadline) {
            ++m_refused;
            m_finished.push_back({request.token, request_completion::refused});
            continue;
        }
        ++m_started;
        m_audit.started(request.id, request.isUnrepeatable);
        running_request running{request.token, request.id, request_completion::answered};
        duration time = drawServiceTime();
        if (draw(m_settings.errorPercent)) {
            running.end = request_completion::failed;
            time = 0us;
        } else if (draw(m_settings.truncatePercent)) {
            running.end = request_completion::truncated;
        } else if (draw(m_settings.losePercent)) {
            running.end = request_completion::lost;
        }
        m_running.emplace(now + time, std::move(running));
    }
}

std::vector<completed_request> runner_model::advance(instant now)
{
    while (!m_running.empty() && m_running.begin()->first <= now) {
        const instant ended = m_running.begin()->first;
        const running_request request = m_running.begin()->second;
        m_running.erase(m_running.begin());
        m_audit.ended(request.id);
        if (request.end == request_completion::answered)
            ++m_answered;
        m_finished.push_back({request.token, request.end});
        startWaiting(ended);
    }
    return std::exchange(m_finished, {});
}

std::optional<instant> runner_model::nextCompletion() const
{
    if (m_running.empty())
        return std::nullopt;
    return m_running.begin()->first;
}

void runner_model::leave(instant now)
{
    m_settings.isLeaving = true;
    if (!m_leavingSince)
        m_leavingSince = now;
}

nlohmann::json runner_model::stats() const
{
    return {{"name", m_settings.name},     {"arrived", m_arrived},
            {"started", m_started},        {"answered", m_answered},
            {"refused", m_refused},        {"running", m_running.size()},
            {"waiting", m_waiting.size()}, {"highest_concurrent", m_highestConcurrent},
            {"slots", m_settings.slots},   {"arrived_after_leaving", m_arrivedAfterLeaving}};
}

} // namespace crocuswind::standin
