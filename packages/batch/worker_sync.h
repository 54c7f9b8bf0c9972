/// Defines the messages exchanged with workers, that is the body of `POST /v1/sync` and its answer,
/// and the entry of a worker in the host list.
///
/// A worker must follow these rules of the protocol:
/// - It refuses an epoch below the highest one that it has seen for the shard, with status 409 and
///   that highest epoch.
/// - Before it handles any message, it stops the tasks whose lease has expired.
/// - It applies a sync only if its sequence is higher than that of any sync applied in this epoch.
///   Otherwise it only answers with its report.
/// - It renews leases and carries out starts only if it answered the sync with sequence `basis`, in
///   the same epoch and incarnation, less than `lease_ms` ago. This limits how long a sync that is
///   delayed in the network stays effective: no task outlives the last sync sent by more than two
///   leases. Stops, checkpoints, throttles and forgets are carried out regardless of `basis`.
/// - It refuses an attempt that is not higher than the highest one that it has seen of the replica.
///   A stopped attempt counts as seen, and the stop of an unknown attempt is reported as stopped.
/// - It reports an ended attempt until it is told to forget it.
/// - A sync with a lease of 0 renews no lease, starts no task and ends no lease.
/// - The throttles of a sync replace those of earlier syncs: a task that is not listed is not
///   throttled.
#ifndef CROCUSWIND_BATCH_WORKER_SYNC_H
#define CROCUSWIND_BATCH_WORKER_SYNC_H

#include "job.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace crocuswind {

/// Identifies an incarnation of a worker's process. A restarted worker has a higher one and no
/// running tasks.
using worker_incarnation = std::int64_t;

/// A worker as listed in the host list.
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

/// Starts an attempt, from a checkpoint if its number is not 0.
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

/// Limits a running task to a share of its declared cores; 1000 permille removes the limit.
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
    /// Sequence of the last sync whose answer the owner has received, 0 if none.
    std::int64_t basis = 0;
    /// Lease of all tasks, counted from receipt; 0 renews nothing.
    std::int64_t leaseMs = 0;
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

/// The state of an attempt as reported by a worker.
enum class reported_state {
    running,
    done, ///< Completed successfully; `result` is its result.
    failed, ///< Failed; `result` is the reason.
    stopped, ///< Stopped on command or because its lease expired.
};

/// Resource usage of a task as last measured by the worker.
struct task_usage
{
    std::int64_t milliCores = 0;
    std::int64_t memoryMb = 0;
    int slowdownPermille = 0; ///< Run time of the work relative to running alone on the worker.
    std::int64_t ageMs = 0; ///< Age of the measurement.

    friend bool operator==(const task_usage &a, const task_usage &b)
    {
        return std::tie(a.milliCores, a.memoryMb, a.slowdownPermille, a.ageMs)
            == std::tie(b.milliCores, b.memoryMb, b.slowdownPermille, b.ageMs);
    }
};

/// The report on one attempt on a worker.
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

/// The answer to a sync: all attempts of the shard that the worker holds.
struct sync_report
{
    worker_id worker;
    worker_incarnation incarnationNumber = 0;
    std::int64_t epoch = 0; ///< Epoch and sequence of the answered sync.
    std::int64_t sequence = 0;
    std::vector<task_report> tasks;

    friend bool operator==(const sync_report &a, const sync_report &b)
    {
        return std::tie(a.worker, a.incarnationNumber, a.epoch, a.sequence, a.tasks)
            == std::tie(b.worker, b.incarnationNumber, b.epoch, b.sequence, b.tasks);
    }
};

/// The reason why a sync has no report.
struct sync_error
{
    enum class reason {
        not_sent, ///< The worker certainly did not receive it.
        no_answer, ///< The worker may have received it; also used if the answer cannot be parsed.
        stale_epoch, ///< The worker has seen a higher epoch, given in `epoch`.
    };

    reason why = reason::no_answer;
    std::int64_t epoch = 0;
};

std::string toString(reported_state state);
std::optional<reported_state> parseReportedState(std::string_view text);

} // namespace crocuswind

#endif
