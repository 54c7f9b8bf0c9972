#include "scheduler_state.h"

#include <algorithm>
#include <utility>

namespace crocuswind::scheduler {

namespace {

/// Delay of a leaving record that is not urgent. Continuous tasks leave a draining worker one after
/// the other, and the delay lets several share one write.
constexpr duration leavingRecordInterval = 1s;

} // namespace

void scheduler_state::noteWorkerChanged(worker_record &worker)
{
    if (!std::exchange(worker.isChangeNoted, true))
        changedWorkers.push_back(&worker);
}

std::map<worker_id, worker_record>::iterator
scheduler_state::removeWorker(std::map<worker_id, worker_record>::iterator worker)
{
    discardChooser();
    return workers.erase(worker);
}

void scheduler_state::discardChooser()
{
    chooser.reset();
    for (worker_record *worker : changedWorkers)
        worker->isChangeNoted = false;
    changedWorkers.clear();
}

void scheduler_state::noteRunsChanged(const worker_record &worker)
{
    if (!worker.info.isDraining && !worker.mayHaveLeavingRecord)
        return;
    // A leaving record that names too many tasks is safe and may be corrected later. It is
    // corrected at once if the worker may have tasks that it does not name, or if the worker runs
    // nothing, so that it holds back no task.
    const bool isEmpty = worker.runs.empty() && !worker.completions.hasUnsettled();
    const bool isUrgent = isEmpty || worker.hasStrayRuns || !worker.info.isDraining;
    scheduleLeavingRecord(worker.info.id, isUrgent ? now : now + leavingRecordInterval);
}

void scheduler_state::scheduleLeavingRecord(const worker_id &id, instant when)
{
    const auto [found, isNew] = leavingDue.try_emplace(id, when);
    found->second = std::min(found->second, when);
}

void scheduler_state::schedulePoll(worker_record &worker, instant when)
{
    worker.nextPollAt = when;
    pollQueue.emplace(when, worker.info.id);
    nextPollScanAt = std::min(nextPollScanAt, when);
}

void scheduler_state::bringPollForward(worker_record &worker, instant when)
{
    schedulePoll(worker, std::min(worker.nextPollAt, when));
}

job_record *scheduler_state::findJob(const job_name &name)
{
    const auto found = jobs.find(name);
    return found == jobs.end() ? nullptr : found->second.get();
}

task_state *scheduler_state::findTask(const task_name &name)
{
    job_record *job = findJob(name.job);
    return job == nullptr ? nullptr : job->find(name);
}

worker_record *scheduler_state::findWorker(const worker_id &id)
{
    const auto found = workers.find(id);
    return found == workers.end() ? nullptr : &found->second;
}

} // namespace crocuswind::scheduler
