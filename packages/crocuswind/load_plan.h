/// Defines the load that `crocuswind load` sends: arrivals drawn from a seed, independent of how
/// the answers come (an open loop).
#ifndef CROCUSWIND_CROCUSWIND_LOAD_PLAN_H
#define CROCUSWIND_CROCUSWIND_LOAD_PLAN_H

#include "base/base.h"

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace crocuswind {

/// The declared mix.
struct load_mix
{
    std::uint64_t seed = 1;
    double requestsPerSecond = 0; ///< Poisson arrivals.
    double jobsPerSecond = 0; ///< Poisson arrivals.
    std::int64_t durationMs = 10000;
    std::vector<std::string> services{"drift-check"}; ///< Drawn with equal chances.
    std::vector<std::string> teams{"lab"}; ///< Drawn with equal chances.
    int urgentPercent = 100; ///< Of the requests; the others are normal.
    int unrepeatablePercent = 0; ///< Of the requests.
    std::int64_t timeLeftMs = 1000; ///< Deadline of requests.
    std::size_t payloadBytes = 64;
    double jobCores = 1;
    std::int64_t jobMemoryMb = 512;
    std::int64_t jobRunMs = 5000; ///< Mean; drawn exponentially, at least 100 ms.
    int continuousPercent = 0; ///< Of the jobs; they have no end.
};

/// One request to send.
struct planned_request
{
    std::int64_t number = 0;
    std::string service;
    std::string team;
    bool isUrgent = true;
    bool isRepeatable = true;
};

/// One job to submit.
struct planned_job
{
    std::int64_t number = 0;
    std::string team;
    std::int64_t runMs = 0; ///< 0 for a continuous job.
};

/// One arrival at a time from the start of the load.
struct planned_arrival
{
    duration at{0};
    std::variant<planned_request, planned_job> what;
};

/// Draws the arrivals of a mix in the order of time. The same mix gives the same arrivals.
class load_plan
{
public:
    explicit load_plan(const load_mix &mix);

    /// Returns the next arrival, nothing after the end of the load.
    std::optional<planned_arrival> next();

private:
    duration drawGap(double perSecond);
    bool draw(int percent) { return int(m_random.below(100)) < percent; }
    const std::string &drawName(const std::vector<std::string> &names);

    load_mix m_mix;
    seeded_random m_random;
    duration m_nextRequest{0};
    duration m_nextJob{0};
    std::int64_t m_requests = 0;
    std::int64_t m_jobs = 0;
};

} // namespace crocuswind

#endif
