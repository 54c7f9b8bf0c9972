#include "worker_choice.h"

#include "discovery_age.h"
#include "pace_control.h"
#include "placement_cost.h"
#include "worker_incarnation.h"

namespace crocuswind::scheduler {

namespace {

// Returns true if a later owner may exist whose epoch the worker does not know (any more). Normally
// the higher epoch makes the worker refuse commands of this owner, but a worker that has restarted
// since has forgotten that epoch.
bool mayHaveForgottenEpoch(const scheduler_state &state, const worker_record &worker)
{
    return state.now >= state.exclusiveUntil
        && (worker.firstReportAt >= state.exclusiveUntil
            || state.now - worker.lastReportAt >= sameIncarnationLimit);
}

// Returns false if the entry of service discovery and the last report name different incarnations.
// Room, labels and service are known only for the incarnation of the entry.
bool isEntryOfReportedIncarnation(const worker_record &worker)
{
    return worker.info.incarnationStartUnixMs == 0 || worker.incarnationStartUnixMs == 0
        || worker.info.incarnationStartUnixMs == worker.incarnationStartUnixMs;
}

// Adds the first reason why the worker cannot take the task.
void countRefusal(const scheduler_state &state, const worker_request &request,
                  const worker_record &worker, const std::vector<double> &coefficients,
                  refusal_counts &counts)
{
    const step_spec &step = *request.step;
    const free_capacity freeCapacity = freeCapacityOf(worker);
    if (isEvacuated(state, worker)) {
        ++counts.evacuated;
    } else if (!isEligible(state, worker)) {
        ++counts.notEligible;
    } else if (!hasRequiredLabel(step, worker)) {
        ++counts.label;
    } else if (isAtTaskLimit(request, worker)) {
        ++counts.taskLimit;
    } else if (!hasRoomFor(step, freeCapacity)) {
        ++counts.room;
    } else if (step.isBestEffort && !freeCapacity.acceptsBestEffort) {
        ++counts.nearTarget;
    } else if (step.isBestEffort && !hasIdleProcessorsFor(step, freeCapacity)) {
        ++counts.idle;
    } else if (step.isBestEffort) {
        const double pressure = bestEffortPressure(worker, coefficients, step.size.milliCores);
        if (pressure <= request.maxPressure)
            return;
        const bool isLowest = counts.pressure == 0 || pressure < counts.lowestPressure;
        counts.lowestPressure = isLowest ? pressure : counts.lowestPressure;
        ++counts.pressure;
    }
}

} // namespace

bool isEvacuated(const scheduler_state &state, const worker_record &worker)
{
    return state.evacuatedDataCentres.count(worker.info.dataCentre) != 0;
}

bool isEligible(const scheduler_state &state, const worker_record &worker)
{
    return worker.isListed && worker.isInStoredList && !worker.isStoredAsSilent
        && isEntryOfReportedIncarnation(worker) && isIncarnationStored(worker)
        && !worker.mayHaveLeavingRecord && worker.hasReported && !worker.info.isDraining
        && worker.failedPolls == 0 && !worker.hasStrayRuns && worker.avoidedUntil <= state.now
        && worker.lease.isClockKnown() && !mayHaveForgottenEpoch(state, worker)
        && !isEvacuated(state, worker);
}

bool mayStartNow(const scheduler_state &state, const worker_record &worker)
{
    return isEligible(state, worker) && !isAcknowledging(state, worker);
}

bool isPossible(const scheduler_state &state, const worker_request &request,
                const worker_record &worker)
{
    return isEligible(state, worker) && worker.info.service == request.service
        && hasRequiredLabel(*request.step, worker) && !isAtTaskLimit(request, worker);
}

worker_record *chooseWorker(scheduler_state &state, const worker_request &request)
{
    // Starts are held back now, so a run that is stopped to be moved could not start elsewhere.
    if (areWorkersOutdated(state))
        return nullptr;
    const step_spec &step = *request.step;
    std::vector<double> coefficients;
    if (step.isBestEffort)
        coefficients = state.interference.coefficientsOf(step.image);
    worker_record *best = nullptr;
    double bestCost = infiniteCost;
    for (auto &[id, worker] : state.workers) {
        ++state.counters.workersExamined;
        if (!mayStartNow(state, worker) || worker.info.service != request.service)
            continue;
        const free_capacity freeCapacity = freeCapacityOf(worker);
        if (!hasCapacityFor(request, freeCapacity) || !hasRequiredLabel(step, worker)
            || isAtTaskLimit(request, worker))
            continue;
        const double lowerBound = lowerBoundCost(request, worker, freeCapacity);
        if (lowerBound >= bestCost)
            continue;
        const double cost = fullCost(state, request, worker, lowerBound, coefficients);
        if (cost >= bestCost)
            continue;
        bestCost = cost;
        best = &worker;
    }
    return best;
}

refusal_counts countRefusals(const scheduler_state &state, const worker_request &request)
{
    std::vector<double> coefficients;
    if (request.step->isBestEffort)
        coefficients = state.interference.coefficientsOf(request.step->image);
    refusal_counts counts;
    for (const auto &[id, worker] : state.workers) {
        if (worker.info.service != request.service)
            continue;
        ++counts.workers;
        countRefusal(state, request, worker, coefficients, counts);
    }
    return counts;
}

} // namespace crocuswind::scheduler
