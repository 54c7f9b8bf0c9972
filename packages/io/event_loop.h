/// Defines the event loop on which all I/O of a process runs, on one thread.
#ifndef CROCUSWIND_IO_EVENT_LOOP_H
#define CROCUSWIND_IO_EVENT_LOOP_H

#include "base/base.h"

#include <cstdint>
#include <functional>
#include <memory>

struct event_base;

namespace crocuswind {

/// Identifies a pending timer; 0 is never used.
using timer_id = std::uint64_t;

/// One libevent loop with timers and signals. All functions must be called on the thread that calls
/// run(), except where noted. All other classes of this package must be destroyed before the loop.
class event_loop
{
public:
    /// Creates the loop and makes the process ignore SIGPIPE, so that a write to a closed
    /// connection is an error of that connection only.
    event_loop();
    ~event_loop();
    event_loop(const event_loop &) = delete;
    event_loop &operator=(const event_loop &) = delete;

    /// Returns the current time. The clock advances while the machine is suspended, so that a lease
    /// that expired during a suspension is not treated as valid.
    instant now() const;

    /// Converts a time of now() to microseconds since the Unix epoch, using the offset to the wall
    /// clock that was read when the loop was created. Used for spans and incarnations; no decision
    /// depends on it.
    std::int64_t unixMicroseconds(instant time) const;

    /// Calls \p function once, at \p time or as soon as possible if \p time has passed. The
    /// function is never called from within callAt(). Timers that are due in the same round are
    /// called in the order of their times, and timers with equal times in the order in which they
    /// were set. A late timer is called after the callbacks of the sockets that had input at the
    /// timer's time.
    timer_id callAt(instant time, std::function<void()> function);

    /// Cancels a timer. Has no effect if the timer has fired or was cancelled before.
    void cancel(timer_id timer);

    /// Calls \p function in the next round of the loop, after the current callback has returned.
    void post(std::function<void()> function);

    /// Calls \p function whenever the process receives \p signalNumber, on the loop's thread. A
    /// second call for the same signal replaces the function.
    void onSignal(int signalNumber, std::function<void()> function);

    /// Calls \p function with the delay when a timer fires more than 1 s late, which means that the
    /// process was paused or that a callback took too long. The loop runs a heartbeat timer every
    /// 250 ms so that a pause is detected even if no other timer is set. The heartbeat is handled
    /// before sockets that are ready in the same round.
    void onPause(std::function<void(duration late)> function);

    /// Returns the maximum delay of the heartbeat timer since the last call of this function. The
    /// timer is late when callbacks take long or the process gets too little processor time.
    duration takeMaxLateness();

    /// Returns the number of rounds of run(); each round polls the sockets and handles their input.
    /// A low number of rounds per second on a busy process means that input waits, since only a
    /// bounded amount is read from each socket in a round.
    std::int64_t rounds() const;

    /// Runs until stop() is called.
    void run();

    /// Runs until \p done returns true or \p limit has passed. \p done is evaluated after each
    /// round. Returns whether \p done returned true. Meant for tests and the command line.
    bool runUntil(const std::function<bool()> &done, duration limit);

    /// Ends run() after the current callback.
    void stop();

    /// Returns libevent's loop for the other classes of this package.
    struct event_base *base() const;

private:
    struct implementation;
    std::unique_ptr<implementation> m_implementation;
};

} // namespace crocuswind

#endif
