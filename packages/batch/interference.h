/// Controls interference between batch tasks and latency-critical tasks that share a worker.
/// Interference depends on the combination of work kinds and is visible only in delayed usage
/// reports, so policies learn it per kind of work and act in steps. All policies implement one
/// interface so that they can be compared.
#ifndef CROCUSWIND_BATCH_INTERFERENCE_H
#define CROCUSWIND_BATCH_INTERFERENCE_H

#include "resource_accounting.h"
#include "worker_sync.h"

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace crocuswind {

/// Returns the kind of work of a job: its team and its name without trailing digits, since callers
/// number the jobs of one kind (`lab/cert-17` is of kind `lab/cert`).
std::string workKindOf(const job_id &job);

/// One task on a worker as a policy observes it.
struct observed_task
{
    task_key task;
    std::string workKind;
    job_kind kind = job_kind::finite;
    job_urgency urgency = job_urgency::normal;
    std::int64_t milliCores = 0;
    int throttlePermille = 1000;
    bool isLeaving = false; ///< The task is already being moved or stopped.
    std::optional<task_usage> usage;
};

/// The state of a worker as a policy observes it with each report.
struct observed_worker
{
    worker_id worker;
    std::int64_t milliCores = 0;
    instant changedAt; ///< When a task was last added, removed or throttled differently.
    std::vector<observed_task> tasks;
};

/// The load by which placement ranks workers; updated with each claim.
struct worker_load
{
    /// Expected slowdown of a latency-critical task beyond 1, caused by the batch work on the
    /// worker.
    double pressure = 0;
    std::int64_t latencyCriticalCores = 0; ///< In millicores.
    std::int64_t batchCores = 0; ///< In millicores.
};

enum class control_action {
    throttle, ///< Limit the task to a share of its cores, or remove the limit.
    move, ///< Checkpoint the task, stop it, and restart it on another worker.
};

struct control_step
{
    control_action action = control_action::throttle;
    task_key task;
    int permille = 1000; ///< For `throttle`.
};

/// An interference policy. What it has learned is kept across ownerships.
class interference_policy
{
public:
    virtual ~interference_policy() = default;

    /// Returns the expected slowdown from placing a task, for ranking; infinity excludes the
    /// worker. \p added is the pressure that the task adds to the worker if it is batch work.
    virtual double penalty(const worker_id &worker, const worker_load &load, bool isLatencyCritical,
                           double added) const = 0;

    /// Returns the slowdown beyond 1 that a worker filled with this kind of work causes.
    virtual double pressureOf(const std::string &workKind) const = 0;

    /// Processes a worker's report and returns the steps to take on this worker.
    virtual std::vector<control_step> observe(instant now, const observed_worker &worker) = 0;
};

/// The policies that can be compared.
enum class interference_control {
    none, ///< Ignores interference.
    /// Reserves a third of the workers for latency-critical tasks and the rest for batch tasks.
    separation,
    threshold, ///< Throttles all batch tasks on a worker while a latency-critical task is slow.
    /// Learns which kinds of work interfere, ranks placements by it, and throttles or moves the
    /// cause.
    learned,
};

std::unique_ptr<interference_policy> makeInterferencePolicy(interference_control control);

} // namespace crocuswind

#endif
