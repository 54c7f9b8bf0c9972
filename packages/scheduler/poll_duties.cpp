#include "poll_duties.h"

namespace crocuswind::scheduler {

using policy::poll_duty;

poll_duty pollDutyOf(const worker_record &worker)
{
    const bool hasCompletions = worker.completions.hasUnsettled()
        || worker.completions.settledUpTo() > worker.ackedCompletions;
    if (!worker.runs.empty() || hasCompletions || worker.hasStrayRuns)
        return poll_duty::renewal;
    if (worker.failedPolls > 0)
        return poll_duty::retry;
    return worker.hasReported && !worker.isStoredAsSilent ? poll_duty::idle : poll_duty::first;
}

void poll_duties::noteSent(worker_record &worker, poll_duty duty, instant now)
{
    CROCUSWIND_INVARIANT(!worker.isPollInFlight, "at most one poll of a worker may be in flight");
    worker.isPollInFlight = true;
    worker.isPollSlow = false;
    worker.pollDuty = duty;
    worker.pollSentAt = now;
    ++of(duty).inFlight;
    if (duty != poll_duty::renewal)
        m_recent.emplace_back(now, worker.info.id);
}

void poll_duties::noteEnded(worker_record &worker)
{
    if (!std::exchange(worker.isPollInFlight, false))
        return;
    if (worker.isPollSlow)
        --m_slow;
    else
        --of(worker.pollDuty).inFlight;
}

void poll_duties::countAsSlow(worker_record &worker)
{
    if (!worker.isPollInFlight || std::exchange(worker.isPollSlow, true))
        return;
    --of(worker.pollDuty).inFlight;
    ++m_slow;
}

poll_time poll_duties::takeHeld(poll_duty duty)
{
    std::deque<poll_time> &held = of(duty).held;
    CROCUSWIND_INVARIANT(!held.empty(), "no poll of this duty is held back");
    poll_time first = std::move(held.front());
    held.pop_front();
    return first;
}

std::int64_t poll_duties::held() const
{
    std::int64_t count = 0;
    for (const duty_state &duty : m_duties)
        count += std::int64_t(duty.held.size());
    return count;
}

policy::poll_counts poll_duties::inFlight() const
{
    return {of(poll_duty::first).inFlight, of(poll_duty::retry).inFlight,
            of(poll_duty::idle).inFlight};
}

} // namespace crocuswind::scheduler
