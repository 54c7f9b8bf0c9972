#include "occurrences.h"

#include <algorithm>
#include <fmt/format.h>
#include <set>

namespace crocuswind::scheduler {

namespace {

// Returns true if the specification of the job has the task.
bool hasTask(const job_record &job, const task_name &name)
{
    const auto &steps = job.spec.steps;
    return name.occurrence >= 0 && name.occurrence < job.occurrenceCount() && name.step >= 0
        && std::size_t(name.step) < steps.size() && name.index >= 0
        && name.index < steps[std::size_t(name.step)].count;
}

bool canStepStart(const job_record &job, const occurrence_state &occurrence, int step)
{
    const auto &after = job.spec.steps[std::size_t(step)].after;
    return std::all_of(after.begin(), after.end(),
                       [&](int earlier) { return occurrence.isStepDone(earlier); });
}

// Marks the tasks of an occurrence that an earlier owner may have released: any of them may run on
// a worker that has not reported yet. A step may have started even if its predecessors are not
// known to be done: their completions may not be durable yet and be known to the workers only.
void markUnlocated(scheduler_state &state, occurrence_state &occurrence)
{
    for (auto &tasks : occurrence.steps) {
        for (task_state &task : tasks) {
            if (task.phase == task_phase::done)
                continue;
            task.phase = task_phase::unlocated;
            task.interruptedAt = state.now;
        }
    }
}

// Creates the tasks of an occurrence unless it has them.
occurrence_state &layOut(scheduler_state &state, job_record &job, int number)
{
    const auto [found, isNew] = job.occurrences.try_emplace(number);
    if (isNew) {
        found->second = newOccurrence(job.spec, number, job.dueTimeOf(number));
        // Its due time may have come earlier by the clock of an earlier owner.
        if (job.isRecovered)
            markUnlocated(state, found->second);
    }
    return found->second;
}

// Releases the `unlocated` tasks of an occurrence that no unreported worker can be running. Returns
// their number.
std::int64_t releaseUnlocated(scheduler_state &state, job_record &job, occurrence_state &occurrence)
{
    std::int64_t released = 0;
    for (int step = 0; step < int(occurrence.steps.size()); ++step) {
        const bool canStart = canStepStart(job, occurrence, step);
        const possible_incarnation where = possibleIncarnationOf(job.spec.steps[std::size_t(step)]);
        bool hasWaiting = false;
        auto &tasks = occurrence.steps[std::size_t(step)];
        for (int index = 0; index < int(tasks.size()); ++index) {
            task_state &task = tasks[std::size_t(index)];
            const bool isHeld = task.phase != task_phase::unlocated
                || state.unreportedWorkers.mayHave({job.spec.name, occurrence.number, step, index},
                                                   where);
            if (isHeld)
                continue;
            ++released;
            task.phase = canStart ? task_phase::waiting : task_phase::blocked;
            hasWaiting = hasWaiting || canStart;
        }
        if (hasWaiting)
            state.ready.push_back({&job, occurrence.number, step});
    }
    return released;
}

void releaseNextOccurrence(scheduler_state &state, job_record &job)
{
    occurrence_state &occurrence = layOut(state, job, job.nextOccurrence++);
    occurrence.isReleased = true;
    if (releaseUnlocated(state, job, occurrence) > 0)
        state.isDispatchWanted = true;
    unblockSteps(state, job, occurrence);
}

// Returns true if the job has an occurrence to release that need not wait for others to end. Skips
// those that are done.
bool mayReleaseNext(job_record &job)
{
    const int count = job.occurrenceCount();
    while (job.nextOccurrence < count && job.isOccurrenceDone(job.nextOccurrence))
        ++job.nextOccurrence;
    return job.nextOccurrence < count && job.releasedOccurrences() < maxOverlap(job.spec);
}

instant firstDueTime(const scheduler_state &state, const job_spec &spec)
{
    if (spec.scheduledOccurrences == 0)
        return state.now;
    return state.now + std::chrono::milliseconds(spec.firstDueUnixMs - unixTimeMs(state));
}

} // namespace

std::int64_t unixTimeMs(const scheduler_state &state)
{
    return state.unixOffsetMs
        + std::chrono::duration_cast<std::chrono::milliseconds>(state.now.time_since_epoch())
              .count();
}

void unblockSteps(scheduler_state &state, job_record &job, occurrence_state &occurrence)
{
    for (int step = 0; step < int(occurrence.steps.size()); ++step) {
        bool hasBlocked = false;
        for (const task_state &task : occurrence.steps[std::size_t(step)])
            hasBlocked = hasBlocked || task.phase == task_phase::blocked;
        if (!hasBlocked || !canStepStart(job, occurrence, step))
            continue;
        for (task_state &task : occurrence.steps[std::size_t(step)]) {
            if (task.phase == task_phase::blocked)
                task.phase = task_phase::waiting;
        }
        state.ready.push_back({&job, occurrence.number, step});
        state.isDispatchWanted = true;
    }
}

void scheduleNextOccurrence(scheduler_state &state, job_record &job)
{
    if (job.isNextScheduled || !mayReleaseNext(job))
        return;
    job.isNextScheduled = true;
    state.dueOccurrences.emplace(job.dueTimeOf(job.nextOccurrence), job.spec.name);
}

void releaseDueOccurrences(scheduler_state &state, job_record &job)
{
    if (job.isOver())
        return;
    job.firstDueAt = firstDueTime(state, job.spec);
    scheduleNextOccurrence(state, job);
    releaseOccurrences(state);
}

void resumeOccurrences(scheduler_state &state, job_record &job)
{
    job.firstDueAt = firstDueTime(state, job.spec);
    job.nextOccurrence = job.occurrencesDone;
    for (auto &[number, occurrence] : job.occurrences) {
        occurrence.dueAt = job.dueTimeOf(number);
        markUnlocated(state, occurrence);
    }
    const instant dueUntil = state.now + state.settings.earlyLimit;
    while (mayReleaseNext(job) && job.dueTimeOf(job.nextOccurrence) <= dueUntil)
        layOut(state, job, job.nextOccurrence++).isReleased = true;
    scheduleNextOccurrence(state, job);
}

void releaseOccurrences(scheduler_state &state)
{
    while (!state.dueOccurrences.empty()) {
        const auto first = state.dueOccurrences.begin();
        if (first->first - state.settings.earlyLimit > state.now)
            return;
        const auto [due, name] = *first;
        state.dueOccurrences.erase(first);
        job_record *job = state.findJob(name);
        const bool isCurrent = job != nullptr && !job->isOver() && job->isNextScheduled
            && job->dueTimeOf(job->nextOccurrence) == due;
        if (!isCurrent)
            continue;
        job->isNextScheduled = false;
        if (!job->isOccurrenceDone(job->nextOccurrence))
            releaseNextOccurrence(state, *job);
        scheduleNextOccurrence(state, *job);
    }
}

task_state *findReportedTask(scheduler_state &state, const task_name &name)
{
    job_record *job = state.findJob(name.job);
    if (job == nullptr)
        return nullptr;
    task_state *task = job->find(name);
    const bool mayBeUnknown = job->isRecovered && !job->isOver() && hasTask(*job, name)
        && !job->isOccurrenceDone(name.occurrence);
    if (task != nullptr || !mayBeUnknown)
        return task;
    layOut(state, *job, name.occurrence);
    return job->find(name);
}

void excludeStartsAfter(job_record &job, const task_name &running)
{
    const auto &steps = job.spec.steps;
    if (steps[std::size_t(running.step)].allowsDuplicates)
        return;
    std::set<int> undone = {running.step};
    for (int step = running.step + 1; step < int(steps.size()); ++step) {
        const auto &after = steps[std::size_t(step)].after;
        const bool isAfter = std::any_of(after.begin(), after.end(),
                                         [&](int earlier) { return undone.count(earlier) != 0; });
        if (!isAfter)
            continue;
        undone.insert(step);
        for (task_state &task : job.occurrences.at(running.occurrence).steps[std::size_t(step)]) {
            if (task.phase == task_phase::unlocated)
                task.phase = task_phase::blocked;
        }
    }
}

void releaseUnlocatedTasks(scheduler_state &state)
{
    std::int64_t released = 0;
    for (auto &[name, job] : state.jobs) {
        if (job->isOver())
            continue;
        for (auto &[number, occurrence] : job->occurrences) {
            if (occurrence.isReleased)
                released += releaseUnlocated(state, *job, occurrence);
        }
    }
    if (released == 0 && state.unreportedWorkers.size() != 0)
        return;
    const auto since
        = std::chrono::duration_cast<std::chrono::milliseconds>(state.now - state.tookOverAt);
    state.ports.log("unlocated_released",
                    fmt::format("epoch={} tasks={} since_take_over_ms={} workers_unreported={}",
                                state.epoch, released, since.count(),
                                state.unreportedWorkers.size()));
    state.isDispatchWanted = true;
}

} // namespace crocuswind::scheduler
