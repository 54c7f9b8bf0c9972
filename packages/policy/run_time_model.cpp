#include "run_time_model.h"

#include <algorithm>
#include <cmath>

namespace crocuswind::policy {

namespace {

/// Number of steps over which observations are averaged.
constexpr double memorySteps = 300;

/// Before observations, the model counts as many as if they had confirmed all estimates.
constexpr double assumedSteps = 8;

/// Variance of the logarithms of the estimates in these.
constexpr double assumedVariance = 0.25;

/// Observations further off than this factor count as off by it, so that single stragglers do not
/// change what is usual.
constexpr double largestError = 4;
constexpr double largestStretch = 2.5;

double logOf(double ms)
{
    return std::log(std::max(1.0, ms));
}

} // namespace

void run_time_model::record(std::int64_t expectedMs, double meanMs, std::int64_t longestMs)
{
    const double x = logOf(double(expectedMs));
    const double usual = logOf(usualMs(std::max<std::int64_t>(1, expectedMs)));
    const double limit = std::log(largestError);
    const double y = m_weight < assumedSteps
        ? logOf(meanMs)
        : std::clamp(logOf(meanMs), usual - limit, usual + limit);
    const double stretch
        = std::clamp(double(longestMs) / std::max(1.0, meanMs), 1.0, largestStretch);
    const double left = 1 - 1 / memorySteps;
    m_weight = m_weight * left + 1;
    m_expected = m_expected * left + x;
    m_actual = m_actual * left + y;
    m_expectedSquared = m_expectedSquared * left + x * x;
    m_product = m_product * left + x * y;
    m_stretch = m_stretch * left + std::log(stretch);
}

double run_time_model::trust() const
{
    if (m_weight <= 0)
        return 1;
    const double mean = m_expected / m_weight;
    const double variance = std::max(0.0, m_expectedSquared / m_weight - mean * mean);
    const double covariance = m_product / m_weight - mean * m_actual / m_weight;
    const double assumed = assumedVariance * assumedSteps / m_weight;
    return std::clamp((covariance + assumed) / (variance + assumed), 0.0, 1.0);
}

double run_time_model::usualMs(std::int64_t expectedMs) const
{
    if (expectedMs <= 0 || m_weight <= 0)
        return double(std::max<std::int64_t>(0, expectedMs));
    const double x = logOf(double(expectedMs));
    const double mean = m_expected / m_weight;
    const double offset = (m_actual - m_expected) / (m_weight + assumedSteps);
    return std::exp(mean + offset + trust() * (x - mean));
}

std::int64_t run_time_model::longestMs(std::int64_t expectedMs) const
{
    const double stretch = std::exp(m_stretch / (m_weight + assumedSteps));
    return std::int64_t(usualMs(expectedMs) * stretch);
}

} // namespace crocuswind::policy
