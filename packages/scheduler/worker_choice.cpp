#include "worker_choice.h"

#include "pace_control.h"
#include "worker_reports.h"

#include <algorithm>
#include <limits>

namespace crocuswind::scheduler {

namespace {

/// Serving tasks use about this share of what they reserve.
constexpr double servingUse = 0.5;

/// Work in idle room starts only where it can expect this share of what it asks for.
constexpr double minIdleShare = 1.0;

/// Work in idle room is not added beside serving tasks above this ratio of latency to target.
constexpr double maxRatioForFill = 0.9;

/// Above this coefficient, a single task of usual size is more than the serving tasks bear.
constexpr double blockingCoefficient = 2.5;

// What it costs to bring a serving image to a worker, as shares of its processors. Idle room beside
// no serving task takes all work. Each image of work harms one or two serving images of five, so it
// finds room beside a single image on most workers, beside three on few: mixing costs more than a
// whole worker. It costs more with each image of work that interferes too much with the new
// one.
constexpr double firstServingShare = 0.75;
constexpr double otherServingShare = 3;
constexpr double newlyBlockedShare = 0.5;

/// Of each other image in the idle room: few images on a worker tell more about each other.
constexpr double otherImageCost = 4000;

/// Of a pressure of 1, in thousandths of a core of idle room. By idle room alone, work went to
/// any worker whose serving tasks could just take it.
constexpr double pressureCost = 20000;

bool hasLabel(const worker_info &info, const std::string &label)
{
    return std::find(info.labels.begin(), info.labels.end(), label) != info.labels.end();
}

// While there may be a later owner, its epoch keeps our orders out, but a worker that has restarted
// since has forgotten that epoch.
bool mayHaveForgottenEpoch(const scheduler_state &state, const worker_record &worker)
{
    return state.now >= state.soleUntil
        && (worker.currentSince >= state.soleUntil
            || state.now - worker.lastReportAt >= sameIncarnationLimit);
}

bool isOpen(const scheduler_state &state, const worker_record &worker)
{
    return worker.isListed && worker.isRecorded && !worker.isRecordedLeaving && worker.isCurrent
        && !worker.info.isDraining && worker.failedPolls == 0 && !worker.hasStrayRuns
        && worker.avoidedUntil <= state.now && worker.lease.isClockKnown()
        && !mayHaveForgottenEpoch(state, worker);
}

bool isAllowed(const worker_request &request, const worker_record &worker)
{
    const step_spec &step = *request.step;
    if (worker.info.service != request.service)
        return false;
    if (!step.requiredLabel.empty() && !hasLabel(worker.info, step.requiredLabel))
        return false;
    if (step.maxPerWorker > 0 && request.tasksOfStep != nullptr) {
        const auto found = request.tasksOfStep->find(worker.info.id);
        if (found != request.tasksOfStep->end() && found->second >= step.maxPerWorker)
            return false;
    }
    return true;
}

bool hasRoom(const step_spec &step, const worker_record &worker)
{
    resources needed = step.size;
    if (!step.fillsIdleRoom)
        return fitsInto(needed, worker.room());
    needed.milliCores = 0;
    if (!fitsInto(needed, worker.room()))
        return false;
    for (const auto &[image, serving] : worker.serving) {
        if (serving.latencyRatio > maxRatioForFill)
            return false;
    }
    return double(idleMilliCores(worker)) >= double(step.size.milliCores) * minIdleShare;
}

std::size_t otherImages(const step_spec &step, const worker_record &worker)
{
    return worker.filling.size() - worker.filling.count(step.image);
}

// Returns true if a task of the step beside \p serving would use more than these tasks can take.
bool isBlocked(const interference_model &model, const std::string &filling,
               const std::string &serving)
{
    return model.coefficient(filling, serving) > blockingCoefficient;
}

// Returns how many images of work in idle room, of those seen lately, could not run on the worker
// any more beside tasks of \p serving.
int newlyBlocked(const scheduler_state &state, const worker_record &worker,
                 const std::string &serving)
{
    int blocked = 0;
    for (const std::string &image : state.interference.fillingImages()) {
        const bool wasBlocked
            = std::any_of(worker.serving.begin(), worker.serving.end(), [&](const auto &entry) {
                  return isBlocked(state.interference, image, entry.first);
              });
        blocked += !wasBlocked && isBlocked(state.interference, image, serving) ? 1 : 0;
    }
    return blocked;
}

// What the work in idle room loses on the worker if a serving task of \p image joins it, in
// thousandths of a core.
double servingCost(const scheduler_state &state, const worker_record &worker,
                   const std::string &image)
{
    if (worker.serving.count(image) != 0)
        return 0;
    const double share = (worker.serving.empty() ? firstServingShare : otherServingShare)
        + newlyBlockedShare * newlyBlocked(state, worker, image);
    return double(worker.info.capacity.milliCores) * share;
}

// Lower is better. The part that is cheap to compute, and never more than the whole cost.
double leastCost(const worker_request &request, const worker_record &worker)
{
    const step_spec &step = *request.step;
    double cost = 0;
    if (!request.preferredRack.empty() && worker.info.rack != request.preferredRack)
        cost += 1e9;
    if (step.fillsIdleRoom)
        return cost - double(idleMilliCores(worker))
            + double(otherImages(step, worker)) * otherImageCost;
    return cost + double(worker.room().milliCores - step.size.milliCores);
}

} // namespace

std::int64_t idleMilliCores(const worker_record &worker)
{
    const std::int64_t unusedByServing
        = std::int64_t(double(worker.servingMilliCores) * (1 - servingUse));
    return worker.room().milliCores + unusedByServing - worker.fillingMilliCores;
}

worker_record *chooseWorker(scheduler_state &state, const worker_request &request)
{
    const step_spec &step = *request.step;
    std::vector<double> coefficients;
    if (step.fillsIdleRoom)
        coefficients = state.interference.coefficientsOf(step.image);
    worker_record *best = nullptr;
    double bestCost = std::numeric_limits<double>::infinity();
    for (auto &[id, worker] : state.workers) {
        if (!isOpen(state, worker) || !hasRoom(step, worker) || !isAllowed(request, worker))
            continue;
        double cost = leastCost(request, worker);
        if (cost >= bestCost)
            continue;
        if (step.fillsIdleRoom) {
            const double pressure = fillPressure(worker, coefficients, step.size.milliCores);
            if (pressure > request.maxPressure)
                continue;
            cost += pressure * pressureCost;
            if (cost >= bestCost)
                continue;
        } else if (step.latencyTargetMs > 0) {
            cost += servingCost(state, worker, step.image);
            if (cost >= bestCost)
                continue;
        }
        bestCost = cost;
        best = &worker;
    }
    return best;
}

} // namespace crocuswind::scheduler
