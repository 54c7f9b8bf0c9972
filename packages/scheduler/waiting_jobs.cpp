#include "waiting_jobs.h"

#include "worker_choice.h"

#include <algorithm>
#include <fmt/format.h>

namespace crocuswind::scheduler {

namespace {

constexpr duration reportInterval = 1s;
constexpr duration minWait = 3s;
constexpr std::size_t maxLinesPerReport = 4;

std::int64_t toMs(duration d)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(d).count();
}

/// A step with waiting tasks whose job has no run.
struct waiting_step
{
    instant since;
    std::size_t position = 0; ///< In the dispatch order.
    const occurrence_state *occurrence = nullptr;
};

bool hasWaitingTask(const std::vector<task_state> &tasks)
{
    return std::any_of(tasks.begin(), tasks.end(),
                       [](const task_state &task) { return task.phase == task_phase::waiting; });
}

// Returns the steps that have waited for at least `minWait`, the longest wait first.
std::vector<waiting_step> findWaitingSteps(const scheduler_state &state)
{
    std::vector<waiting_step> waiting;
    for (std::size_t i = 0; i < state.ready.size(); ++i) {
        const ready_step &ready = state.ready[i];
        const job_record &job = *ready.job;
        const auto occurrence = job.occurrences.find(ready.occurrence);
        if (job.isOver() || job.boundRuns > 0 || occurrence == job.occurrences.end())
            continue;
        const instant since = waitingSince(job, occurrence->second);
        if (state.now - since >= minWait
            && hasWaitingTask(occurrence->second.steps[std::size_t(ready.step)]))
            waiting.push_back({since, i, &occurrence->second});
    }
    std::sort(waiting.begin(), waiting.end(), [](const waiting_step &a, const waiting_step &b) {
        return std::tie(a.since, a.position) < std::tie(b.since, b.position);
    });
    return waiting;
}

void logStep(const scheduler_state &state, const waiting_step &waiting)
{
    const ready_step &ready = state.ready[waiting.position];
    const job_record &job = *ready.job;
    worker_request request;
    request.step = &job.spec.steps[std::size_t(ready.step)];
    request.service = job.policy.service;
    const refusal_counts counts = countRefusals(state, request);
    const bool isUseful = state.now <= objectiveOf(job, *waiting.occurrence).lateUntil;
    state.ports.log(
        "job_waiting",
        fmt::format("job={} occurrence={} step={} waiting_ms={} useful={} best_effort={} "
                    "no_worker={} position={} workers={} evacuated={} not_eligible={} label={} "
                    "task_limit={} "
                    "room={} near_target={} idle={} pressure={} lowest_pressure={:.2f}",
                    job.spec.name.value, ready.occurrence, ready.step,
                    toMs(state.now - waiting.since), isUseful, request.step->isBestEffort,
                    ready.hasNoWorker, waiting.position, counts.workers, counts.evacuated,
                    counts.notEligible, counts.label, counts.taskLimit, counts.room,
                    counts.nearTarget, counts.idle, counts.pressure, counts.lowestPressure));
}

void logSummary(const scheduler_state &state, const std::vector<waiting_step> &waiting)
{
    resources capacity;
    resources reserved;
    std::int64_t bestEffort = 0;
    double bestEffortUsed = 0;
    for (const auto &[id, worker] : state.workers) {
        capacity = capacity + worker.info.capacity;
        reserved = reserved + worker.committed;
        bestEffort += worker.bestEffortMilliCores;
        for (const auto &[image, runs] : worker.bestEffort)
            bestEffortUsed += runs.usedShare * double(worker.info.capacity.milliCores);
    }
    state.ports.log("jobs_waiting",
                    fmt::format("steps={} longest_ms={} capacity_millicores={} "
                                "reserved_millicores={} best_effort_millicores={} "
                                "best_effort_used_millicores={:.0f} capacity_mb={} reserved_mb={}",
                                waiting.size(), toMs(state.now - waiting.front().since),
                                capacity.milliCores, reserved.milliCores, bestEffort,
                                bestEffortUsed, capacity.memoryMb, reserved.memoryMb));
}

} // namespace

void logWaitingJobs(scheduler_state &state)
{
    if (state.now < state.nextWaitReportAt)
        return;
    state.nextWaitReportAt = state.now + reportInterval;
    const std::vector<waiting_step> waiting = findWaitingSteps(state);
    if (waiting.empty())
        return;
    logSummary(state, waiting);
    for (std::size_t i = 0; i < std::min(waiting.size(), maxLinesPerReport); ++i)
        logStep(state, waiting[i]);
}

} // namespace crocuswind::scheduler
