#include "job_request_handler.h"

#include <algorithm>
#include <fmt/format.h>

namespace crocuswind {

namespace {

/// A request whose change is not committed within this time is answered with `unknown`.
constexpr duration commitTimeout = 5s;
/// A segment accepts no further jobs above this size. The store's limit is 1 MB, and the records of
/// the jobs in the segment still grow.
constexpr std::size_t maxSegmentBytes = 600 * 1024;
/// Limits the response to a list, as every body is limited to 1 MB.
constexpr std::size_t maxListedJobs = 500;

void reply(shard_state &state, caller_token caller, job_reply answer)
{
    state.actions.push_back(shard_reply{caller, std::move(answer)});
}

void reply(shard_state &state, caller_token caller, job_outcome outcome, std::string reason)
{
    job_reply answer;
    answer.outcome = outcome;
    answer.reason = std::move(reason);
    reply(state, caller, std::move(answer));
}

job_view viewOf(const shard_state &state, const placer &placement, const job_entry &job)
{
    return {job.record, stateOf(job.record), explain(state, placement, job)};
}

} // namespace

bool job_request_handler::rejectIfNotServing(shard_state &state, caller_token caller, bool isChange)
{
    if (!state.owner.isOwner()) {
        job_reply answer;
        answer.outcome = job_outcome::not_owner;
        answer.reason = "this host does not own the shard";
        answer.owner = state.owner.otherOwner();
        reply(state, caller, std::move(answer));
        return true;
    }
    if (!isChange)
        return false;
    std::string reason;
    if (state.isDraining)
        reason = "this entry host is stopping";
    else if (!state.owner.mayClaim(state.now))
        reason = "the lease of this entry host has expired or must be confirmed";
    else if (state.pipeline.isStoreDown())
        reason = "the store does not answer";
    if (reason.empty())
        return false;
    reply(state, caller, job_outcome::not_accepted, reason);
    return true;
}

void job_request_handler::awaitCommit(shard_state &state, caller_token caller, const job_entry &job,
                                      std::int64_t sequence, job_outcome outcome)
{
    m_pending.push_back({caller, job.record.spec.id, outcome, job.segment, sequence, state.now});
}

void job_request_handler::submit(shard_state &state, const placer &placement,
                                 const shard_submit &request)
{
    findings problems = checkJobSpec(request.spec, "job");
    if (!problems.empty()) {
        job_reply answer;
        answer.outcome = job_outcome::invalid;
        answer.problems = std::move(problems);
        reply(state, request.caller, std::move(answer));
        return;
    }
    if (!state.owner.isOwner()) {
        rejectIfNotServing(state, request.caller, true);
        return;
    }
    if (const job_entry *known = state.jobs.find(request.spec.id)) {
        if (known->record.spec != request.spec)
            reply(state, request.caller, job_outcome::conflict,
                  "a job of this name was submitted with other content");
        else if (state.pipeline.isDurable(known->segment, known->submissionSequence))
            reply(state, request.caller,
                  {job_outcome::exists, "", {}, {viewOf(state, placement, *known)}, {}});
        else
            awaitCommit(state, request.caller, *known, known->submissionSequence,
                        job_outcome::exists);
        return;
    }
    if (rejectIfNotServing(state, request.caller, true))
        return;
    if (!state.hasHostList || state.accounting.workers().empty()) {
        reply(state, request.caller, job_outcome::not_accepted,
              "no worker of the shard is known yet");
        return;
    }
    const std::string misfit = explainMisfit(state.accounting, request.spec.size);
    if (!misfit.empty()) {
        reply(state, request.caller, job_outcome::never_fits, misfit);
        return;
    }
    const int segment = job_table::segmentOf(request.spec.id);
    const std::size_t pending = m_pendingBytes[std::size_t(segment)];
    if (state.pipeline.segmentBytes(segment) + pending > maxSegmentBytes) {
        reply(state, request.caller, job_outcome::not_accepted, "the shard is full");
        return;
    }
    // In addition to the payload, a record takes about 200 bytes and 20 bytes per replica.
    m_pendingBytes[std::size_t(segment)]
        += request.spec.payload.size() + 200 + 20 * std::size_t(request.spec.replicas);
    job_entry &job = state.submit(request.spec);
    job.trace = request.trace;
    awaitCommit(state, request.caller, job, job.submissionSequence, job_outcome::accepted);
}

void job_request_handler::cancel(shard_state &state, const placer &placement,
                                 const shard_cancel &request)
{
    if (rejectIfNotServing(state, request.caller, false))
        return;
    job_entry *job = state.jobs.find(request.job);
    if (job == nullptr) {
        reply(state, request.caller, job_outcome::not_found, "there is no such job");
        return;
    }
    if (!job->record.isCancelled && !isFinished(job->record)) {
        if (rejectIfNotServing(state, request.caller, true))
            return;
        state.cancel(*job);
    }
    if (state.isDurable(*job))
        reply(state, request.caller,
              {job_outcome::cancelled, "", {}, {viewOf(state, placement, *job)}, {}});
    else
        awaitCommit(state, request.caller, *job, job->lastChangeSequence, job_outcome::cancelled);
}

void job_request_handler::query(shard_state &state, const placer &placement,
                                const shard_query &request)
{
    if (rejectIfNotServing(state, request.caller, false))
        return;
    const job_entry *job = state.jobs.find(request.job);
    if (job == nullptr)
        reply(state, request.caller, job_outcome::not_found, "there is no such job");
    else
        reply(state, request.caller,
              {job_outcome::found, "", {}, {viewOf(state, placement, *job)}, {}});
}

void job_request_handler::list(shard_state &state, const placer &placement,
                               const shard_list &request)
{
    if (rejectIfNotServing(state, request.caller, false))
        return;
    job_reply answer;
    answer.outcome = job_outcome::found;
    const auto &jobs = state.jobs.jobs();
    auto at = request.after ? jobs.upper_bound(*request.after) : jobs.begin();
    const std::size_t limit = std::min(request.limit, maxListedJobs);
    for (; at != jobs.end() && answer.jobs.size() < limit; ++at) {
        if (request.team && at->first.team != *request.team)
            continue;
        answer.jobs.push_back(viewOf(state, placement, at->second));
        // Payloads are omitted, as they would make the response exceed the body limit.
        answer.jobs.back().record.spec.payload.clear();
    }
    reply(state, request.caller, std::move(answer));
}

void job_request_handler::replyToCommitted(shard_state &state, const placer &placement)
{
    m_pendingBytes.fill(0);
    std::vector<pending_request> waiting;
    waiting.swap(m_pending);
    for (pending_request &caller : waiting) {
        if (!state.pipeline.isDurable(caller.segment, caller.sequence)) {
            m_pending.push_back(std::move(caller));
            continue;
        }
        job_reply answer;
        answer.outcome = caller.outcome;
        if (const job_entry *job = state.jobs.find(caller.job)) {
            answer.jobs.push_back(viewOf(state, placement, *job));
            if (job->trace && caller.outcome == job_outcome::accepted) {
                state.actions.push_back(shard_span{"job.commit",
                                                   *job->trace,
                                                   caller.since,
                                                   state.now,
                                                   {{"job", toString(caller.job)}}});
            }
        }
        reply(state, caller.caller, std::move(answer));
    }
}

void job_request_handler::rejectUncommitted(shard_state &state)
{
    std::vector<pending_request> waiting;
    waiting.swap(m_pending);
    for (pending_request &caller : waiting) {
        const bool isSubmission
            = caller.outcome == job_outcome::accepted || caller.outcome == job_outcome::exists;
        if (!isSubmission || state.pipeline.mayBeCommitted(caller.segment, caller.sequence)) {
            m_pending.push_back(std::move(caller));
            continue;
        }
        state.drop(caller.job);
        reply(state, caller.caller, job_outcome::not_accepted, "the store does not answer");
    }
    // Cancellations of the removed jobs cannot be committed any more.
    for (auto at = m_pending.begin(); at != m_pending.end();) {
        if (state.jobs.find(at->job) != nullptr) {
            ++at;
            continue;
        }
        reply(state, at->caller, job_outcome::not_found, "its submission was not accepted");
        at = m_pending.erase(at);
    }
}

void job_request_handler::replyToTimedOut(shard_state &state)
{
    while (due() <= state.now) {
        reply(state, m_pending.front().caller, job_outcome::unknown,
              "the store has not confirmed it; repeat or query it");
        m_pending.erase(m_pending.begin());
    }
}

void job_request_handler::replyOnOwnershipLoss(shard_state &state)
{
    for (const pending_request &caller : m_pending) {
        const bool isUnknown = state.pipeline.mayBeCommitted(caller.segment, caller.sequence);
        reply(state, caller.caller, isUnknown ? job_outcome::unknown : job_outcome::not_accepted,
              "this host has lost the shard");
    }
    m_pending.clear();
    m_pendingBytes.fill(0);
}

instant job_request_handler::due() const
{
    return m_pending.empty() ? instant::max() : m_pending.front().since + commitTimeout;
}

} // namespace crocuswind
