#include "evacuation.h"

#include "discovery_age.h"
#include "room_claims.h"
#include "task_lifecycle.h"
#include "worker_choice.h"
#include "worker_polls.h"

#include <algorithm>
#include <fmt/format.h>

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

bool isAnyDraining(const scheduler_state &state)
{
    return std::any_of(state.workers.begin(), state.workers.end(),
                       [](const auto &entry) { return entry.second.info.isDraining; });
}

/// Moves tasks until as many are on their way as may be.
class evacuation_pass
{
public:
    explicit evacuation_pass(scheduler_state &state)
        : m_state(state)
        , m_chooser(refreshedChooser(state))
        , m_movesLeft(std::max(minConcurrentMoves, int(state.workers.size()) / workersPerMove)
                      - countMoves(state))
    { }

    void moveTasksOf(worker_record &worker)
    {
        for (const auto &[name, run] : worker.runs) {
            if (m_movesLeft <= 0)
                return;
            if (run.step->isContinuous && run.task->phase == task_phase::running
                && mayStartAgain(name, run))
                moveTask(worker, name, run);
        }
    }

private:
    // Returns false if the task, once stopped, would have to wait until workers have reported to
    // this new owner.
    bool mayStartAgain(const task_name &name, const bound_run &run) const
    {
        return !run.job->isRecovered || !m_state.unreportedWorkers.mayHave(name);
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
        if (place == nullptr)
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
    int m_movesLeft; ///< Number of tasks that may still be stopped.
};

} // namespace

void evacuateWorkers(scheduler_state &state)
{
    if (state.now < state.nextEvacuationAt || !mayMove(state))
        return;
    state.nextEvacuationAt = state.now + evacuationInterval;
    if (!isAnyDraining(state))
        return;
    reviewClaims(state);
    evacuation_pass pass(state);
    for (auto &[id, worker] : state.workers) {
        if (worker.info.isDraining)
            pass.moveTasksOf(worker);
    }
}

} // namespace crocuswind::scheduler
