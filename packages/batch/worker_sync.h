/// Defines the values exchanged with workers: the body of `POST /v1/sync` and its answer, and what
/// the host list says about a worker.
///
/// The protocol rests on these rules, which a worker must follow:
/// - It refuses an epoch below the highest it has seen for the shard (status 409 with that epoch).
/// - Before it handles any message it stops the tasks whose lease has expired.
/// - It applies a sync only if its sequence is higher than any applied in this epoch; otherwise it
///   only reports.
/// - It renews leases and carries out starts only if it answered the sync numbered `basis`, of the
///   same epoch and in this incarnation, less than `lease_ms` ago. This bounds how long a sync that
///   is delayed in the network stays effective: no task outlives the last sync sent by more than
///   two leases. Stops, checkpoints, throttles and forgets are carried out without it.
/// - It refuses an attempt that is not higher than the highest it has seen of the replica. A stop
///   counts as having seen the attempt, and a stop of an unknown attempt is reported as stopped.
/// - It reports an ended attempt until told to forget it.
/// - A sync with a lease of 0 renews and starts nothing, and ends nothing.
/// - The throttles of a sync replace those of earlier ones: a task that is not named has none.
#ifndef CROCUSWIND_BATCH_WORKER_SYNC_H
#define CROCUSWIND_BATCH_WORKER_SYNC_H

#include "job.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace crocuswind {

/// One life of a worker's process; a restarted worker has a higher one and runs nothing.
using worker_incarnation = std::int64_t;

/// A worker as the host list describes it.
struct worker_info
{
    worker_id worker;
    rack_id rack;
    resources capacity;
    bool isLeaving = false;

    friend bool operator==(const worker_info &a, const worker_info &b)
    {
        return std::tie(a.worker, a.rack, a.capacity, a.isLeaving)
            == std::tie(b.worker, b.rack, b.capacity, b.isLeaving);
    }
    friend bool operator!=(const worker_info &a, const worker_info &b) { return !(a == b); }
};

/// Starts one attempt, from a checkpoint if its number is not 0.
struct start_command
{
    task_id task;
    resources size;
    std::int64_t runMs = 0;
    checkpoint from;
    std::string payload;

    friend bool operator==(const start_command &a, const start_command &b)
    {
        return std::tie(a.task, a.size, a.runMs, a.from, a.payload)
            == std::tie(b.task, b.size, b.runMs, b.from, b.payload);
    }
};

/// Limits a running task to a share of its declared cores; 1000 removes the limit.
struct throttle_command
{
    task_id task;
    int permille = 1000;

    friend bool operator==(const throttle_command &a, const throttle_command &b)
    {
        return a.task == b.task && a.permille == b.permille;
    }
};

/// The body of `POST /v1/sync`.
struct sync_request
{
    shard_id shard;
    std::int64_t epoch = 0;
    std::int64_t sequence = 0; ///< Increases with each sync of this epoch to this worker.
    std::int64_t basis = 0; ///< Sequence of the last sync whose answer the owner has, 0 if none.
    std::int64_t leaseMs
        = 0; ///< The lease of all tasks runs this long from receipt; 0: no renewal.
    std::vector<start_command> start;
    std::vector<task_id> stop;
    std::vector<task_id> checkpoint;
    std::vector<throttle_command> throttle;
    std::vector<task_id> forget;

    friend bool operator==(const sync_request &a, const sync_request &b)
    {
        return std::tie(a.shard, a.epoch, a.sequence, a.basis, a.leaseMs, a.start, a.stop,
                        a.checkpoint, a.throttle, a.forget)
            == std::tie(b.shard, b.epoch, b.sequence, b.basis, b.leaseMs, b.start, b.stop,
                        b.checkpoint, b.throttle, b.forget);
    }
};

/// What a worker says about an attempt.
enum class reported_state {
    running,
    done, ///< Ended with success; `result` is its result.
    failed, ///< Ended with an error; `result` is the reason.
    stopped, ///< Stopped on command or because its lease expired.
};

/// The usage of a task, measured some time ago.
struct task_usage
{
    std::int64_t milliCores = 0;
    std::int64_t memoryMb = 0;
    int slowdownPermille = 0; ///< How much longer the work takes than alone on the worker.
    std::int64_t ageMs = 0; ///< Age of the measurement.

    friend bool operator==(const task_usage &a, const task_usage &b)
    {
        return std::tie(a.milliCores, a.memoryMb, a.slowdownPermille, a.ageMs)
            == std::tie(b.milliCores, b.memoryMb, b.slowdownPermille, b.ageMs);
    }
};

/// One attempt on a worker.
struct task_report
{
    task_id task;
    reported_state state = reported_state::running;
    checkpoint lastCheckpoint;
    std::optional<task_usage> usage;
    std::string result;

    friend bool operator==(const task_report &a, const task_report &b)
    {
        return std::tie(a.task, a.state, a.lastCheckpoint, a.usage, a.result)
            == std::tie(b.task, b.state, b.lastCheckpoint, b.usage, b.result);
    }
};

/// The answer to a sync: everything that the worker has of the shard.
struct sync_report
{
    worker_id worker;
    worker_incarnation incarnationNumber = 0;
    std::int64_t epoch = 0; ///< Epoch and sequence of the sync that is answered.
    std::int64_t sequence = 0;
    std::vector<task_report> tasks;

    friend bool operator==(const sync_report &a, const sync_report &b)
    {
        return std::tie(a.worker, a.incarnationNumber, a.epoch, a.sequence, a.tasks)
            == std::tie(b.worker, b.incarnationNumber, b.epoch, b.sequence, b.tasks);
    }
};

/// Why a sync has no report.
struct sync_error
{
    enum class reason {
        not_sent, ///< The worker surely did not receive it.
        no_answer, ///< The worker may have received it; also for an answer that does not parse.
        stale_epoch, ///< The worker has seen a higher epoch, given in `epoch`.
    };

    reason why = reason::no_answer;
    std::int64_t epoch = 0;
};

std::string toString(reported_state state);
std::optional<reported_state> parseReportedState(std::string_view text);

} // namespace crocuswind

#endif
