#include "job_intake.h"

#include "commit_log.h"
#include "run_times.h"
#include "task_lifecycle.h"

#include <algorithm>
#include <fmt/format.h>

namespace crocuswind::scheduler {

namespace {

/// Retry delay while the store does not answer. Outages usually last seconds.
constexpr std::int64_t storeRetryMs = 1000;
constexpr const char *storeReason = "the store that keeps jobs does not answer";

/// Retry delay for a queue that is not in the configuration of this host yet.
constexpr std::int64_t unknownQueueRetryMs = 500;

void answer(scheduler_state &state, const job_call &call, job_outcome outcome)
{
    job_reply reply;
    reply.token = call.token;
    reply.outcome = outcome;
    state.ports.answer(reply);
}

void refuse(scheduler_state &state, const job_call &call, const std::string &reason,
            std::int64_t retryAfterMs, const std::string &inputs = {})
{
    ++state.counters.refused;
    state.ports.log("job_refused",
                    fmt::format("job={} queue={} retry_after_ms={} reason=\"{}\"{}",
                                call.name.value, call.queue.value, retryAfterMs, reason, inputs));
    job_reply reply;
    reply.token = call.token;
    reply.outcome = job_outcome::refused;
    reply.reason = reason;
    reply.retryAfterMs = retryAfterMs;
    state.ports.answer(reply);
}

// Returns the record of a job that is not accepted yet.
std::unique_ptr<job_record> makeJob(const scheduler_state &state, const job_call &call,
                                    const queue_policy &policy)
{
    auto job = std::make_unique<job_record>();
    job->spec = *call.spec;
    job->policy = policy;
    job->acceptedPolicy = policy;
    job->acceptedAt = state.now;
    job->requestedAt = state.loadRefusals.requestedAt(call.name).value_or(state.now);
    job->idleSince = state.now;
    job->acceptedUnixMs = state.unixOffsetMs
        + std::chrono::duration_cast<std::chrono::milliseconds>(state.now.time_since_epoch())
              .count();
    job->criticalPathsMs = expectedCriticalPathsMs(state, job->spec);
    return job;
}

void accept(scheduler_state &state, const job_call &call, std::unique_ptr<job_record> job)
{
    job->number = ++state.lastJobNumber;
    noteAccepted(state, *job);
    ++state.counters.accepted;
    state.logDetail("job_accepted", [&] {
        return fmt::format("job={} queue={} steps={} chain_ms={}", call.name.value,
                           call.queue.value, job->spec.steps.size(),
                           job->criticalPathsMs.empty() ? 0 : job->criticalPathsMs.front());
    });
    markDirty(state, *job).submissions.push_back(call.token);
    state.nextCommitAt = state.now;
    state.unstartedJobs.insert(call.name);
    state.jobs[call.name] = std::move(job);
}

void submit(scheduler_state &state, const job_call &call)
{
    if (job_record *known = state.findJob(call.name)) {
        if (known->isStored)
            answer(state, call, job_outcome::accepted);
        else
            markDirty(state, *known).submissions.push_back(call.token);
        return;
    }
    const auto policy = state.queues.find(call.queue);
    if (policy == state.queues.end()) {
        refuse(state, call, "the queue is not known here yet", unknownQueueRetryMs);
        return;
    }
    const findings mistakes = call.spec ? checkNewJob(*call.spec, call.name.value)
                                        : findings{{{"call", 0, 0}, "no job is given"}};
    if (!mistakes.empty()) {
        refuse(state, call, toString(mistakes), 0);
        return;
    }
    auto unsupported = unsupportedFeature(*call.spec);
    if (policy->second.needsAdvice)
        unsupported = "queues with advice are not supported yet";
    if (unsupported) {
        refuse(state, call, *unsupported, 0);
        return;
    }
    if (!state.isStoreAvailable) {
        refuse(state, call, storeReason, storeRetryMs);
        return;
    }
    auto job = makeJob(state, call, policy->second);
    if (const auto refusal = refusalForLoad(state, *job)) {
        ++state.counters.refusedForLoad;
        state.loadRefusals.record(call.name, state.now);
        refuse(state, call, refusal->reason, refusal->retryAfterMs, refusal->inputs);
        return;
    }
    accept(state, call, std::move(job));
}

bool isBeingCommitted(const scheduler_state &state, const job_name &name)
{
    return std::any_of(state.committing.begin(), state.committing.end(),
                       [&](const auto &entry) { return entry.first == name; });
}

void query(scheduler_state &state, const job_call &call)
{
    const job_record *job = state.findJob(call.name);
    if (job == nullptr || !job->isStored) {
        answer(state, call, job_outcome::not_found);
        return;
    }
    job_reply reply;
    reply.token = call.token;
    reply.outcome = job_outcome::found;
    reply.status = statusOf(*job);
    state.ports.answer(reply);
}

void cancel(scheduler_state &state, const job_call &call)
{
    job_record *job = state.findJob(call.name);
    if (job == nullptr) {
        answer(state, call, job_outcome::not_found);
        return;
    }
    if (job->isFinishStored) {
        answer(state, call, job_outcome::cancelled);
        return;
    }
    if (!job->isOver()) {
        job->isCancelled = true;
        job->finishedUnixMs = state.unixOffsetMs
            + std::chrono::duration_cast<std::chrono::milliseconds>(state.now.time_since_epoch())
                  .count();
        state.logDetail("job_cancelled", [&] { return fmt::format("job={}", call.name.value); });
        dropTasks(state, *job);
    }
    markDirty(state, *job).cancellations.push_back(call.token);
    state.nextCommitAt = state.now;
}

void countWaiting(scheduler_state &state, const job_call &call)
{
    job_reply reply;
    reply.token = call.token;
    reply.outcome = job_outcome::found;
    for (auto name = state.unstartedJobs.begin(); name != state.unstartedJobs.end();) {
        const job_record *job = state.findJob(*name);
        if (job == nullptr || job->isOver() || job->hasStarted()) {
            name = state.unstartedJobs.erase(name);
            continue;
        }
        reply.waitingJobs += job->spec.queue == call.queue && job->isStored ? 1 : 0;
        ++name;
    }
    state.ports.answer(reply);
}

} // namespace

void handleCall(scheduler_state &state, const job_call &call)
{
    if (!state.isOwner || state.isHandingOver) {
        answer(state, call, job_outcome::not_owner);
        return;
    }
    switch (call.kind) {
    case job_call_kind::submit:
        submit(state, call);
        return;
    case job_call_kind::query:
        query(state, call);
        return;
    case job_call_kind::cancel:
        cancel(state, call);
        return;
    case job_call_kind::count_waiting:
        countWaiting(state, call);
        return;
    }
    answer(state, call, job_outcome::not_found);
}

void refuseUnsentJobs(scheduler_state &state)
{
    const auto dirty = state.dirtyJobs;
    for (const job_name &name : dirty) {
        const job_record *job = state.findJob(name);
        if (job == nullptr || job->isStored || isBeingCommitted(state, name))
            continue;
        for (call_token token : state.waiters.at(name).submissions) {
            job_call call;
            call.token = token;
            call.name = name;
            call.queue = job->spec.queue;
            refuse(state, call, storeReason, storeRetryMs);
        }
        for (call_token token : state.waiters.at(name).cancellations) {
            job_call call;
            call.token = token;
            answer(state, call, job_outcome::not_found);
        }
        // The job is refused, so its waiting completions need no durable record.
        const auto completions = std::move(state.waiters.at(name).completions);
        state.waiters.erase(name);
        for (const pending_completion &completion : completions)
            settleWhenDurable(state, name, completion);
        state.dirtyJobs.erase(std::find(state.dirtyJobs.begin(), state.dirtyJobs.end(), name));
        state.unstartedJobs.erase(name);
        state.jobs.erase(name);
    }
}

void answerWaiters(scheduler_state &state, job_outcome outcome)
{
    job_reply reply;
    reply.outcome = outcome;
    const auto answerAll = [&](const job_waiters &waiters) {
        for (const auto *tokens : {&waiters.submissions, &waiters.cancellations}) {
            for (call_token token : *tokens) {
                reply.token = token;
                state.ports.answer(reply);
            }
        }
    };
    for (const auto &[name, waiters] : state.waiters)
        answerAll(waiters);
    for (const auto &[name, waiters] : state.committing)
        answerAll(waiters);
    state.waiters.clear();
    state.committing.clear();
}

} // namespace crocuswind::scheduler
