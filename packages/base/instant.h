/// Defines the time types of the project: points in time, lengths of time and conversions of
/// deadlines. Every event and every deadline uses them.
#ifndef CROCUSWIND_BASE_INSTANT_H
#define CROCUSWIND_BASE_INSTANT_H

#include <chrono>
#include <cstdint>

namespace crocuswind {

/// The clock type of the project. Cores never read a clock; the I/O layer timestamps each event.
struct event_clock
{
    using rep = std::int64_t;
    using period = std::micro;
    using duration = std::chrono::duration<rep, period>;
    using time_point = std::chrono::time_point<event_clock, duration>;
};

/// A length of time in microseconds.
using duration = event_clock::duration;

/// A point in time in microseconds since an arbitrary start, monotonic within one process.
/// Deadlines are stored as instants. Messages between machines carry the remaining time instead,
/// because the clocks of machines differ.
using instant = event_clock::time_point;

using std::chrono_literals::operator""ms;
using std::chrono_literals::operator""s;
using std::chrono_literals::operator""us;

/// Returns the whole milliseconds from \p now to \p deadline, or 0 if the deadline has passed.
inline std::int64_t millisecondsLeft(instant now, instant deadline)
{
    if (deadline <= now)
        return 0;
    return std::chrono::duration_cast<std::chrono::milliseconds>(deadline - now).count();
}

/// Computes a deadline from the remaining time in milliseconds that a received message carries.
inline instant deadlineFromTimeLeft(instant now, std::int64_t timeLeftMs)
{
    return now + std::chrono::milliseconds(timeLeftMs);
}

} // namespace crocuswind

#endif
