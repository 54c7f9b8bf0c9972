/// Defines the interface that sends commands to workers, implemented once for each worker protocol.
#ifndef CROCUSWIND_JOBS_WORKER_LINK_H
#define CROCUSWIND_JOBS_WORKER_LINK_H

#include "scheduler/scheduler.h"

#include <functional>
#include <string>

namespace crocuswind {

/// Sends commands to workers. Each callback is called exactly once, from the event loop and never
/// before the function that it was passed to has returned.
class worker_link
{
public:
    using command_callback = std::function<void(const scheduler::command_result &result)>;
    using poll_callback = std::function<void(const scheduler::poll_result &result)>;

    virtual ~worker_link() = default;

    /// Sets the address of a worker, which a poll command sets as well. A command to a worker
    /// without an address is not sent.
    virtual void setAddress(const worker_id &worker, const std::string &address) = 0;
    /// Starts a run.
    virtual void start(const scheduler::start_command &command, command_callback done) = 0;
    /// Stops a run.
    virtual void stop(const scheduler::stop_command &command, command_callback done) = 0;
    /// Limits the speed of a run.
    virtual void pace(const scheduler::pace_command &command, command_callback done) = 0;
    /// Reads the running and the ended runs of a worker, and renews its lease.
    virtual void poll(const scheduler::poll_command &command, poll_callback done) = 0;
};

} // namespace crocuswind

#endif
