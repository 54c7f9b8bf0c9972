/// Defines what the scheduler asks of the world: orders to workers, commits, answers and log lines.
#ifndef CROCUSWIND_SCHEDULER_SCHEDULER_PORTS_H
#define CROCUSWIND_SCHEDULER_SCHEDULER_PORTS_H

#include "job_calls.h"
#include "worker_record.h"

#include <cstdint>
#include <string>
#include <vector>

namespace crocuswind::scheduler {

/// Orders a worker to start a run. The lease applies to all that runs there.
struct start_order
{
    worker_id worker;
    task_name task;
    int run = 0;
    std::string payload;
    std::string saved; ///< Checkpoint to resume from, or empty.
    std::int64_t leaseUntilMs = 0; ///< On the worker's clock.
    std::int64_t epoch = 0; ///< The worker refuses epochs below the highest it has seen.
};

/// Orders a worker to stop a run. Once answered, that run can never begin there any more.
struct stop_order
{
    worker_id worker;
    task_name task;
    int run = 0;
    std::int64_t epoch = 0;
};

/// Orders a worker to let a run work at a share of its speed.
struct pace_order
{
    worker_id worker;
    task_name task;
    int run = 0;
    int percent = 100;
    std::int64_t epoch = 0;
};

/// Asks a worker what runs and what has ended, and renews its lease.
struct poll_order
{
    worker_id worker;
    std::string address; ///< Further orders to the worker go there too.
    std::uint64_t number = 0; ///< Increases for each worker; comes back with the result.
    std::int64_t epoch = 0;
    std::int64_t ackedEnds = 0; ///< Ends up to this number may be forgotten.
    std::optional<std::int64_t> leaseUntilMs; ///< On the worker's clock.
    std::int64_t waitMs = 0; ///< The worker may wait this long for an end before it answers.
};

/// How an order ended.
enum class order_outcome {
    done,
    refused_fence, ///< A higher epoch has been seen: this host does not own the jobs any more.
    refused_old, ///< A higher run, or a stop of this run, came before.
    refused_late, ///< The lease had run out when the order arrived.
    refused_room, ///< It does not fit.
    refused_ticket, ///< The step may not run there.
    invalid, ///< The worker does not understand the order.
    not_done, ///< Surely not carried out; the worker is unwell or was not reached.
    other_incarnation, ///< The worker was started anew.
    connection_refused, ///< Not carried out. A partition can refuse as well as an ended process.
    no_answer, ///< May have been carried out, or may be carried out later.
};

/// The answer to a start, stop or pace order.
struct order_result
{
    order_outcome outcome = order_outcome::no_answer;
    std::optional<std::int64_t> clockMs; ///< The worker's clock, if the answer has it.
};

/// The answer to a poll.
struct poll_result
{
    order_outcome outcome = order_outcome::no_answer;
    worker_report report; ///< If `outcome` is `done`.
};

/// Records to make durable together, and nothing else between them.
struct commit_batch
{
    std::vector<store_put> puts;
    std::vector<std::string> removedKeys;
};

/// What the scheduler asks for. No function may call back into the scheduler before it returns.
class scheduler_ports
{
public:
    virtual ~scheduler_ports() = default;

    virtual void start(const start_order &order) = 0;
    virtual void stop(const stop_order &order) = 0;
    virtual void pace(const pace_order &order) = 0;
    virtual void poll(const poll_order &order) = 0;

    /// Makes a batch durable; answered by scheduler_core::onCommitted() or onCommitRefused(). One
    /// is under way at most.
    virtual void commit(commit_batch batch) = 0;

    /// Answers a call.
    virtual void answer(const job_reply &reply) = 0;

    /// Writes one structured line; \p fields are `name=value` pairs.
    virtual void log(const std::string &event, const std::string &fields) = 0;
    /// Asked before each line of logDetail(). Returns false if there is no room for it: the line is
    /// left out, which the answer has counted already.
    virtual bool wantsDetail() = 0;
    /// Writes a line on a single task or order. There are hundreds a second, and they are the
    /// first to be left out.
    virtual void logDetail(const std::string &event, const std::string &fields) = 0;
};

} // namespace crocuswind::scheduler

#endif
