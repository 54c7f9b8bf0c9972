/// Answers callers: submissions and cancellations once they are durable, queries at once.
#ifndef CROCUSWIND_BATCH_CALLER_DESK_H
#define CROCUSWIND_BATCH_CALLER_DESK_H

#include "explanation.h"

#include <array>
#include <vector>

namespace crocuswind {

/// The callers that wait for a commit, and what they are told.
class caller_desk
{
public:
    void submit(shard_state &state, const placer &placement, const shard_submit &request);
    void cancel(shard_state &state, const placer &placement, const shard_cancel &request);
    void query(shard_state &state, const placer &placement, const shard_query &request);
    void list(shard_state &state, const placer &placement, const shard_list &request);

    /// Answers the callers whose change is durable.
    void settleDurable(shard_state &state, const placer &placement);

    /// After a failed commit: refuses the submissions that surely are not in the store, and forgets
    /// their jobs.
    void refuseUnsent(shard_state &state);

    /// Answers "unknown" to the callers that have waited too long for a commit.
    void settleOverdue(shard_state &state);

    /// Answers all callers when the ownership ends.
    void settleLost(shard_state &state);

    /// Returns when the next caller will have waited too long, or `instant::max()`.
    instant due() const;

    bool isEmpty() const { return m_waiting.empty(); }

private:
    struct waiting_caller
    {
        caller_token caller = 0;
        job_id job;
        job_outcome outcome = job_outcome::accepted;
        int segment = 0;
        std::int64_t sequence = 0;
        instant since;
    };

    bool refuseIfNotServing(shard_state &state, caller_token caller, bool isChange);
    void wait(shard_state &state, caller_token caller, const job_entry &job, std::int64_t sequence,
              job_outcome outcome);

    std::vector<waiting_caller> m_waiting; ///< In the order of arrival.
    std::array<std::size_t, segmentCount> m_pendingBytes{}; ///< Submitted since the last commit.
};

} // namespace crocuswind

#endif
