#include "room_claims.h"

#include "run_binding.h"

#include <algorithm>
#include <fmt/format.h>

namespace crocuswind::scheduler {

namespace {

/// Room that is not free after this time is given up, because other workers may have it by then.
constexpr duration longestFutureClaim = 3s;

bool needsClaim(scheduler_state &state, const task_name &name)
{
    const task_state *task = state.findTask(name);
    return task != nullptr && !state.findJob(name.job)->isOver()
        && (task->phase == task_phase::stopping || task->phase == task_phase::waiting);
}

// Returns true if the task, which needs its claim, may run on the worker of the claim. The worker's
// entry or the configuration of the queue may have changed since.
bool isClaimUsable(scheduler_state &state, const task_name &name, const room_claim &claim)
{
    const worker_record *worker = state.findWorker(claim.worker);
    const job_record &job = *state.findJob(name.job);
    worker_request request;
    request.step = &job.spec.steps[std::size_t(name.step)];
    request.service = job.policy.service;
    return worker != nullptr && isPossible(state, request, *worker);
}

// Returns the room on the worker that no continuous run reserves and that is kept for no task.
resources roomWithoutFiniteRuns(const worker_record &worker)
{
    return worker.freeResources() + worker.finiteCommitted;
}

// Returns the worker that is expected to have the room first, or null if none will have it.
worker_record *chooseFutureRoom(scheduler_state &state, const worker_request &request)
{
    worker_record *best = nullptr;
    const resources size = reservedBy(*request.step);
    for (auto &[id, worker] : state.workers) {
        if (!fitsInto(size, roomWithoutFiniteRuns(worker)) || !isPossible(state, request, worker))
            continue;
        const bool isSooner = best == nullptr
            || worker.freeResources().milliCores > best->freeResources().milliCores;
        if (isSooner)
            best = &worker;
    }
    return best;
}

} // namespace

void claimRoom(scheduler_state &state, const task_name &name, const step_spec &step,
               worker_record &worker, instant keptUntil)
{
    const resources size = reservedBy(step);
    const bool isNew
        = state.claims.try_emplace(name, room_claim{worker.info.id, size, keptUntil}).second;
    CROCUSWIND_INVARIANT(isNew, "a task has one claim at most");
    worker.claimed = worker.claimed + size;
    state.noteWorkerChanged(worker);
}

void releaseRoom(scheduler_state &state, const task_name &name)
{
    const auto found = state.claims.find(name);
    if (found == state.claims.end())
        return;
    worker_record *worker = state.findWorker(found->second.worker);
    if (worker != nullptr) {
        worker->claimed = worker->claimed - found->second.size;
        state.noteWorkerChanged(*worker);
        state.isDispatchWanted = true;
    }
    state.claims.erase(found);
}

bool hasClaim(const scheduler_state &state, const task_name &name)
{
    return state.claims.count(name) != 0;
}

void reviewClaims(scheduler_state &state)
{
    for (auto next = state.claims.begin(); next != state.claims.end();) {
        const auto &[claimed, claim] = *next++;
        const task_name name = claimed; // A copy, because the release removes the key.
        const bool isKept = state.now < claim.keptUntil && needsClaim(state, name)
            && isClaimUsable(state, name, claim);
        if (!isKept)
            releaseRoom(state, name);
    }
}

worker_record *claimedPlace(scheduler_state &state, const task_name &name)
{
    const auto found = state.claims.find(name);
    if (found == state.claims.end())
        return nullptr;
    worker_record *worker = state.findWorker(found->second.worker);
    const bool isFree = worker != nullptr && mayStartNow(state, *worker)
        && fitsInto(found->second.size, worker->freeResources() + found->second.size);
    return isFree ? worker : nullptr;
}

std::map<worker_id, int> countPlaces(const scheduler_state &state, const job_record &job,
                                     int occurrence, int step)
{
    std::map<worker_id, int> places
        = countRuns(job.occurrences.at(occurrence).steps[std::size_t(step)]);
    for (auto claim = state.claims.lower_bound({job.spec.name, occurrence, step, 0});
         claim != state.claims.end() && claim->first.job == job.spec.name
         && claim->first.occurrence == occurrence && claim->first.step == step;
         ++claim)
        ++places[claim->second.worker];
    return places;
}

bool claimFutureRoom(scheduler_state &state, const task_name &name, const worker_request &request)
{
    worker_record *worker = chooseFutureRoom(state, request);
    if (worker == nullptr)
        return false;
    claimRoom(state, name, *request.step, *worker, state.now + longestFutureClaim);
    state.logDetail("room_kept", [&] {
        return fmt::format("job={} task={} worker={} free_millicores={} needed_millicores={}",
                           name.job.value, toString(name), worker->info.id.value,
                           worker->freeResources().milliCores, request.step->size.milliCores);
    });
    return true;
}

} // namespace crocuswind::scheduler
