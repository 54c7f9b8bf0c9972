/// Decides how batch work and latency-critical tasks share workers. Interference depends on which
/// kinds of work share a worker and is visible only in lagging usage, so it is learned by kind of
/// work and acted on in steps. The policies implement one interface, so that they can be compared.
#ifndef CROCUSWIND_BATCH_INTERFERENCE_H
#define CROCUSWIND_BATCH_INTERFERENCE_H

#include "commitments.h"
#include "worker_sync.h"

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace crocuswind {

/// Returns the kind of work of a job: its team and its name without the trailing number, since
/// callers number the jobs of one kind (`lab/cert-17` is of kind `lab/cert`).
std::string workKindOf(const job_id &job);

/// What a policy sees of one task on a worker.
struct observed_task
{
    task_key task;
    std::string workKind;
    job_kind kind = job_kind::finite;
    job_urgency urgency = job_urgency::normal;
    std::int64_t milliCores = 0;
    int throttlePermille = 1000;
    bool isLeaving = false; ///< Is being moved or stopped already.
    std::optional<task_usage> usage;
};

/// What a policy sees of a worker with each report.
struct observed_worker
{
    worker_id worker;
    std::int64_t milliCores = 0;
    instant changedAt; ///< When a task last came, left or changed its throttle.
    std::vector<observed_task> tasks;
};

/// The load of a worker as far as placement ranks by it; kept up to date with each claim.
struct worker_load
{
    double pressure = 0; ///< Expected slowdown of a latency-critical task by the batch work there.
    std::int64_t latencyCriticalCores = 0; ///< In thousandths.
    std::int64_t batchCores = 0; ///< In thousandths.
};

enum class control_action {
    throttle, ///< Limit the task to a share of its cores, or remove the limit.
    move, ///< Save the task's state, stop it, and start it elsewhere.
};

struct control_step
{
    control_action action = control_action::throttle;
    task_key task;
    int permille = 1000; ///< For `throttle`.
};

/// A way to control interference. It keeps what it has learned across ownerships.
class interference_policy
{
public:
    virtual ~interference_policy() = default;

    /// Returns the expected harm of placing a task, for ranking; infinity forbids the worker.
    /// \p added is the pressure that the task adds to the worker, if it is batch work.
    virtual double penalty(const worker_id &worker, const worker_load &load, bool isLatencyCritical,
                           double added) const = 0;

    /// Returns the slowdown that one worker full of this kind of work causes, beyond 1.
    virtual double pressureOf(const std::string &workKind) const = 0;

    /// Handles what a worker has reported and returns what is to be done there.
    virtual std::vector<control_step> observe(instant now, const observed_worker &worker) = 0;
};

/// The policies that can be compared.
enum class interference_control {
    none, ///< Ignores interference.
    separation, ///< Keeps a third of the workers for latency-critical tasks, the rest for batch.
    threshold, ///< Throttles all batch work on a worker while a latency-critical task is slow.
    learned, ///< Learns which kinds interfere, places by it, and acts on the cause in steps.
};

std::unique_ptr<interference_policy> makeInterferencePolicy(interference_control control);

} // namespace crocuswind

#endif
