#include "dispatcher.h"

#include "discovery_age.h"
#include "run_binding.h"
#include "task_lifecycle.h"
#include "worker_choice.h"
#include "worker_reports.h"

#include <algorithm>
#include <fmt/format.h>

namespace crocuswind::scheduler {

namespace {

/// Minimum time between passes, so that one pass handles several events.
constexpr duration dispatchInterval = 10ms;

/// Maximum number of starts in one pass; the next pass continues. Without the limit, a pass over
/// all tasks that had been held back took longer than the owner's lease, and no renewal was sent
/// meanwhile.
constexpr int maxStartsOfPass = 200;

/// Tasks without a worker are tried again after this time even if no event has occurred, because
/// workers are avoided for a limited time only.
constexpr duration reviewInterval = 200ms;

/// Best-effort tasks wait for a worker whose serving tasks tolerate them at full pace.
constexpr double maxPressure = 1;

/// While less than this share of all processors is in use, best-effort tasks that are late do not
/// wait for such a worker. They start where they interfere least, and pace control slows them down
/// according to the latency there.
constexpr double slackUse = 0.5;
constexpr double maxPressureInSlack = 4;

/// A new owner numbers the runs of inherited tasks from its epoch times this value, which is above
/// any number that an earlier owner can have used for the same task.
constexpr int runsOfEpoch = 1000;

/// A job counts as late when the estimate of its remaining critical path, times this margin, no
/// longer fits before the objective. Without a margin, tasks started at the last moment end
/// slightly too late.
constexpr double estimateMargin = 1.2;

/// Whether a job can still meet its objective, in the order in which steps are dispatched.
enum class outlook { in_time, lasting, late, expired };

// The dispatch order of steps. Steps that can still meet their objective come before those that
// cannot: under overload, oldest-first order would make every job late. Continuous steps come in
// between, because they hold their resources indefinitely, while finite steps that are in time
// release theirs within seconds. Ties are broken by the queue's priority, then by the latest time
// at which the remaining critical path has to start, then by the order of acceptance.
struct urgency
{
    outlook expected = outlook::in_time;
    int priority = 0;
    instant latestStart;
    std::int64_t number = 0;

    friend bool operator<(const urgency &a, const urgency &b)
    {
        return std::tie(a.expected, a.priority, a.latestStart, a.number)
            < std::tie(b.expected, b.priority, b.latestStart, b.number);
    }
};

urgency urgencyOf(const scheduler_state &state, const ready_step &step)
{
    const job_record &job = *step.job;
    const job_objective objective = objectiveOf(job, job.occurrences.at(step.occurrence));
    const std::int64_t chainMs = job.chainsMs[std::size_t(step.step)];
    const instant endsAt
        = state.now + std::chrono::milliseconds(std::int64_t(double(chainMs) * estimateMargin));
    outlook expected = outlook::in_time;
    if (job.spec.steps[std::size_t(step.step)].isLasting)
        expected = outlook::lasting;
    else if (endsAt > objective.at)
        expected = endsAt > objective.lateUntil ? outlook::expired : outlook::late;
    return {expected, job.policy.priority, objective.at - std::chrono::milliseconds(chainMs),
            job.number};
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

bool isWaiting(const task_state &task)
{
    return task.phase == task_phase::waiting;
}

/// A ready step with its position in the dispatch order.
struct ordered_step
{
    urgency key;
    ready_step step;
    std::vector<task_state> *tasks = nullptr;
    std::int64_t waiting = 0; ///< Number of waiting tasks of the step.
};

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
            ordered.push_back({urgencyOf(state, step), step, tasks, waiting});
    }
    const auto before = [](const ordered_step &a, const ordered_step &b) {
        if (a.key < b.key || b.key < a.key)
            return a.key < b.key;
        return std::tie(a.step.occurrence, a.step.step) < std::tie(b.step.occurrence, b.step.step);
    };
    std::sort(ordered.begin(), ordered.end(), before);
    const auto isSame
        = [](const ordered_step &a, const ordered_step &b) { return isSameStep(a.step, b.step); };
    ordered.erase(std::unique(ordered.begin(), ordered.end(), isSame), ordered.end());
    state.ready.clear();
    for (const ordered_step &step : ordered)
        state.ready.push_back(step.step);
    return ordered;
}

class dispatch_pass
{
public:
    explicit dispatch_pass(scheduler_state &state)
        : m_state(state)
        , m_chooser(state)
    { }

    /// Returns true if the pass ended because it reached the maximum number of starts.
    bool run()
    {
        m_isSlack = isSlack();
        std::int64_t waiting = 0;
        for (const ordered_step &step : orderSteps(m_state))
            waiting += step.waiting - offer(step);
        m_state.counters.tasksWaiting = waiting;
        return m_starts == maxStartsOfPass;
    }

private:
    // Starts waiting tasks of the step while there is a worker for them. Returns the number
    // started.
    std::int64_t offer(const ordered_step &ordered)
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
        const bool isLate = m_isSlack && ordered.key.expected >= outlook::late;
        request.maxPressure = isLate ? maxPressureInSlack : maxPressure;
        for (const task_state &task : tasks) {
            if (mayRun(task))
                noteTask(task.worker, request, tasksOfStep);
        }
        const int before = m_starts;
        for (int index = 0; index < int(tasks.size()) && m_starts < maxStartsOfPass; ++index) {
            task_state &task = tasks[std::size_t(index)];
            if (!isWaiting(task))
                continue;
            worker_record *worker = m_chooser.choose(request);
            if (worker == nullptr)
                break;
            start(job, {job.spec.name, ready.occurrence, ready.step, index}, task, *worker);
            m_chooser.noteStart(*worker);
            noteTask(worker->info.id, request, tasksOfStep);
            ++m_starts;
        }
        return m_starts - before;
    }

    bool isSlack() const
    {
        std::int64_t capacity = 0;
        std::int64_t used = 0;
        for (const auto &[id, worker] : m_state.workers) {
            capacity += worker.info.capacity.milliCores;
            used += worker.committed.milliCores - worker.servingMilliCores / 2
                + worker.fillingMilliCores;
        }
        return double(used) < slackUse * double(capacity);
    }

    void noteTask(const worker_id &worker, worker_request &request,
                  std::map<worker_id, int> &tasksOfStep) const
    {
        if (request.step->maxPerWorker > 0)
            ++tasksOfStep[worker];
        if (request.step->wantsOneRack && request.preferredRack.empty())
            request.preferredRack = m_state.workers.at(worker).info.rack;
    }

    int nextRun(const job_record &job, const task_state &task) const
    {
        const int base = job.isRecovered ? int(m_state.epoch) * runsOfEpoch : 0;
        return std::max(task.lastRun, base) + 1;
    }

    void start(job_record &job, const task_name &name, task_state &task, worker_record &worker)
    {
        bindRun(m_state, worker, name, task, nextRun(job, task));
        task.phase = task_phase::starting;
        task.runSince = m_state.now;
        job.occurrences.at(name.occurrence).hasBegun = true;
        ++m_state.counters.starts;
        start_order order;
        order.worker = worker.info.id;
        order.task = name;
        order.run = task.lastRun;
        order.payload = job.spec.payload;
        order.saved = task.saved;
        order.leaseUntilMs = worker.lease.grantUntil(*leaseEnd(m_state), m_state.now);
        order.epoch = m_state.epoch;
        m_state.logDetail("start", [&] {
            return fmt::format(
                "job={} task={} run={} worker={} free_millicores={} filling_millicores={} "
                "resumes={}",
                name.job.value, toString(name), order.run, worker.info.id.value,
                worker.room().milliCores, worker.fillingMilliCores, !order.saved.empty());
        });
        m_state.ports.start(order);
    }

    scheduler_state &m_state;
    worker_chooser m_chooser;
    bool m_isSlack = false;
    int m_starts = 0;
};

} // namespace

void dispatch(scheduler_state &state)
{
    const bool hasAuthority = state.isOwner && !state.isHandingOver && leaseEnd(state);
    const bool isReviewDue
        = !state.ready.empty() && state.now >= state.nextDispatchAt + reviewInterval;
    if (state.now < state.nextDispatchAt || (!state.isDispatchWanted && !isReviewDue))
        return;
    if (!hasAuthority || holdsStarts(state)) {
        state.nextDispatchAt = state.now + reviewInterval;
        return;
    }
    const bool isAtBound = dispatch_pass(state).run();
    state.isDispatchWanted = isAtBound;
    state.nextDispatchAt = isAtBound ? state.now : state.now + dispatchInterval;
}

} // namespace crocuswind::scheduler
