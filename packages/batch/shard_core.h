/// Defines the batch scheduler of one shard as a state machine without I/O.
#ifndef CROCUSWIND_BATCH_SHARD_CORE_H
#define CROCUSWIND_BATCH_SHARD_CORE_H

#include "interference.h"
#include "shard_events.h"

#include <memory>
#include <vector>

namespace crocuswind {

/// The constant settings of one shard on one host.
struct shard_settings
{
    host_id host;
    /// Incarnation of this host's process; distinguishes its writes from those of earlier ones.
    incarnation incarnationNumber = 0;
    shard_id shard;
    /// Number of shards of the data centre; determines the shard of each worker and job.
    int shardCount = 1;
    interference_control control = interference_control::learned;
};

/// Returns the shard of \p shardCount that a job belongs to.
int shardOfJob(const job_id &job, int shardCount);

/// Returns the shard of \p shardCount that a worker belongs to.
int shardOfWorker(const worker_id &worker, int shardCount);

/// Counters and gauges of a shard, for metrics and tests.
struct shard_status
{
    bool isOwner = false;
    std::int64_t epoch = 0;
    std::size_t jobs = 0;
    std::size_t waitingTasks = 0;
    std::size_t claimedTasks = 0;
    std::size_t workers = 0;
    std::size_t workersQuarantined = 0; ///< Quarantined because they fail what they start.
    std::int64_t commits = 0;
    std::int64_t storeCalls = 0;
};

/// Schedules the jobs of a shard while this host owns the shard in the store.
class shard_core
{
public:
    explicit shard_core(shard_settings settings);
    ~shard_core();
    shard_core(const shard_core &) = delete;
    shard_core &operator=(const shard_core &) = delete;

    /// Handles one event and returns the actions to carry out, in order. Event times must not
    /// decrease.
    std::vector<shard_action> handle(const shard_event &event);

    /// Returns the current counters and gauges.
    shard_status status() const;

private:
    class implementation;
    std::unique_ptr<implementation> m_implementation;
};

} // namespace crocuswind

#endif
