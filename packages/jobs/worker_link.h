/// Defines how orders reach the workers. What speaks a worker's protocol implements it.
#ifndef CROCUSWIND_JOBS_WORKER_LINK_H
#define CROCUSWIND_JOBS_WORKER_LINK_H

#include "scheduler/scheduler.h"

#include <functional>

namespace crocuswind {

/// Carries orders to workers. Callbacks come from the loop, never from within a call, exactly once.
class worker_link
{
public:
    using order_callback = std::function<void(const scheduler::command_result &result)>;
    using poll_callback = std::function<void(const scheduler::poll_result &result)>;

    virtual ~worker_link() = default;

    virtual void start(const scheduler::start_command &order, order_callback done) = 0;
    virtual void stop(const scheduler::stop_command &order, order_callback done) = 0;
    virtual void pace(const scheduler::pace_command &order, order_callback done) = 0;
    virtual void poll(const scheduler::poll_command &order, poll_callback done) = 0;
};

} // namespace crocuswind

#endif
