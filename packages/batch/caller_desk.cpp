#include "caller_desk.h"

#include <algorithm>
#include <fmt/format.h>

namespace crocuswind {

namespace {

/// A caller that waits for a commit is told "unknown" after this time.
constexpr duration commitPatience = 5s;
/// A segment is refused further jobs beyond this size. The store's limit is 1 MB, and the records
/// of the jobs in it still grow.
constexpr std::size_t maxSegmentBytes = 600 * 1024;
/// An answer to a list is limited to 1 MB, as all bodies are.
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

bool caller_desk::refuseIfNotServing(shard_state &state, caller_token caller, bool isChange)
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

void caller_desk::wait(shard_state &state, caller_token caller, const job_entry &job,
                       std::int64_t sequence, job_outcome outcome)
{
    m_waiting.push_back({caller, job.record.spec.id, outcome, job.segment, sequence, state.now});
}

void caller_desk::submit(shard_state &state, const placer &placement, const shard_submit &request)
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
        refuseIfNotServing(state, request.caller, true);
        return;
    }
    if (const job_entry *known = state.jobs.find(request.spec.id)) {
        if (known->record.spec != request.spec)
            reply(state, request.caller, job_outcome::conflict,
                  "a job of this name was submitted with other content");
        else if (state.pipeline.isDurable(known->segment, known->submittedAt))
            reply(state, request.caller,
                  {job_outcome::exists, "", {}, {viewOf(state, placement, *known)}, {}});
        else
            wait(state, request.caller, *known, known->submittedAt, job_outcome::exists);
        return;
    }
    if (refuseIfNotServing(state, request.caller, true))
        return;
    if (!state.hasHostList || state.book.workers().empty()) {
        reply(state, request.caller, job_outcome::not_accepted,
              "no worker of the shard is known yet");
        return;
    }
    const std::string misfit = explainMisfit(state.book, request.spec.size);
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
    // A record takes about 200 bytes and 20 for each replica besides the payload.
    m_pendingBytes[std::size_t(segment)]
        += request.spec.payload.size() + 200 + 20 * std::size_t(request.spec.replicas);
    job_entry &job = state.submit(request.spec);
    job.trace = request.trace;
    wait(state, request.caller, job, job.submittedAt, job_outcome::accepted);
}

void caller_desk::cancel(shard_state &state, const placer &placement, const shard_cancel &request)
{
    if (refuseIfNotServing(state, request.caller, false))
        return;
    job_entry *job = state.jobs.find(request.job);
    if (job == nullptr) {
        reply(state, request.caller, job_outcome::not_found, "there is no such job");
        return;
    }
    if (!job->record.isCancelled && !isFinished(job->record)) {
        if (refuseIfNotServing(state, request.caller, true))
            return;
        state.cancel(*job);
    }
    if (state.isDurable(*job))
        reply(state, request.caller,
              {job_outcome::cancelled, "", {}, {viewOf(state, placement, *job)}, {}});
    else
        wait(state, request.caller, *job, job->touchedAt, job_outcome::cancelled);
}

void caller_desk::query(shard_state &state, const placer &placement, const shard_query &request)
{
    if (refuseIfNotServing(state, request.caller, false))
        return;
    const job_entry *job = state.jobs.find(request.job);
    if (job == nullptr)
        reply(state, request.caller, job_outcome::not_found, "there is no such job");
    else
        reply(state, request.caller,
              {job_outcome::found, "", {}, {viewOf(state, placement, *job)}, {}});
}

void caller_desk::list(shard_state &state, const placer &placement, const shard_list &request)
{
    if (refuseIfNotServing(state, request.caller, false))
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
        // A list is an overview; payloads would make it exceed the limit of a body.
        answer.jobs.back().record.spec.payload.clear();
    }
    reply(state, request.caller, std::move(answer));
}

void caller_desk::settleDurable(shard_state &state, const placer &placement)
{
    m_pendingBytes.fill(0);
    std::vector<waiting_caller> waiting;
    waiting.swap(m_waiting);
    for (waiting_caller &caller : waiting) {
        if (!state.pipeline.isDurable(caller.segment, caller.sequence)) {
            m_waiting.push_back(std::move(caller));
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

void caller_desk::refuseUnsent(shard_state &state)
{
    std::vector<waiting_caller> waiting;
    waiting.swap(m_waiting);
    for (waiting_caller &caller : waiting) {
        const bool isSubmission
            = caller.outcome == job_outcome::accepted || caller.outcome == job_outcome::exists;
        if (!isSubmission || state.pipeline.mayHaveLanded(caller.segment, caller.sequence)) {
            m_waiting.push_back(std::move(caller));
            continue;
        }
        state.drop(caller.job);
        reply(state, caller.caller, job_outcome::not_accepted, "the store does not answer");
    }
    // A cancellation of a job that was dropped has nothing left to wait for.
    for (auto at = m_waiting.begin(); at != m_waiting.end();) {
        if (state.jobs.find(at->job) != nullptr) {
            ++at;
            continue;
        }
        reply(state, at->caller, job_outcome::not_found, "its submission was not accepted");
        at = m_waiting.erase(at);
    }
}

void caller_desk::settleOverdue(shard_state &state)
{
    while (due() <= state.now) {
        reply(state, m_waiting.front().caller, job_outcome::unknown,
              "the store has not confirmed it; repeat or query it");
        m_waiting.erase(m_waiting.begin());
    }
}

void caller_desk::settleLost(shard_state &state)
{
    for (const waiting_caller &caller : m_waiting) {
        const bool isUnknown = state.pipeline.mayHaveLanded(caller.segment, caller.sequence);
        reply(state, caller.caller, isUnknown ? job_outcome::unknown : job_outcome::not_accepted,
              "this host has lost the shard");
    }
    m_waiting.clear();
    m_pendingBytes.fill(0);
}

instant caller_desk::due() const
{
    return m_waiting.empty() ? instant::max() : m_waiting.front().since + commitPatience;
}

} // namespace crocuswind
