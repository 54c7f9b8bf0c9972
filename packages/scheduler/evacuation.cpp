#include "evacuation.h"

#include "discovery_age.h"
#include "disruption_budget.h"
#include "room_claims.h"
#include "task_lifecycle.h"
#include "worker_choice.h"
#include "worker_chooser.h"
#include "worker_polls.h"

#include <algorithm>
#include <fmt/format.h>
#include <map>

namespace crocuswind::scheduler {

namespace {

constexpr duration evacuationInterval = 50ms;

/// One task in this many workers may be on its way at once, but always `minConcurrentMoves`. The
/// starts that follow share the owner's processor with all others.
constexpr int workersPerMove = 8;
constexpr int minConcurrentMoves = 4;

/// A place is given up if the task has not started there after this time, because its worker does
/// not answer the stop.
constexpr duration longestMove = 2s;

// Returns true if a task that is stopped now could start elsewhere at once.
bool mayMove(const scheduler_state &state)
{
    return !state.isHandingOver && leaseEnd(state) && !areWorkersOutdated(state);
}

// Returns the number of tasks that are being stopped and have a place elsewhere.
int countMoves(scheduler_state &state)
{
    return int(std::count_if(state.claims.begin(), state.claims.end(), [&](const auto &entry) {
        return state.findTask(entry.first)->phase == task_phase::stopping;
    }));
}

// Returns true if the worker stays although its tasks are to leave it. A worker that does not
// answer is left alone, because a stop would reach it late.
bool isEvacuatedOnly(const scheduler_state &state, const worker_record &worker)
{
    return !worker.info.isDraining && worker.failedPolls == 0 && isEvacuated(state, worker);
}

bool isAnyToEvacuate(const scheduler_state &state)
{
    return std::any_of(state.workers.begin(), state.workers.end(), [&](const auto &entry) {
        return entry.second.info.isDraining || isEvacuatedOnly(state, entry.second);
    });
}

/// Moves tasks until as many are on their way as may be.
class evacuation_pass
{
public:
    explicit evacuation_pass(scheduler_state &state)
        : m_state(state)
        , m_chooser(refreshedChooser(state))
        , m_budget(state)
        , m_movesLeft(std::max(minConcurrentMoves, int(state.workers.size()) / workersPerMove)
                      - countMoves(state))
    { }

    void moveTasksOf(worker_record &worker)
    {
        for (const auto &[name, run] : worker.runs) {
            if (m_movesLeft <= 0)
                return;
            const bool isMovable = run.step->isContinuous && run.task->phase == task_phase::running
                && mayStartAgain(name, run);
            if (isMovable)
                moveTask(worker, name, run);
        }
    }

private:
    // Returns false if the task, once stopped, would have to wait until workers have reported to
    // this new owner.
    bool mayStartAgain(const task_name &name, const bound_run &run) const
    {
        return !run.job->isRecovered
            || !m_state.unreportedWorkers.mayHave(name, possibleIncarnationOf(*run.step));
    }

    // Counts the disruption. Returns false if the step can't do without the task for the time of a
    // move. Of a worker that leaves, tasks go in any case.
    bool mayStop(const worker_record &worker, const task_name &name, const bound_run &run)
    {
        if (!worker.info.isDraining)
            return m_budget.take(name, run);
        m_budget.note(name, run);
        return true;
    }

    void moveTask(const worker_record &worker, const task_name &name, const bound_run &run)
    {
        std::map<worker_id, int> places;
        if (run.step->maxPerWorker > 0)
            places = countPlaces(m_state, *run.job, name.occurrence, name.step);
        worker_request request;
        request.step = run.step;
        request.service = run.job->policy.service;
        request.tasksOfStep = &places;
        worker_record *place = m_chooser.choose(request);
        if (place == nullptr || !mayStop(worker, name, run))
            return;
        claimRoom(m_state, name, *run.step, *place, m_state.now + longestMove);
        m_chooser.noteStart(*place);
        m_state.logDetail("evacuate", [&] {
            return fmt::format("job={} task={} from={} to={}", name.job.value, toString(name),
                               worker.info.id.value, place->info.id.value);
        });
        sendStop(m_state, name, *run.task);
        --m_movesLeft;
    }

    scheduler_state &m_state;
    worker_chooser &m_chooser;
    disruption_budget m_budget;
    int m_movesLeft; ///< Number of tasks that may still be stopped.
};

} // namespace

void evacuateWorkers(scheduler_state &state)
{
    if (state.now < state.nextEvacuationAt || !mayMove(state))
        return;
    state.nextEvacuationAt = state.now + evacuationInterval;
    if (!isAnyToEvacuate(state))
        return;
    reviewClaims(state);
    evacuation_pass pass(state);
    // Draining workers go first, because they leave.
    for (auto &[id, worker] : state.workers) {
        if (worker.info.isDraining)
            pass.moveTasksOf(worker);
    }
    for (auto &[id, worker] : state.workers) {
        if (isEvacuatedOnly(state, worker))
            pass.moveTasksOf(worker);
    }
}

} // namespace crocuswind::scheduler
