/// Counts the calls of callers that were answered late, by what they waited for.
#ifndef CROCUSWIND_JOBS_HELD_CALLS_H
#define CROCUSWIND_JOBS_HELD_CALLS_H

#include "io/io.h"
#include "scheduler/scheduler.h"

#include <cstdint>
#include <map>
#include <utility>

namespace crocuswind {

/// What a call waited for when it was answered.
enum class call_wait {
    no_owner, ///< No host owned the jobs.
    no_link, ///< The owner could not be reached.
    cut_off, ///< Neither the owner nor the store could be reached.
    takeover, ///< The host that was known as the owner did not own the jobs, or not yet.
    reply, ///< The owner had the call.
};

const char *toString(call_wait wait);
const char *toString(scheduler::job_outcome outcome);

/// The calls that were held for longer than a second.
class held_calls
{
public:
    /// A call was answered after \p held. Logs and counts it if it was held for long.
    void note(const scheduler::job_call &call, call_wait wait, scheduler::job_outcome outcome,
              duration held);

    /// Copies the counts into the metrics.
    void setMetrics(metrics_registry &metrics) const;

private:
    logger m_log{"scheduler"};
    std::map<std::pair<call_wait, scheduler::job_outcome>, std::int64_t> m_counts;
};

} // namespace crocuswind

#endif
