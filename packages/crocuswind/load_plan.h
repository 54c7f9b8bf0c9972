/// Defines the load that `crocuswind load` sends: pseudo-random arrivals from a seed, at times that
/// do not depend on the answers (an open loop).
#ifndef CROCUSWIND_CROCUSWIND_LOAD_PLAN_H
#define CROCUSWIND_CROCUSWIND_LOAD_PLAN_H

#include "base/base.h"

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace crocuswind {

/// The parameters of the load.
struct load_mix
{
    std::uint64_t seed = 1;
    double requestsPerSecond = 0; ///< Poisson arrivals.
    double jobsPerSecond = 0; ///< Poisson arrivals.
    std::int64_t durationMs = 10000;
    std::vector<std::string> services{"drift-check"}; ///< Drawn with equal probability.
    std::vector<std::string> teams{"lab"}; ///< Drawn with equal probability.
    int urgentPercent = 100; ///< Share of urgent requests; the others are normal.
    int unrepeatablePercent = 0; ///< Share of unrepeatable requests.
    std::int64_t timeLeftMs = 1000; ///< Time from the arrival of a request to its deadline.
    std::size_t payloadBytes = 64;
    double jobCores = 1;
    std::int64_t jobMemoryMb = 512;
    std::int64_t jobRunMs = 5000; ///< Mean of an exponential distribution; at least 100 ms.
    int continuousPercent = 0; ///< Share of jobs that run until cancelled.
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

/// One arrival, at a time relative to the start of the load.
struct planned_arrival
{
    duration at{0};
    std::variant<planned_request, planned_job> what;
};

/// Generates the arrivals of a mix, ordered by time. Equal mixes give equal arrivals.
class load_plan
{
public:
    explicit load_plan(const load_mix &mix);

    /// Returns the next arrival, or nothing after the end of the load.
    std::optional<planned_arrival> next();

private:
    duration drawInterarrivalTime(double perSecond);
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
