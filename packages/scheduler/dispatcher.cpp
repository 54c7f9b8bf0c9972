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

/// Passes follow each other at this distance, so that one pass serves several events.
constexpr duration dispatchInterval = 10ms;

/// A pass ends after this many starts, and the next one goes on: a pass over everything that had
/// been held back lasted longer than the owner's lease, and meanwhile no renewal was sent.
constexpr int maxStartsOfPass = 200;

/// Tasks that found no worker are offered again after this time even if nothing has changed, since
/// workers are avoided for a limited time only.
constexpr duration reviewInterval = 200ms;

/// Work in idle room waits until the serving tasks of some worker can take it at full pace.
constexpr double maxPressure = 1;

/// While less than half of the processors is in use, late work in idle room does not wait for such
/// a worker: it begins where it does the least harm, and its pace is set by the latency there.
constexpr double slackUse = 0.5;
constexpr double maxPressureInSlack = 4;

/// Runs of a later owner are numbered from its epoch times this, above all that an earlier owner
/// can have used for one task.
constexpr int runsOfEpoch = 1000;

/// A job counts as late when its estimated chain times this does not fit any more. With no margin,
/// work that is begun at the last moment ends just too late.
constexpr double estimateMargin = 1.2;

/// What a job can still reach.
enum class outlook { in_time, lasting, late, expired };

// Work that can still meet its objective goes before work that cannot: with more work than room,
// going on with the oldest first would make every job late. Lasting tasks come in between: room
// that one of them takes is gone for good, while finite work that is in time gives it back within
// seconds. Then the queue's priority decides, then the time at which the
// rest of the chain of steps has to begin.
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

/// A ready step in the order of a pass.
struct ordered_step
{
    urgency key;
    ready_step step;
    std::vector<task_state> *tasks = nullptr;
    std::int64_t waiting = 0; ///< Tasks of the step that wait.
};

bool isSameStep(const ready_step &a, const ready_step &b)
{
    return a.job == b.job && a.occurrence == b.occurrence && a.step == b.step;
}

// Removes steps without waiting tasks and repeated ones, and returns the others, sorted.
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

    /// Returns true if the pass ended at the bound of its starts.
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
    // Returns the number of tasks of the step that were started.
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
