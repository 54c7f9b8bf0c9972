/// Decides whether a new job is accepted.
///
/// Load pattern: for seconds, more work is submitted than there is room for. Jobs that are accepted
/// behind a long backlog are done when nobody needs them any more, and their callers, who could
/// have come back or gone elsewhere, learn that last.
#ifndef CROCUSWIND_POLICY_ADMISSION_H
#define CROCUSWIND_POLICY_ADMISSION_H

#include "base/base.h"

namespace crocuswind::policy {

/// Returns how long room for \p milliCores of estimated work per time needs for \p work, which is
/// in thousandths of a core times milliseconds; 600 s at most.
duration timeFor(double work, double milliCores);

/// What is known of the work that a new job would wait behind. Amounts of work are in thousandths
/// of a core times milliseconds.
struct admission_forecast
{
    instant now;
    double milliCores = 0; ///< Room for work that waits, in estimated work per time.
    double workAhead = 0; ///< Work of accepted jobs that goes before the new one.
    bool isKnown = false; ///< The room was observed for long enough to refuse jobs for it.
};

/// A new job.
struct admission_request
{
    instant usefulUntil; ///< A completion after this time is of no use to the caller.
    double work = 0; ///< Estimated.
    duration criticalPath = duration::zero(); ///< Estimated, under the present load.
    bool isOfEarliestPriority = false; ///< No queue of the service has an earlier priority.
    bool isContinuous = false; ///< It has tasks that run until the job is cancelled.
};

/// The decision on a new job.
struct admission_decision
{
    bool isAccepted = true;
    instant expectedEnd; ///< By the forecast.
    /// When a job of this kind can be accepted, if the backlog is worked off and does not grow.
    instant retryAt;
};

/// Accepts the job unless the forecast says that it ends when it is of no use any more. Jobs of the
/// earliest priority and continuous jobs are always accepted.
admission_decision decideAdmission(const admission_request &request,
                                   const admission_forecast &forecast);

} // namespace crocuswind::policy

#endif
