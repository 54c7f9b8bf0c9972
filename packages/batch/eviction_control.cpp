#include "eviction_control.h"

#include <algorithm>

namespace crocuswind {

namespace {

observed_worker observe(const shard_state &state, const worker_slot &slot,
                        const worker_session &session)
{
    observed_worker observed;
    observed.worker = slot.worker;
    observed.milliCores = std::max<std::int64_t>(slot.capacity.milliCores, 1);
    observed.changedAt = session.changedAt;
    for (const auto &[key, size] : slot.tasks) {
        const job_entry &job = *state.jobs.find(key.job);
        const task_runtime &runtime = job.runtime[std::size_t(key.replica)];
        observed.tasks.push_back({key, job.workKind, job.record.spec.kind, job.record.spec.urgency,
                                  size.milliCores, runtime.throttlePermille,
                                  runtime.removal != removal_step::none, runtime.usage});
    }
    return observed;
}

} // namespace

void controlInterference(shard_state &state, const worker_id &worker)
{
    const worker_slot *slot = state.accounting.find(worker);
    const auto at = state.sessions.find(worker);
    if (slot == nullptr || at == state.sessions.end())
        return;
    const observed_worker observed = observe(state, *slot, at->second);
    // Recomputes the pressure used for ranking, since the learned factors may have changed after
    // the tasks were claimed.
    double pressure = 0;
    for (const observed_task &task : observed.tasks) {
        if (task.kind != job_kind::service)
            pressure += state.policy->pressureOf(task.workKind) * double(task.milliCores)
                / double(observed.milliCores);
    }
    at->second.load.pressure = pressure;
    for (const control_step &step : state.policy->observe(state.now, observed)) {
        job_entry &job = *state.jobs.find(step.task.job);
        if (step.action == control_action::move) {
            state.remove(job, step.task.replica, true, "it slows latency-critical tasks");
            continue;
        }
        job.runtime[std::size_t(step.task.replica)].throttlePermille = step.permille;
        at->second.changedAt = state.now;
        at->second.wantsSync = true;
    }
}

} // namespace crocuswind
