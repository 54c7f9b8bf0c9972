/// Bounds the start commands that are in flight.
///
/// Load pattern: starts are due faster than the owner's link, its relays or the workers take them.
/// Without a bound, commands wait in queues for seconds, are given up and sent again, and delay the
/// polls and the commits behind them.
#ifndef CROCUSWIND_SCHEDULER_START_WINDOW_H
#define CROCUSWIND_SCHEDULER_START_WINDOW_H

#include "base/base.h"

#include <cstdint>

namespace crocuswind::scheduler {

/// Judges the answers of each interval together. If most of them were slow, the window shrinks to
/// the number of answers that came within the interval, which keeps a queue of about its length. It
/// grows otherwise.
class start_window
{
public:
    /// Returns how many starts may be sent now, with \p inFlight starts unanswered.
    std::int64_t available(std::int64_t inFlight) const;

    /// Records the answer at \p now to a start that was sent at \p sentAt. \p isAnswered is false
    /// if the command ended without an answer.
    void onResult(instant sentAt, instant now, bool isAnswered);

    std::int64_t size() const { return std::int64_t(m_size); }

private:
    void endInterval(instant now);

    double m_size = 4000; ///< Starts as large as it can be.
    instant m_intervalBegin;
    std::int64_t m_quickAnswers = 0; ///< In the present interval.
    std::int64_t m_slowAnswers = 0;
};

} // namespace crocuswind::scheduler

#endif
