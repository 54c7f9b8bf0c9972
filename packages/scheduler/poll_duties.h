/// Holds back polls of workers without known runs while too many of them are unanswered, so that
/// the renewals of leases always come first. Private to the package.
#ifndef CROCUSWIND_SCHEDULER_POLL_DUTIES_H
#define CROCUSWIND_SCHEDULER_POLL_DUTIES_H

#include "policy/policy.h"
#include "worker_record.h"

#include <array>
#include <deque>
#include <utility>

namespace crocuswind::scheduler {

/// When a worker is to be polled.
using poll_time = std::pair<instant, worker_id>;

/// Returns what a poll of the worker that is sent now is for.
policy::poll_duty pollDutyOf(const worker_record &worker);

/// Polls in flight and polls that are held back, by duty.
class poll_duties
{
public:
    /// Counts a poll that is sent to the worker at \p now.
    void noteSent(worker_record &worker, policy::poll_duty duty, instant now);
    /// The poll in flight at the worker, if there is one, was answered or is not awaited any more.
    void noteEnded(worker_record &worker);

    /// Counts polls that are slow by \p now as such. \p findWorker returns a worker, or null.
    template <class function>
    void noteSlow(instant now, function findWorker)
    {
        for (; !m_recent.empty() && m_recent.front().first + policy::slowPoll <= now;
             m_recent.pop_front()) {
            const auto &[sentAt, id] = m_recent.front();
            if (worker_record *worker = findWorker(id); worker && worker->pollSentAt == sentAt)
                countAsSlow(*worker);
        }
    }

    /// Holds a due poll back. It is valid only as long as it is the worker's present poll time.
    void hold(policy::poll_duty duty, poll_time poll) { of(duty).held.push_back(std::move(poll)); }
    bool hasHeld(policy::poll_duty duty) const { return !of(duty).held.empty(); }
    /// Removes the poll that was held first. There must be one.
    poll_time takeHeld(policy::poll_duty duty);

    /// Returns the number of polls that are held back.
    std::int64_t held() const;
    /// Returns the numbers of polls in flight that are not slow.
    policy::poll_counts inFlight() const;
    /// Returns the number of slow polls in flight, of workers without known runs.
    std::int64_t slow() const { return m_slow; }

private:
    void countAsSlow(worker_record &worker);

    struct duty_state
    {
        std::int64_t inFlight = 0;
        std::deque<poll_time> held; ///< In the order in which they became due.
    };

    duty_state &of(policy::poll_duty duty) { return m_duties.at(std::size_t(duty)); }
    const duty_state &of(policy::poll_duty duty) const { return m_duties.at(std::size_t(duty)); }

    std::array<duty_state, policy::pollDutyCount> m_duties;
    std::deque<poll_time> m_recent; ///< When polls were sent, the earliest first.
    std::int64_t m_slow = 0;
};

} // namespace crocuswind::scheduler

#endif
