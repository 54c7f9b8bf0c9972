/// Keeps the jobs of a shard: the records that the store holds, by segment, and for each task what
/// only the present owner knows.
#ifndef CROCUSWIND_BATCH_JOB_TABLE_H
#define CROCUSWIND_BATCH_JOB_TABLE_H

#include "commitments.h"
#include "shard_keys.h"
#include "worker_sync.h"

#include <array>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace crocuswind {

/// How far a task has been taken off its worker.
enum class removal_step {
    none,
    checkpointing, ///< Asked to save its state first.
    stopping, ///< Told to stop.
};

/// What the owner of the shard knows about a task beyond its record.
struct task_runtime
{
    std::int64_t claimedAt = 0; ///< Sequence of the commit that holds the claim.
    bool isFromStore = false; ///< Claimed by a former owner and not yet reported by the worker.
    worker_incarnation startedIn
        = 0; ///< Life of the worker to which the start was sent, 0 if none.
    std::int64_t startSequence = 0; ///< Of the last sync that carried the start.
    int missingReports = 0; ///< Reports after a start that did not name the task.
    bool isSeen = false; ///< The worker has reported the attempt.
    instant firstStartAt; ///< When the start was first sent.
    bool isProven = false; ///< Has run long enough to speak for the worker.
    removal_step removal = removal_step::none;
    std::string removalReason;
    std::int64_t checkpointBefore = 0; ///< Checkpoint number when the removal began.
    instant stopAt; ///< When a removal stops waiting for the checkpoint.
    instant waitingSince;
    instant notBefore; ///< A waiting task is not placed before this time.
    std::set<worker_id> failedOn; ///< Workers to avoid; cleared when the attempt after succeeds.
    int throttlePermille = 1000;
    std::optional<task_usage> usage;
};

/// One job with everything that is known about it.
struct job_entry
{
    job_record record;
    int segment = 0;
    std::int64_t touchedAt = 0; ///< Sequence of the commit that holds its last change.
    std::int64_t submittedAt = 0; ///< Sequence of the commit that holds its submission.
    std::vector<task_runtime> runtime;
    std::optional<trace_context> trace;
    instant since; ///< When this owner learned of the job.
};

/// The jobs of one shard.
class job_table
{
public:
    /// Returns the segment of a job.
    static int segmentOf(const job_id &job);

    /// Adds a job that is not yet known.
    job_entry &add(job_record record, instant now);

    void remove(const job_id &job);

    /// Returns the job, or null if it is not known.
    job_entry *find(const job_id &job);
    const job_entry *find(const job_id &job) const;

    const std::map<job_id, job_entry> &jobs() const { return m_jobs; }

    /// Encodes a segment after dropping its oldest finished jobs beyond the bounds.
    std::string encodeSegment(int segment);

    /// Notes that a job has finished, so that it may later be dropped.
    void noteFinished(const job_id &job);

    /// The number for the next submission.
    std::int64_t takeNumber() { return m_nextNumber++; }

private:
    struct segment_jobs
    {
        std::set<job_id> all;
        std::set<std::pair<std::int64_t, job_id>> finished; ///< By number of submission.
    };

    void trim(segment_jobs &segment, std::size_t bytes);

    std::map<job_id, job_entry> m_jobs;
    std::array<segment_jobs, segmentCount> m_segments;
    std::int64_t m_nextNumber = 1;
};

} // namespace crocuswind

#endif
