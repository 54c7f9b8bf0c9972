#include "absent_tasks.h"

#include "discovery_age.h"
#include "worker_polls.h"

#include <algorithm>
#include <fmt/format.h>

namespace crocuswind::scheduler {

namespace {

constexpr duration reportInterval = 1s;
constexpr duration minAbsence = 3s;
constexpr int maxLinesPerReport = 8;

std::int64_t toMs(duration d)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(d).count();
}

// Describes a worker that has to report, or whose lease has to lapse, before a task may start.
std::string describeAwaited(const scheduler_state &state, const worker_record &worker)
{
    const duration leaseLeft = std::max(worker.lease.lapsesBy() - state.now, duration::zero());
    return fmt::format("worker={} lease_left_ms={} failed_polls={} stored_as_silent={} "
                       "exclusive={}",
                       worker.info.id.value, toMs(leaseLeft), worker.failedPolls,
                       worker.isStoredAsSilent, state.now < state.exclusiveUntil);
}

// Returns the worker with the longest lease among those on which the task may be, or null.
const worker_record *lastAwaitedWorker(scheduler_state &state, const task_name &name)
{
    const worker_record *last = nullptr;
    for (const worker_id &id :
         state.unreportedWorkers.workersThatMayHave(name, possible_incarnation::known)) {
        const worker_record *worker = state.findWorker(id);
        const bool isLater = worker != nullptr
            && (last == nullptr || last->lease.lapsesBy() < worker->lease.lapsesBy());
        if (isLater)
            last = worker;
    }
    return last;
}

std::string describeUnlocated(scheduler_state &state, const task_name &name)
{
    const worker_record *worker = lastAwaitedWorker(state, name);
    if (worker == nullptr)
        return "reason=unlocated";
    return fmt::format("reason=unreported_worker {} workers_unreported={}",
                       describeAwaited(state, *worker), state.unreportedWorkers.size());
}

// Describes the place of the task's step in the dispatch order as of the last pass.
std::string describeQueued(const scheduler_state &state, const task_name &name)
{
    const auto found
        = std::find_if(state.ready.begin(), state.ready.end(), [&](const ready_step &step) {
              return step.job->spec.name == name.job && step.occurrence == name.occurrence
                  && step.step == name.step;
          });
    const bool hasNoWorker = found != state.ready.end() && found->hasNoWorker;
    return fmt::format("reason={} position={} steps={} evacuated_data_centres={}",
                       hasNoWorker ? "no_worker" : "queued", found - state.ready.begin(),
                       state.ready.size(), state.evacuatedDataCentres.size());
}

std::string describeWaiting(const scheduler_state &state, const task_name &name)
{
    if (!leaseEnd(state))
        return "reason=no_authority";
    if (state.areStartsHeld)
        return fmt::format("reason=starts_held workers_age_ms={}",
                           toMs(state.now - state.workersAsOf));
    if (state.startWindow.available(state.startsInFlight) == 0)
        return fmt::format("reason=start_window in_flight={} window={}", state.startsInFlight,
                           state.startWindow.size());
    return describeQueued(state, name);
}

// Describes what a task without a known run waits for. Looks at all workers in the worst case.
std::string describeReason(scheduler_state &state, const task_name &name, const task_state &task)
{
    if (task.phase == task_phase::unlocated)
        return describeUnlocated(state, name);
    if (task.phase == task_phase::waiting)
        return describeWaiting(state, name);
    return "reason=silent_worker " + describeAwaited(state, *state.findWorker(task.worker));
}

// Looks only where absent tasks can be: most tasks run, on workers that answer.
class absence_report
{
public:
    explicit absence_report(scheduler_state &state)
        : m_state(state)
    { }

    // Tasks that may run on workers that do not answer.
    void addTasksOnSilentWorkers()
    {
        for (const auto &[id, worker] : m_state.workers) {
            if (worker.failedPolls == 0)
                continue;
            for (const auto &[name, run] : worker.runs) {
                if (run.step->isContinuous)
                    add(name, *run.task, std::max(worker.lastReportAt, run.task->runSince));
            }
        }
    }

    void addWaitingTasks()
    {
        for (const ready_step &ready : m_state.ready) {
            const auto occurrence = ready.job->occurrences.find(ready.occurrence);
            if (occurrence != ready.job->occurrences.end() && !ready.job->isOver())
                addInterrupted(*ready.job, occurrence->second, ready.step, task_phase::waiting);
        }
    }

    void addUnlocatedTasks()
    {
        if (m_state.unreportedWorkers.size() == 0)
            return;
        for (const auto &[name, job] : m_state.jobs) {
            for (const auto &[number, occurrence] : job->occurrences) {
                for (int step = 0; step < int(occurrence.steps.size()); ++step)
                    addInterrupted(*job, occurrence, step, task_phase::unlocated);
            }
        }
    }

private:
    // Adds the interrupted tasks of a step that are in the phase.
    void addInterrupted(const job_record &job, const occurrence_state &occurrence, int step,
                        task_phase phase)
    {
        if (!job.spec.steps[std::size_t(step)].isContinuous)
            return;
        const auto &tasks = occurrence.steps[std::size_t(step)];
        for (int index = 0; index < int(tasks.size()); ++index) {
            const task_state &task = tasks[std::size_t(index)];
            const bool isInterrupted = phase == task_phase::unlocated || task.hasBegun;
            if (task.phase == phase && isInterrupted && isLongAgo(task.interruptedAt))
                add({job.spec.name, occurrence.number, step, index}, task, task.interruptedAt);
        }
    }

    bool isLongAgo(instant since) const { return m_state.now - since >= minAbsence; }

    void add(const task_name &name, const task_state &task, instant since)
    {
        if (m_lines == maxLinesPerReport || !isLongAgo(since))
            return;
        ++m_lines;
        m_state.ports.log("task_absent",
                          fmt::format("job={} task={} absent_ms={} {}", name.job.value,
                                      toString(name), toMs(m_state.now - since),
                                      describeReason(m_state, name, task)));
    }

    scheduler_state &m_state;
    int m_lines = 0;
};

} // namespace

void logAbsentTasks(scheduler_state &state)
{
    if (state.now < state.nextAbsenceReportAt)
        return;
    state.nextAbsenceReportAt = state.now + reportInterval;
    absence_report report(state);
    report.addTasksOnSilentWorkers();
    report.addWaitingTasks();
    report.addUnlocatedTasks();
}

} // namespace crocuswind::scheduler
