#include "dispatcher.h"

#include "task_lifecycle.h"
#include "worker_choice.h"
#include "worker_reports.h"

#include <algorithm>
#include <fmt/format.h>

namespace crocuswind::scheduler {

namespace {

/// Passes follow each other at this distance, so that one pass serves several events.
constexpr duration dispatchInterval = 10ms;

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

bool hasWaitingTasks(const ready_step &step)
{
    if (step.job->isOver())
        return false;
    const auto occurrence = step.job->occurrences.find(step.occurrence);
    if (occurrence == step.job->occurrences.end())
        return false;
    const auto &tasks = occurrence->second.steps[std::size_t(step.step)];
    return std::any_of(tasks.begin(), tasks.end(),
                       [](const task_state &task) { return task.phase == task_phase::waiting; });
}

bool isSameStep(const ready_step &a, const ready_step &b)
{
    return a.job == b.job && a.occurrence == b.occurrence && a.step == b.step;
}

// Removes steps without waiting tasks and repeated ones, and sorts the others.
void orderSteps(scheduler_state &state)
{
    auto &ready = state.ready;
    ready.erase(std::remove_if(ready.begin(), ready.end(),
                               [](const ready_step &step) { return !hasWaitingTasks(step); }),
                ready.end());
    std::vector<std::pair<urgency, ready_step>> ordered;
    ordered.reserve(ready.size());
    for (const ready_step &step : ready)
        ordered.emplace_back(urgencyOf(state, step), step);
    const auto before = [](const auto &a, const auto &b) {
        if (a.first < b.first || b.first < a.first)
            return a.first < b.first;
        return std::tie(a.second.occurrence, a.second.step)
            < std::tie(b.second.occurrence, b.second.step);
    };
    std::sort(ordered.begin(), ordered.end(), before);
    ready.clear();
    for (const auto &[key, step] : ordered) {
        if (ready.empty() || !isSameStep(ready.back(), step))
            ready.push_back(step);
    }
}

// A size that found no worker in this pass; larger ones of the same kind need not try. Work in idle
// room is of a kind by its image: where serving tasks cannot take one image, they may take another.
struct missed_size
{
    service_id service;
    resources size;
    bool fillsIdleRoom = false;
    std::string fillingImage;
    double pressureLimit = 0;
};

bool isHopeless(const std::vector<missed_size> &missed, const step_spec &step,
                const service_id &service, double pressureLimit)
{
    return std::any_of(missed.begin(), missed.end(), [&](const missed_size &m) {
        return m.service == service && m.fillsIdleRoom == step.fillsIdleRoom
            && (!step.fillsIdleRoom
                || (m.fillingImage == step.image && m.pressureLimit >= pressureLimit))
            && fitsInto(m.size, step.size);
    });
}

bool isPlain(const step_spec &step)
{
    return step.requiredLabel.empty() && step.maxPerWorker == 0;
}

class dispatch_pass
{
public:
    explicit dispatch_pass(scheduler_state &state)
        : m_state(state)
    { }

    void run()
    {
        orderSteps(m_state);
        m_isSlack = isSlack();
        std::int64_t waiting = 0;
        for (const ready_step &step : m_state.ready)
            waiting += offer(step);
        m_state.counters.tasksWaiting = waiting;
    }

private:
    // Returns the number of tasks of the step that go on waiting.
    std::int64_t offer(const ready_step &ready)
    {
        job_record &job = *ready.job;
        const step_spec &step = job.spec.steps[std::size_t(ready.step)];
        auto &tasks = job.occurrences.at(ready.occurrence).steps[std::size_t(ready.step)];
        std::map<worker_id, int> tasksOfStep;
        rack_id rack = step.dataRack;
        for (const task_state &task : tasks) {
            if (mayRun(task))
                noteTask(step, task.worker, tasksOfStep, rack);
        }
        const bool isLate = m_isSlack && urgencyOf(m_state, ready).expected >= outlook::late;
        const double pressureLimit = isLate ? maxPressureInSlack : maxPressure;
        std::int64_t waiting = 0;
        for (int index = 0; index < int(tasks.size()); ++index) {
            task_state &task = tasks[std::size_t(index)];
            if (task.phase != task_phase::waiting)
                continue;
            worker_record *worker = nullptr;
            if (!isHopeless(m_missed, step, job.policy.service, pressureLimit))
                worker = chooseWorker(
                    m_state, {&step, job.policy.service, &tasksOfStep, rack, pressureLimit});
            if (worker == nullptr) {
                if (isPlain(step))
                    m_missed.push_back({job.policy.service, step.size, step.fillsIdleRoom,
                                        step.fillsIdleRoom ? step.image : std::string(),
                                        pressureLimit});
                return waiting + countWaiting(tasks, index);
            }
            start(job, {job.spec.name, ready.occurrence, ready.step, index}, task, *worker);
            noteTask(step, worker->info.id, tasksOfStep, rack);
        }
        return waiting;
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

    void noteTask(const step_spec &step, const worker_id &worker,
                  std::map<worker_id, int> &tasksOfStep, rack_id &rack) const
    {
        if (step.maxPerWorker > 0)
            ++tasksOfStep[worker];
        if (step.wantsOneRack && rack.empty())
            rack = m_state.workers.at(worker).info.rack;
    }

    static std::int64_t countWaiting(const std::vector<task_state> &tasks, int from)
    {
        return std::count_if(tasks.begin() + from, tasks.end(), [](const task_state &task) {
            return task.phase == task_phase::waiting;
        });
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
    bool m_isSlack = false;
    std::vector<missed_size> m_missed;
};

} // namespace

void dispatch(scheduler_state &state)
{
    const bool isHeld = !state.isOwner || state.isHandingOver || !leaseEnd(state);
    const bool isReviewDue
        = !state.ready.empty() && state.now >= state.nextDispatchAt + reviewInterval;
    if (state.now < state.nextDispatchAt || (!state.isDispatchWanted && !isReviewDue))
        return;
    if (isHeld) {
        state.nextDispatchAt = state.now + reviewInterval;
        return;
    }
    state.isDispatchWanted = false;
    state.nextDispatchAt = state.now + dispatchInterval;
    dispatch_pass(state).run();
}

} // namespace crocuswind::scheduler
