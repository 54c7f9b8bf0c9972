#include "room_claims.h"

#include "run_binding.h"

namespace crocuswind::scheduler {

namespace {

bool needsClaim(scheduler_state &state, const task_name &name)
{
    const task_state *task = state.findTask(name);
    return task != nullptr && !state.findJob(name.job)->isOver()
        && (task->phase == task_phase::stopping || task->phase == task_phase::waiting);
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
        const worker_record *worker = state.findWorker(claim.worker);
        const bool isUseless = worker == nullptr || !isEligible(state, *worker);
        if (isUseless || state.now >= claim.keptUntil || !needsClaim(state, name))
            releaseRoom(state, name);
    }
}

worker_record *claimedPlace(scheduler_state &state, const task_name &name)
{
    const auto found = state.claims.find(name);
    if (found == state.claims.end())
        return nullptr;
    worker_record *worker = state.findWorker(found->second.worker);
    const bool isFree = worker != nullptr
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

} // namespace crocuswind::scheduler
