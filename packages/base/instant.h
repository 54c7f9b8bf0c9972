/// Defines the time types of the project. Read this first: every event and every deadline uses
/// them.
#ifndef CROCUSWIND_BASE_INSTANT_H
#define CROCUSWIND_BASE_INSTANT_H

#include <chrono>
#include <cstdint>

namespace crocuswind {

/// Tags the project's time line. The cores never read a clock; the I/O layer stamps each event.
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
/// Deadlines are stored as instants. Between machines only the time left is sent, since clocks
/// differ.
using instant = event_clock::time_point;

using std::chrono_literals::operator""ms;
using std::chrono_literals::operator""s;
using std::chrono_literals::operator""us;

/// Returns the whole milliseconds from \p now to \p deadline, or 0 when the deadline has passed.
inline std::int64_t millisecondsLeft(instant now, instant deadline)
{
    if (deadline <= now)
        return 0;
    return std::chrono::duration_cast<std::chrono::milliseconds>(deadline - now).count();
}

/// Rebuilds a deadline on arrival from the time left that a message carried, in milliseconds.
inline instant deadlineFromTimeLeft(instant now, std::int64_t timeLeftMs)
{
    return now + std::chrono::milliseconds(timeLeftMs);
}

} // namespace crocuswind

#endif
