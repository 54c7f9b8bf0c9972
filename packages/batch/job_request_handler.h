/// Handles the job requests of callers. Submissions and cancellations are answered once they are
/// durable, queries immediately.
#ifndef CROCUSWIND_BATCH_JOB_REQUEST_HANDLER_H
#define CROCUSWIND_BATCH_JOB_REQUEST_HANDLER_H

#include "explanation.h"

#include <array>
#include <vector>

namespace crocuswind {

/// Handles job requests and keeps those whose change is not yet committed.
class job_request_handler
{
public:
    void submit(shard_state &state, const placer &placement, const shard_submit &request);
    void cancel(shard_state &state, const placer &placement, const shard_cancel &request);
    void query(shard_state &state, const placer &placement, const shard_query &request);
    void list(shard_state &state, const placer &placement, const shard_list &request);

    /// Replies to the requests whose change is durable.
    void replyToCommitted(shard_state &state, const placer &placement);

    /// After a failed commit, rejects the submissions that cannot be in the store and removes their
    /// jobs.
    void rejectUncommitted(shard_state &state);

    /// Replies `unknown` to requests that have waited longer than the commit timeout.
    void replyToTimedOut(shard_state &state);

    /// Replies to all pending requests when this host loses the shard.
    void replyOnOwnershipLoss(shard_state &state);

    /// Returns when the next pending request times out, or `instant::max()`.
    instant due() const;

    bool isEmpty() const { return m_pending.empty(); }

private:
    struct pending_request
    {
        caller_token caller = 0;
        job_id job;
        job_outcome outcome = job_outcome::accepted;
        int segment = 0;
        std::int64_t sequence = 0;
        instant since;
    };

    bool rejectIfNotServing(shard_state &state, caller_token caller, bool isChange);
    void awaitCommit(shard_state &state, caller_token caller, const job_entry &job,
                     std::int64_t sequence, job_outcome outcome);

    std::vector<pending_request> m_pending; ///< In order of arrival.
    /// Estimated size of the jobs submitted since the last commit, by segment.
    std::array<std::size_t, segmentCount> m_pendingBytes{};
};

} // namespace crocuswind

#endif
