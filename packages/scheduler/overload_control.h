/// Decides what happens to finite work while there is too little room for it: which jobs are given
/// up for now, and which new jobs are refused. Private to the package.
///
/// Load pattern: a burst of work of a later priority, or the loss of a part of the workers, so that
/// more is accepted than can be done before its objectives.
#ifndef CROCUSWIND_SCHEDULER_OVERLOAD_CONTROL_H
#define CROCUSWIND_SCHEDULER_OVERLOAD_CONTROL_H

#include "job_calls.h"
#include "job_record.h"
#include "policy/policy.h"

#include <deque>
#include <map>
#include <optional>
#include <string>
#include <tuple>
#include <utility>

namespace crocuswind::scheduler {

struct scheduler_state;

/// When jobs were first refused for load. The time of a caller who comes back counts from there, or
/// else those that were refused would take the room of others that have as little time left.
class load_refusals
{
public:
    /// Notes that the job was refused, and forgets what was noted long ago.
    void record(const job_name &name, instant now);

    /// Returns when the job was first refused, or nothing.
    std::optional<instant> requestedAt(const job_name &name) const;

private:
    std::map<job_name, instant> m_requestedAt;
    std::deque<std::pair<instant, job_name>> m_order;
};

/// Identifies work that shares room: work that reserves processors, or best-effort work, of a
/// service.
struct room_kind
{
    service_id service;
    bool isBestEffort = false;

    friend bool operator<(const room_kind &a, const room_kind &b)
    {
        return std::tie(a.service, a.isBestEffort) < std::tie(b.service, b.isBestEffort);
    }
};

/// The load of one kind of room. Amounts of work are in thousandths of a core times milliseconds.
struct room_load
{
    explicit room_load(instant now)
        : rate(now)
    { }

    policy::room_rate rate;
    bool isOverloaded = false; ///< Jobs are given up for now, or were until recently.
    instant overloadedUntil; ///< Unless jobs are given up again.
    double milliCores = 0; ///< Estimated work that can start per time.
    double workInTime = 0; ///< Work of the jobs that are to be in time.
    double workInUse = 0; ///< Also of those that are late and may still be of use.
    double meanWork = 0; ///< Of a job that waits.
    std::size_t givenUp = 0; ///< Number of jobs that are not expected to be in time.
};

/// Decides anew, every 200 ms, which waiting jobs are given up for now. Call it before the steps
/// are ordered, while `ready` tells which steps found no worker.
void triageWaitingJobs(scheduler_state &state);

/// Records that a run of the finite task, bound since `task.runSince`, has ended.
void noteRunEnded(scheduler_state &state, const job_record &job, const task_name &name,
                  const task_state &task, bool isDone);

/// Records that the job was accepted.
void noteAccepted(scheduler_state &state, const job_record &job);

/// Counts whether the forecast for the occurrence, which is done now, was right.
void noteOccurrenceDone(scheduler_state &state, const job_record &job,
                        const occurrence_state &occurrence);

/// A refusal of a new job for load.
struct load_refusal
{
    std::string reason; ///< For the caller.
    std::string inputs; ///< For the log: the values that decided.
    std::int64_t retryAfterMs = 0;
};

/// Returns a refusal if the new job would end when it is of no use to its caller any more, or
/// nothing if it may be accepted.
std::optional<load_refusal> refusalForLoad(const scheduler_state &state, const job_record &job);

} // namespace crocuswind::scheduler

#endif
