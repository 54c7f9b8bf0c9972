#include "job_record.h"

#include <algorithm>

namespace crocuswind::scheduler {

bool mayHaveRun(const task_state &task)
{
    switch (task.phase) {
    case task_phase::starting:
    case task_phase::uncertain:
    case task_phase::running:
    case task_phase::stopping:
        return true;
    default:
        return false;
    }
}

bool isAvailable(const task_state &task)
{
    constexpr int startedUp = 100;
    return task.phase == task_phase::running && task.progressPercent == startedUp;
}

std::map<worker_id, int> countRuns(const std::vector<task_state> &tasks)
{
    std::map<worker_id, int> runs;
    for (const task_state &task : tasks) {
        if (mayHaveRun(task))
            ++runs[task.worker];
    }
    return runs;
}

bool occurrence_state::isStepDone(int step) const
{
    const auto &tasks = steps[std::size_t(step)];
    return std::all_of(tasks.begin(), tasks.end(),
                       [](const task_state &t) { return t.phase == task_phase::done; });
}

bool occurrence_state::isDone() const
{
    for (int step = 0; step < int(steps.size()); ++step) {
        if (!isStepDone(step))
            return false;
    }
    return true;
}

task_state *job_record::find(const task_name &name)
{
    const auto found = occurrences.find(name.occurrence);
    if (found == occurrences.end())
        return nullptr;
    auto &steps = found->second.steps;
    if (name.step < 0 || std::size_t(name.step) >= steps.size())
        return nullptr;
    auto &tasks = steps[std::size_t(name.step)];
    if (name.index < 0 || std::size_t(name.index) >= tasks.size())
        return nullptr;
    return &tasks[std::size_t(name.index)];
}

bool job_record::isOccurrenceDone(int number) const
{
    return number < occurrencesDone
        || std::find(doneLater.begin(), doneLater.end(), number) != doneLater.end();
}

int job_record::releasedOccurrences() const
{
    return int(std::count_if(occurrences.begin(), occurrences.end(),
                             [](const auto &entry) { return entry.second.isReleased; }));
}

void job_record::finishOccurrence(int number)
{
    occurrences.erase(number);
    doneLater.push_back(number);
    for (auto next = std::find(doneLater.begin(), doneLater.end(), occurrencesDone);
         next != doneLater.end();
         next = std::find(doneLater.begin(), doneLater.end(), occurrencesDone)) {
        doneLater.erase(next);
        ++occurrencesDone;
    }
}

bool job_record::hasStarted() const
{
    if (occurrencesDone > 0 || !doneLater.empty())
        return true;
    return std::any_of(occurrences.begin(), occurrences.end(),
                       [](const auto &entry) { return entry.second.hasStarted; });
}

bool job_record::mayHaveRun() const
{
    for (const auto &[number, occurrence] : occurrences) {
        for (const auto &tasks : occurrence.steps) {
            if (std::any_of(tasks.begin(), tasks.end(), scheduler::mayHaveRun))
                return true;
        }
    }
    return false;
}

job_status statusOf(const job_record &job)
{
    if (job.isFinishStored) {
        if (job.isCancelled)
            return job_status::cancelled;
        return job.isFailed ? job_status::failed : job_status::completed;
    }
    return job.hasStarted() ? job_status::running : job_status::queued;
}

job_objective objectiveOf(const job_record &job, const occurrence_state &occurrence)
{
    /// Completions up to this multiple of the objective are late but still useful.
    constexpr int lateMultiple = 3;
    const std::int64_t longest = job.criticalPathsMs.empty()
        ? 0
        : *std::max_element(job.criticalPathsMs.begin(), job.criticalPathsMs.end());
    const std::chrono::milliseconds span(
        std::int64_t(double(longest) * std::max(1.0, job.policy.stretch))
        + job.policy.objectiveSlackMs);
    const instant from = job.spec.scheduledOccurrences > 0 ? occurrence.dueAt : job.requestedAt;
    return {from + span, from + lateMultiple * span};
}

instant waitingSince(const job_record &job, const occurrence_state &occurrence)
{
    return job.spec.scheduledOccurrences > 0 ? std::max(job.idleSince, occurrence.dueAt)
                                             : job.idleSince;
}

std::string toString(job_status status)
{
    switch (status) {
    case job_status::queued:
        return "queued";
    case job_status::running:
        return "running";
    case job_status::completed:
        return "completed";
    case job_status::failed:
        return "failed";
    case job_status::cancelled:
        return "cancelled";
    }
    return "unknown";
}

occurrence_state newOccurrence(const job_spec &spec, int number, instant dueAt)
{
    occurrence_state occurrence;
    occurrence.number = number;
    occurrence.dueAt = dueAt;
    for (const step_spec &step : spec.steps)
        occurrence.steps.emplace_back(std::size_t(step.count));
    return occurrence;
}

} // namespace crocuswind::scheduler
