/// Holds the jobs of a shard: the stored records, grouped by segment, and for each task the runtime
/// state that only the current owner knows.
#ifndef CROCUSWIND_BATCH_JOB_TABLE_H
#define CROCUSWIND_BATCH_JOB_TABLE_H

#include "resource_accounting.h"
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

/// Progress of removing a task from its worker.
enum class removal_step {
    none,
    checkpointing, ///< The worker was asked to checkpoint the task first.
    stopping, ///< The worker is told to stop the task.
};

/// State of a task that the owner keeps in memory only.
struct task_runtime
{
    std::int64_t claimSequence = 0; ///< Sequence of the commit that contains the claim.
    bool isRestored = false; ///< Claimed by a former owner and not yet reported by the worker.
    /// Incarnation of the worker to which the start was sent, 0 if none.
    worker_incarnation startIncarnation = 0;
    std::int64_t startSequence = 0; ///< Sequence of the last sync that carried the start.
    int missingReports = 0; ///< Number of reports after the start that did not list the task.
    bool isReported = false; ///< The worker has reported the attempt.
    instant firstStartAt; ///< When the start was first sent.
    bool isStartConfirmed = false; ///< Has run for `startConfirmedAfter`.
    removal_step removal = removal_step::none;
    std::string removalReason;
    std::int64_t checkpointBefore = 0; ///< Checkpoint number when the removal began.
    instant stopAt; ///< When the task is stopped even without a new checkpoint.
    instant waitingSince;
    instant notBefore; ///< Earliest time at which a waiting task may be placed.
    std::set<worker_id> failedOn; ///< Workers on which the task failed; avoided if possible.
    /// Workers whose latest failure of the task was counted against the job.
    std::set<worker_id> chargedOn;
    int throttlePermille = 1000;
    std::optional<task_usage> usage;
};

/// One job with its stored record and in-memory state.
struct job_entry
{
    job_record record;
    int segment = 0;
    std::string workKind; ///< See `workKindOf`.
    std::int64_t lastChangeSequence = 0; ///< Sequence of the commit that contains its last change.
    std::int64_t submissionSequence = 0; ///< Sequence of the commit that contains its submission.
    std::vector<task_runtime> runtime;
    std::optional<trace_context> trace;
    instant since; ///< When this owner loaded or accepted the job.
};

/// The jobs of one shard.
class job_table
{
public:
    /// Returns the number of the segment that stores \p job.
    static int segmentOf(const job_id &job);

    /// Adds a job; it must not be in the table.
    job_entry &add(job_record record, instant now);

    void remove(const job_id &job);

    /// Returns the job, or null if it is not in the table.
    job_entry *find(const job_id &job);
    const job_entry *find(const job_id &job) const;

    const std::map<job_id, job_entry> &jobs() const { return m_jobs; }

    /// Encodes a segment. First removes its oldest finished jobs if it exceeds the limits on their
    /// number or on its size.
    std::string encodeSegment(int segment);

    /// Marks a job as finished, so that it may be removed by `encodeSegment`.
    void markFinished(const job_id &job);

    /// Returns the number of the next submission and increments it.
    std::int64_t takeNumber() { return m_nextNumber++; }

private:
    struct segment_jobs
    {
        std::set<job_id> all;
        std::set<std::pair<std::int64_t, job_id>> finished; ///< Ordered by submission number.
    };

    void trim(segment_jobs &segment, std::size_t bytes);

    std::map<job_id, job_entry> m_jobs;
    std::array<segment_jobs, segmentCount> m_segments;
    std::int64_t m_nextNumber = 1;
};

} // namespace crocuswind

#endif
