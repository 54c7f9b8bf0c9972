#include "admission.h"

#include <algorithm>
#include <cmath>

namespace crocuswind::policy {

namespace {

/// Longest forecast, which also stands for "never".
constexpr duration longestDelay = 600s;

} // namespace

duration timeFor(double work, double milliCores)
{
    if (work <= 0)
        return duration::zero();
    const double ms = milliCores <= 0 ? 1e12 : work / milliCores;
    const double longestMs = double(longestDelay.count()) / 1000;
    return duration(std::int64_t(1000 * std::min(ms, longestMs)));
}

admission_decision decideAdmission(const admission_request &request,
                                   const admission_forecast &forecast)
{
    admission_decision decision;
    decision.expectedEnd = forecast.now
        + timeFor(forecast.workAhead + request.work, forecast.milliCores) + request.criticalPath;
    decision.retryAt = forecast.now;
    const bool mayRefuse
        = forecast.isKnown && !request.isOfEarliestPriority && !request.isContinuous;
    if (!mayRefuse || decision.expectedEnd <= request.usefulUntil)
        return decision;
    decision.isAccepted = false;
    decision.retryAt
        = forecast.now + std::min(longestDelay, decision.expectedEnd - request.usefulUntil);
    return decision;
}

} // namespace crocuswind::policy
