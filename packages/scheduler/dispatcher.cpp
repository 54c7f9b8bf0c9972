#include "dispatcher.h"

#include "discovery_age.h"
#include "dispatch_rank.h"
#include "room_claims.h"
#include "run_binding.h"
#include "task_lifecycle.h"
#include "worker_choice.h"
#include "worker_chooser.h"
#include "worker_polls.h"
#include "yielding_runs.h"

#include <algorithm>
#include <fmt/format.h>

namespace crocuswind::scheduler {

namespace {

/// Minimum time between passes, so that one pass handles several events.
constexpr duration dispatchInterval = 10ms;

/// Maximum number of starts in one pass; the next pass continues. Without the limit, a pass over
/// all tasks that had been held back took longer than the owner's lease, and no renewal was sent
/// meanwhile.
constexpr int maxStartsPerPass = 200;

/// Tasks without a worker, and moves of yielding runs, are tried again after this time even if no
/// event has occurred: workers are avoided, and tasks of a step are unavailable, for a limited
/// time.
constexpr duration reviewInterval = 200ms;

/// Best-effort tasks wait for a worker whose serving tasks tolerate them at full pace.
constexpr double maxPressure = 1;

/// While less than this share of all processors is in use, best-effort tasks that are late do not
/// wait for such a worker. They start where they interfere least, and pace control slows them down
/// according to the latency there.
constexpr double lowUtilisation = 0.5;
constexpr double maxPressureAtLowUtilisation = 4;

/// A new owner numbers the runs of inherited tasks from its epoch times this value, which is above
/// any number that an earlier owner can have used for the same task.
constexpr int runNumbersPerEpoch = 1000;

/// A job that could run but has no run is starved after this time. The platform counts such a job
/// as lost once it has been without a run for 3 s, from 14 s after the end of the traffic on.
constexpr duration longestWait = 2500ms;

/// Until this time after its acceptance, a job that is in time is not starved.
constexpr duration longestWaitInTime = 10s;

/// The share of the starts of a pass that is kept for starved jobs, if there are any, so that they
/// start even while other work takes all starts.
constexpr int starvedShareOfStarts = 8;

/// Maximum number of tasks of starved jobs that are started in one pass.
constexpr int maxStarvedStartsPerPass = 4;

// Returns how long the last round of the owner's duties took.
duration lastRoundOf(const scheduler_state &state)
{
    return state.inputHandledUntil == instant() ? duration::zero()
                                                : state.now - state.inputHandledUntil;
}

std::vector<task_state> *tasksOf(const ready_step &step)
{
    if (step.job->isOver())
        return nullptr;
    const auto occurrence = step.job->occurrences.find(step.occurrence);
    if (occurrence == step.job->occurrences.end())
        return nullptr;
    return &occurrence->second.steps[std::size_t(step.step)];
}

/// A ready step with its position in the dispatch order.
struct ordered_step
{
    dispatch_rank rank;
    ready_step step;
    std::vector<task_state> *tasks = nullptr;
    std::int64_t waiting = 0; ///< Number of waiting tasks of the step.
};

// Returns true if the step's job could run but has had no run for too long.
bool isStarved(const scheduler_state &state, const ordered_step &ordered)
{
    const job_record &job = *ordered.step.job;
    if (job.boundRuns > 0)
        return false;
    const bool isLate = ordered.rank.outlook >= deadline_outlook::late;
    const instant since = waitingSince(job, job.occurrences.at(ordered.step.occurrence));
    return state.now >= since + longestWait
        && (isLate || state.now >= job.acceptedAt + longestWaitInTime);
}

bool isSameStep(const ready_step &a, const ready_step &b)
{
    return a.job == b.job && a.occurrence == b.occurrence && a.step == b.step;
}

// Removes steps without waiting tasks and duplicates from the ready list. Returns the remaining
// steps in dispatch order.
std::vector<ordered_step> orderSteps(scheduler_state &state)
{
    std::vector<ordered_step> ordered;
    ordered.reserve(state.ready.size());
    for (const ready_step &step : state.ready) {
        std::vector<task_state> *tasks = tasksOf(step);
        const std::int64_t waiting
            = tasks == nullptr ? 0 : std::count_if(tasks->begin(), tasks->end(), isWaiting);
        if (waiting > 0)
            ordered.push_back({rankOf(state, step, *tasks), step, tasks, waiting});
    }
    const auto before = [](const ordered_step &a, const ordered_step &b) {
        if (a.rank < b.rank || b.rank < a.rank)
            return a.rank < b.rank;
        return std::tie(a.step.occurrence, a.step.step) < std::tie(b.step.occurrence, b.step.step);
    };
    std::sort(ordered.begin(), ordered.end(), before);
    const auto isSame
        = [](const ordered_step &a, const ordered_step &b) { return isSameStep(a.step, b.step); };
    ordered.erase(std::unique(ordered.begin(), ordered.end(), isSame), ordered.end());
    state.ready.clear();
    for (const ordered_step &step : ordered)
        state.ready.push_back({step.step.job, step.step.occurrence, step.step.step});
    return ordered;
}

class dispatch_pass
{
public:
    explicit dispatch_pass(scheduler_state &state)
        : m_state(state)
        , m_chooser(refreshedChooser(state))
        , m_maxStarts(int(std::min(policy::allowedStarts(maxStartsPerPass, lastRoundOf(state)),
                                   state.startWindow.available(state.startsInFlight))))
    { }

    /// Returns true if the pass ended because it reached the maximum number of starts.
    bool run()
    {
        if (m_state.now >= m_state.nextUtilisationAt) {
            m_state.isUtilisationLow = isUtilisationLow();
            m_state.nextUtilisationAt
                = m_state.now + policy::fullScanInterval(std::int64_t(m_state.workers.size()));
        }
        triageWaitingJobs(m_state);
        startClaimed();
        const int claimedStarts = m_starts;
        const std::vector<ordered_step> steps = orderSteps(m_state);
        const std::vector<const ordered_step *> starved = starvedSteps(steps);
        const int kept = starved.empty()
            ? 0
            : std::min(m_maxStarts, std::max(1, m_maxStarts / starvedShareOfStarts));
        m_maxStarts -= kept;
        const std::size_t next = startInOrder(steps, 0);
        m_maxStarts += kept;
        startStarved(starved);
        // What starved jobs have left of the starts kept for them goes to the others.
        startInOrder(steps, next);
        std::int64_t waiting = 0;
        for (const ordered_step &step : steps)
            waiting += step.waiting;
        m_state.counters.tasksWaiting = waiting - (m_starts - claimedStarts);
        const bool hasReachedLimit = m_starts >= m_maxStarts;
        if (!hasReachedLimit) {
            endYieldingWherePossible(m_state);
            moveYieldingWherePossible(m_state);
        }
        return hasReachedLimit;
    }

private:
    // Starts the tasks for which room is kept, as far as it is free.
    void startClaimed()
    {
        for (auto next = m_state.claims.begin();
             next != m_state.claims.end() && m_starts < m_maxStarts;) {
            const task_name name = (next++)->first; // A copy, because the start ends the claim.
            task_state &task = *m_state.findTask(name);
            worker_record *worker = isWaiting(task) ? claimedPlace(m_state, name) : nullptr;
            if (worker == nullptr)
                continue;
            start(*m_state.findJob(name.job), name, task, *worker, false);
            m_chooser.noteStart(*worker);
            ++m_starts;
        }
    }

    // Starts tasks of the steps from index \p first on, in order. Returns the index of the step at
    // which the maximum number of starts was reached, or the number of steps.
    std::size_t startInOrder(const std::vector<ordered_step> &steps, std::size_t first)
    {
        for (std::size_t i = first; i < steps.size(); ++i) {
            startTasks(steps[i]);
            const bool hasReachedLimit = m_starts >= m_maxStarts;
            m_state.ready[i].hasNoWorker = !hasReachedLimit
                && std::any_of(steps[i].tasks->begin(), steps[i].tasks->end(), isWaiting);
            if (hasReachedLimit)
                return i;
        }
        return steps.size();
    }

    std::vector<const ordered_step *> starvedSteps(const std::vector<ordered_step> &steps) const
    {
        std::vector<const ordered_step *> starved;
        for (const ordered_step &step : steps) {
            if (isStarved(m_state, step))
                starved.push_back(&step);
        }
        return starved;
    }

    // Starts one task of each starved job, in order. Best-effort tasks yield to all others.
    void startStarved(const std::vector<const ordered_step *> &starved)
    {
        const int maxStarts = m_maxStarts;
        const int last = std::min(maxStarts, m_starts + maxStarvedStartsPerPass);
        for (const ordered_step *step : starved) {
            if (step->step.job->boundRuns > 0)
                continue;
            m_maxStarts = std::min(m_starts + 1, last);
            startTasks(*step, true);
        }
        m_maxStarts = maxStarts;
    }

    // Starts waiting tasks of the step while there is a worker for them.
    void startTasks(const ordered_step &ordered, bool areStarved = false)
    {
        const ready_step &ready = ordered.step;
        job_record &job = *ready.job;
        const step_spec &step = job.spec.steps[std::size_t(ready.step)];
        std::vector<task_state> &tasks = *ordered.tasks;
        std::map<worker_id, int> tasksOfStep;
        worker_request request;
        request.step = &step;
        request.service = job.policy.service;
        request.tasksOfStep = &tasksOfStep;
        request.preferredRack = step.dataRack;
        request.isYielding = areStarved && step.isBestEffort;
        const bool isLate
            = m_state.isUtilisationLow && ordered.rank.outlook >= deadline_outlook::late;
        request.maxPressure = isLate ? maxPressureAtLowUtilisation : maxPressure;
        for (const task_state &task : tasks) {
            if (mayHaveRun(task))
                recordTask(task.worker, request, tasksOfStep);
        }
        if (step.maxPerWorker > 0 && !m_state.claims.empty())
            tasksOfStep = countPlaces(m_state, job, ready.occurrence, ready.step);
        for (int index = 0; index < int(tasks.size()) && m_starts < m_maxStarts; ++index) {
            task_state &task = tasks[std::size_t(index)];
            if (!isWaiting(task))
                continue;
            worker_record *worker = m_chooser.choose(request);
            if (worker == nullptr) {
                if (ordered.rank.outlook == deadline_outlook::interrupted && !step.isBestEffort)
                    keepRoomFor(ordered, index, request);
                break;
            }
            start(job, {job.spec.name, ready.occurrence, ready.step, index}, task, *worker,
                  request.isYielding);
            m_chooser.noteStart(*worker);
            recordTask(worker->info.id, request, tasksOfStep);
            ++m_starts;
        }
    }

    // Keeps room for the interrupted tasks of the step from \p index on, which no worker can take
    // now.
    void keepRoomFor(const ordered_step &ordered, int index, const worker_request &request)
    {
        const ready_step &ready = ordered.step;
        const std::vector<task_state> &tasks = *ordered.tasks;
        const bool isHopeless = std::any_of(m_withoutRoom.begin(), m_withoutRoom.end(),
                                            [&](const missing_room &missing) {
                                                return missing.service == request.service
                                                    && fitsInto(missing.size, request.step->size);
                                            });
        if (isHopeless)
            return;
        std::map<worker_id, int> places;
        if (request.step->maxPerWorker > 0)
            places = countPlaces(m_state, *ready.job, ready.occurrence, ready.step);
        worker_request claimRequest = request;
        claimRequest.tasksOfStep = &places;
        for (; index < int(tasks.size()); ++index) {
            const task_name name{ready.job->spec.name, ready.occurrence, ready.step, index};
            if (!isInterruptedForLong(m_state, tasks[std::size_t(index)])
                || hasClaim(m_state, name))
                continue;
            if (!claimFutureRoom(m_state, name, claimRequest)) {
                if (request.step->requiredLabel.empty() && request.step->maxPerWorker == 0)
                    m_withoutRoom.push_back({request.service, request.step->size});
                return;
            }
            worker_record &worker = *m_state.findWorker(m_state.claims.at(name).worker);
            m_chooser.noteStart(worker);
            ++places[worker.info.id];
        }
    }

    bool isUtilisationLow() const
    {
        std::int64_t capacity = 0;
        std::int64_t used = 0;
        for (const auto &[id, worker] : m_state.workers) {
            capacity += worker.info.capacity.milliCores;
            used += worker.committed.milliCores - worker.servingMilliCores / 2
                + worker.bestEffortMilliCores;
        }
        return double(used) < lowUtilisation * double(capacity);
    }

    void recordTask(const worker_id &worker, worker_request &request,
                    std::map<worker_id, int> &tasksOfStep) const
    {
        if (request.step->maxPerWorker > 0)
            ++tasksOfStep[worker];
        if (request.step->wantsOneRack && request.preferredRack.empty())
            request.preferredRack = m_state.workers.at(worker).info.rack;
    }

    int nextRun(const job_record &job, const task_state &task) const
    {
        const int base = job.isRecovered ? int(m_state.epoch) * runNumbersPerEpoch : 0;
        return std::max(task.lastRun, base) + 1;
    }

    void start(job_record &job, const task_name &name, task_state &task, worker_record &worker,
               bool isYielding)
    {
        releaseRoom(m_state, name);
        bindRun(m_state, worker, name, task, nextRun(job, task), isYielding);
        task.phase = task_phase::starting;
        task.runSince = m_state.now;
        ++m_state.counters.starts;
        start_command command;
        command.worker = worker.info.id;
        command.task = name;
        command.run = task.lastRun;
        command.payload = job.spec.payload;
        command.checkpoint = task.checkpoint;
        command.leaseUntilMs
            = worker.lease.grantUntil(*leaseEnd(m_state), m_state.authorityUntil, m_state.now);
        command.epoch = m_state.epoch;
        command.sentAt = m_state.now;
        ++m_state.startsInFlight;
        m_state.logDetail("start", [&] {
            return fmt::format(
                "job={} task={} run={} worker={} free_millicores={} filling_millicores={} "
                "resumes={} yields={}",
                name.job.value, toString(name), command.run, worker.info.id.value,
                worker.freeResources().milliCores, worker.bestEffortMilliCores,
                !command.checkpoint.empty(), isYielding);
        });
        m_state.ports.start(command);
    }

    /// A size for which no room will become free on any worker of the service.
    struct missing_room
    {
        service_id service;
        resources size;
    };

    scheduler_state &m_state;
    worker_chooser &m_chooser;
    int m_maxStarts;
    int m_starts = 0;
    std::vector<missing_room> m_withoutRoom;
};

} // namespace

void dispatch(scheduler_state &state)
{
    const bool hasAuthority = state.isOwner && leaseEnd(state);
    const bool hasReviewable = !state.ready.empty() || !state.yieldingTasks.empty();
    const bool isReviewDue = hasReviewable && state.now >= state.nextDispatchAt + reviewInterval;
    if (state.now < state.nextDispatchAt || (!state.isDispatchWanted && !isReviewDue))
        return;
    if (!hasAuthority || holdsStarts(state)) {
        state.nextDispatchAt = state.now + reviewInterval;
        return;
    }
    reviewClaims(state);
    if (policy::allowedStarts(maxStartsPerPass, lastRoundOf(state)) < maxStartsPerPass)
        ++state.counters.passesHeldBack;
    const bool hasReachedLimit = dispatch_pass(state).run();
    const bool isWindowFull = state.startWindow.available(state.startsInFlight) == 0;
    state.isDispatchWanted = hasReachedLimit;
    state.nextDispatchAt
        = hasReachedLimit && !isWindowFull ? state.now : state.now + dispatchInterval;
}

} // namespace crocuswind::scheduler
