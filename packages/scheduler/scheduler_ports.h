/// Defines the outgoing interface of the scheduler: commands to workers, commits, replies to
/// callers and log lines.
#ifndef CROCUSWIND_SCHEDULER_SCHEDULER_PORTS_H
#define CROCUSWIND_SCHEDULER_SCHEDULER_PORTS_H

#include "job_calls.h"
#include "worker_record.h"

#include <cstdint>
#include <string>
#include <vector>

namespace crocuswind::scheduler {

/// Tells a worker to start a run. The lease applies to all runs of the worker.
struct start_command
{
    worker_id worker;
    task_name task;
    int run = 0;
    std::string payload;
    std::string checkpoint; ///< Checkpoint to resume from, or empty.
    std::int64_t leaseUntilMs = 0; ///< On the worker's clock.
    std::int64_t epoch
        = 0; ///< Fencing token: the worker refuses any below the highest it has seen.
    instant sentAt; ///< On the clock of the owner; not sent.
};

/// Tells a worker to stop a run. Once the worker has answered, that run can never begin there, not
/// even by a delayed start command.
struct stop_command
{
    worker_id worker;
    task_name task;
    int run = 0;
    std::int64_t epoch = 0;
};

/// Tells a worker to limit a run to a percentage of its full speed.
struct pace_command
{
    worker_id worker;
    task_name task;
    int run = 0;
    int percent = 100;
    std::int64_t epoch = 0;
};

/// Asks a worker for its current runs and completions, and renews its lease.
struct poll_command
{
    worker_id worker;
    std::string address; ///< Later commands to the worker are sent there as well.
    std::uint64_t number = 0; ///< Increases with each poll of the worker; returned with the result.
    std::int64_t epoch = 0;
    std::int64_t ackedCompletions = 0; ///< The worker may forget completions up to this number.
    std::optional<std::int64_t> leaseUntilMs; ///< On the worker's clock.
    std::int64_t waitMs = 0; ///< The worker may wait this long for a completion before it answers.
};

/// The outcome of a command.
enum class command_outcome {
    done,
    refused_stale_epoch, ///< The worker has seen a higher epoch: this host no longer owns the jobs.
    refused_stale_run, ///< The worker has received a higher run number, or a stop of this run.
    refused_lease_expired, ///< The lease had expired when the command arrived.
    refused_no_capacity, ///< The worker does not have enough free capacity.
    refused_ticket, ///< The worker is not permitted to run the step.
    invalid, ///< The worker could not parse the command.
    not_done, ///< Certainly not carried out: the worker is faulty or was not reached.
    other_incarnation, ///< The worker process has restarted.
    connection_refused, ///< Not carried out. Caused by an ended process or by a network partition.
    no_answer, ///< Unknown: it may have been carried out, or may still be.
};

/// The result of a start, stop or pace command.
struct command_result
{
    command_outcome outcome = command_outcome::no_answer;
    std::optional<std::int64_t> clockMs; ///< The worker's clock, if the answer contains it.
};

/// The result of a poll.
struct poll_result
{
    command_outcome outcome = command_outcome::no_answer;
    worker_report report; ///< Set if `outcome` is `done`.
};

/// Changes of the store that are applied in one transaction.
struct commit_batch
{
    std::vector<store_put> puts;
    std::vector<std::string> removedKeys;
    /// Confirms the ownership, which other hosts see. The authority of the owner is counted from
    /// when this was sent.
    bool confirmsOwnership = false;
};

/// The actions that the scheduler issues. No function may call back into the scheduler before it
/// returns.
class scheduler_ports
{
public:
    virtual ~scheduler_ports() = default;

    virtual void start(const start_command &command) = 0;
    virtual void stop(const stop_command &command) = 0;
    virtual void pace(const pace_command &command) = 0;
    virtual void poll(const poll_command &command) = 0;
    /// Raises the fencing token of the worker's later commands within the epoch: once the worker
    /// has received one of them, those sent before can have no effect.
    virtual void fenceEarlierCommands(const worker_id &worker) = 0;

    /// Makes a batch durable. The result arrives as scheduler_core::onCommitted() or
    /// onCommitRefused(). At most one batch is in flight.
    virtual void commit(commit_batch batch) = 0;

    /// Sends the reply to a call.
    virtual void answer(const job_reply &reply) = 0;

    /// Writes one structured line; \p fields are `name=value` pairs.
    virtual void log(const std::string &event, const std::string &fields) = 0;
    /// Called before each logDetail(). Returns false if the log has no capacity for the line; the
    /// caller then omits it, and this call has already counted it as dropped.
    virtual bool shouldLogDetail() = 0;
    /// Writes a line on a single task or command. There are hundreds a second, and they are the
    /// first to be dropped under load.
    virtual void logDetail(const std::string &event, const std::string &fields) = 0;
};

} // namespace crocuswind::scheduler

#endif
