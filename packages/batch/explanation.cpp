#include "explanation.h"

#include "placement.h"

#include <algorithm>
#include <fmt/format.h>

namespace crocuswind {

namespace {

std::int64_t seconds(duration length)
{
    return std::chrono::duration_cast<std::chrono::seconds>(length).count();
}

std::string explainClaimed(const shard_state &state, const job_entry &job, int replica)
{
    const task_record &task = job.record.tasks[std::size_t(replica)];
    const task_runtime &runtime = job.runtime[std::size_t(replica)];
    const std::string where
        = fmt::format("attempt {} on worker {}", task.attempt, task.worker.value);
    if (runtime.removal != removal_step::none)
        return fmt::format("Leaves its worker ({}): {}.", where, runtime.removalReason);
    const auto session = state.sessions.find(task.worker);
    if (session != state.sessions.end() && session->second.failures > 0) {
        const worker_session &s = session->second;
        const std::string lastContact
            = fmt::format("Claimed as {}, which has not answered for {} s.", where,
                          seconds(state.now - s.lastReportAt));
        if (!s.hasReported && job.record.spec.kind == job_kind::finite)
            return lastContact
                + " It is not started elsewhere before the worker answers or leaves the host list, "
                  "since it may still run there.";
        return lastContact
            + fmt::format(" It is started elsewhere in {} s at the earliest, when its lease is "
                          "surely over.",
                          std::max<std::int64_t>(
                              0, seconds(s.leaseSentAt + maxTaskLifetimeAfterRenewal - state.now)));
    }
    if (runtime.isReported)
        return fmt::format("Runs as {}.", where);
    if (!state.pipeline.isDurable(job.segment, runtime.claimSequence))
        return fmt::format("Claimed as {}; the claim is being committed.", where);
    return fmt::format("Being started as {}.", where);
}

std::string explainNoCapacity(const shard_state &state, const placer &placement,
                              const job_spec &spec)
{
    std::size_t unresponsive = 0;
    std::size_t quarantined = 0;
    std::size_t workersWithCapacity = 0;
    for (const auto &[worker, session] : state.sessions) {
        unresponsive += session.isListed && (!session.hasReported || session.failures > 0) ? 1 : 0;
        quarantined += session.health.isQuarantined() ? 1 : 0;
        const worker_slot *slot = state.accounting.find(worker);
        const bool hasCapacity = slot != nullptr && slot->isEligible
            && fitsInto(spec.size, slot->free())
            && placement.reservedWorker() != std::optional<worker_id>(worker);
        workersWithCapacity += hasCapacity ? 1 : 0;
    }
    if (workersWithCapacity > 0)
        return fmt::format("{} workers have room; it is placed with the next commit.",
                           workersWithCapacity);
    return fmt::format(
        "No worker has {} free now ({} workers, of which {} do not answer and {} are put aside).",
        toString(spec.size), state.sessions.size(), unresponsive, quarantined);
}

std::string explainWaiting(const shard_state &state, const placer &placement, const job_entry &job,
                           int replica)
{
    const task_record &task = job.record.tasks[std::size_t(replica)];
    const task_runtime &runtime = job.runtime[std::size_t(replica)];
    const task_key key{job.record.spec.id, replica};
    if (!state.pipeline.isDurable(job.segment, job.submissionSequence))
        return "Its submission is being committed.";
    if (runtime.notBefore > state.now)
        return fmt::format("Waits {} s before attempt {} after: {}.",
                           seconds(runtime.notBefore - state.now) + 1, task.attempt + 1,
                           task.result.empty() ? "it ended" : task.result);
    if (state.isDraining)
        return "This entry host is stopping; another one takes over the shard.";
    if (!state.owner.mayClaim(state.now) || state.pipeline.isStoreDown())
        return "The store does not answer; nothing new is started before it returns.";
    const std::string misfit = explainMisfit(state.accounting, job.record.spec.size);
    if (!misfit.empty())
        return misfit;
    const std::string queue = fmt::format(
        "{} tasks of team {} come before it; the team uses {:.1f}% of the shard by weight, and "
        "{:.1f}% are guaranteed. ",
        state.queue.position(key).value_or(0), key.job.team.value,
        100 * state.queue.weightedShare(key.job.team, state.accounting.totalCapacity()),
        100 * state.queue.guaranteedShare());
    if (placement.reservedFor() == std::optional<task_key>(key))
        return queue
            + fmt::format("Worker {} is kept free for it.", placement.reservedWorker()->value);
    return queue + explainNoCapacity(state, placement, job.record.spec);
}

} // namespace

std::string explainMisfit(const resource_accounting &accounting, const resources &size)
{
    const auto nearest = nearestIfNoneFits(accounting, size);
    if (!nearest)
        return std::string();
    return fmt::format("No worker of the shard can ever hold {}; worker {} comes nearest with {}.",
                       toString(size), nearest->worker.value, toString(nearest->capacity));
}

std::string explain(const shard_state &state, const placer &placement, const job_entry &job)
{
    for (int replica = 0; replica < int(job.record.tasks.size()); ++replica) {
        const task_record &task = job.record.tasks[std::size_t(replica)];
        if (task.state == task_state::waiting)
            return explainWaiting(state, placement, job, replica);
    }
    for (int replica = 0; replica < int(job.record.tasks.size()); ++replica) {
        const task_record &task = job.record.tasks[std::size_t(replica)];
        if (task.state == task_state::claimed)
            return explainClaimed(state, job, replica);
    }
    return "It has ended: " + toString(stateOf(job.record)) + ".";
}

} // namespace crocuswind
