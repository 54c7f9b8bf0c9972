#include "placement_cost.h"

#include "pace_control.h"

#include <algorithm>

namespace crocuswind::scheduler {

namespace {

/// Typical share of their reserved processors that serving tasks use.
constexpr double servingUtilisation = 0.5;

/// A best-effort task starts only on a worker that has this share of the requested processors idle.
constexpr double minIdleShare = 1.0;

/// Above this coefficient, a single best-effort task of usual size exceeds what the serving tasks
/// tolerate.
constexpr double blockingCoefficient = 2.5;

// The cost of placing a serving image on a worker that does not have it, as shares of the worker's
// processors. A worker without serving tasks can run any best-effort image. Each best-effort image
// interferes with one or two of five serving images, so it can run beside a single serving image on
// most workers, but beside three on few. A second serving image on a worker therefore costs more
// than a whole worker, and the cost rises with each best-effort image that the new serving image
// newly excludes.
constexpr double firstServingShare = 0.75;
constexpr double otherServingShare = 3;
constexpr double newlyBlockedShare = 0.5;

/// The cost of each other best-effort image on the worker, in thousandths of a core. With fewer
/// images per worker, the interference of each is easier to learn.
constexpr double otherImageCost = 4000;

/// The cost of a pressure of 1, in thousandths of a core. With idle processors as the only cost,
/// tasks went to any worker whose serving tasks could just tolerate them.
constexpr double pressureCost = 20000;

/// The cost of a serving task near its latency target, in thousandths of a core. Only tasks whose
/// runs yield start beside one, and they pause until it is no longer near.
constexpr double nearTargetCost = 100000;

bool hasLabel(const worker_info &info, const std::string &label)
{
    return std::find(info.labels.begin(), info.labels.end(), label) != info.labels.end();
}

std::size_t otherImages(const step_spec &step, const worker_record &worker)
{
    return worker.bestEffort.size() - worker.bestEffort.count(step.image);
}

// Returns true if a task of the best-effort image \p bestEffort interferes with tasks of \p serving
// by more than they tolerate.
bool isBlocked(const interference_model &model, const std::string &bestEffort,
               const std::string &serving)
{
    return model.coefficient(bestEffort, serving) > blockingCoefficient;
}

// Returns how many of the observed best-effort images can run on the worker now, but not beside
// tasks of \p serving.
int countNewlyBlocked(const scheduler_state &state, const worker_record &worker,
                      const std::string &serving)
{
    int blocked = 0;
    for (const std::string &image : state.interference.bestEffortImages()) {
        const bool wasBlocked
            = std::any_of(worker.serving.begin(), worker.serving.end(), [&](const auto &entry) {
                  return isBlocked(state.interference, image, entry.first);
              });
        blocked += !wasBlocked && isBlocked(state.interference, image, serving) ? 1 : 0;
    }
    return blocked;
}

// Returns the loss of best-effort capacity on the worker, in thousandths of a core, if a serving
// task of \p image starts there.
double servingCost(const scheduler_state &state, const worker_record &worker,
                   const std::string &image)
{
    if (worker.serving.count(image) != 0)
        return 0;
    const double share = (worker.serving.empty() ? firstServingShare : otherServingShare)
        + newlyBlockedShare * countNewlyBlocked(state, worker, image);
    return double(worker.info.capacity.milliCores) * share;
}

} // namespace

std::int64_t idleMilliCores(const worker_record &worker)
{
    const std::int64_t unusedByServing
        = std::int64_t(double(worker.servingMilliCores) * (1 - servingUtilisation));
    return worker.freeResources().milliCores + unusedByServing - worker.bestEffortMilliCores;
}

bool hasRequiredLabel(const step_spec &step, const worker_record &worker)
{
    return step.requiredLabel.empty() || hasLabel(worker.info, step.requiredLabel);
}

bool isAtTaskLimit(const worker_request &request, const worker_record &worker)
{
    if (request.step->maxPerWorker == 0 || request.tasksOfStep == nullptr)
        return false;
    const auto found = request.tasksOfStep->find(worker.info.id);
    return found != request.tasksOfStep->end() && found->second >= request.step->maxPerWorker;
}

free_capacity freeCapacityOf(const worker_record &worker)
{
    const bool isNearTarget
        = std::any_of(worker.serving.begin(), worker.serving.end(), [](const auto &entry) {
              return entry.second.latencyRatio > maxRatioForBestEffort;
          });
    return {worker.freeResources(), idleMilliCores(worker), !isNearTarget};
}

bool hasRoomFor(const step_spec &step, const free_capacity &freeCapacity)
{
    return fitsInto(reservedBy(step), freeCapacity.unreserved);
}

bool hasIdleProcessorsFor(const step_spec &step, const free_capacity &freeCapacity)
{
    return double(freeCapacity.idleMilliCores) >= double(step.size.milliCores) * minIdleShare;
}

bool hasCapacityFor(const worker_request &request, const free_capacity &freeCapacity)
{
    const step_spec &step = *request.step;
    if (!hasRoomFor(step, freeCapacity))
        return false;
    return !step.isBestEffort || request.isYielding
        || (freeCapacity.acceptsBestEffort && hasIdleProcessorsFor(step, freeCapacity));
}

double lowerBoundCost(const worker_request &request, const worker_record &worker,
                      const free_capacity &freeCapacity)
{
    const step_spec &step = *request.step;
    double cost = 0;
    if (!request.preferredRack.empty() && worker.info.rack != request.preferredRack)
        cost += 1e9;
    if (step.isBestEffort)
        return cost - double(freeCapacity.idleMilliCores)
            + (freeCapacity.acceptsBestEffort ? 0 : nearTargetCost)
            + double(otherImages(step, worker)) * otherImageCost;
    return cost + double(freeCapacity.unreserved.milliCores - step.size.milliCores);
}

double fullCost(const scheduler_state &state, const worker_request &request,
                const worker_record &worker, double cost, const std::vector<double> &coefficients)
{
    const step_spec &step = *request.step;
    if (step.isBestEffort) {
        const double pressure = bestEffortPressure(worker, coefficients, step.size.milliCores);
        const bool isTolerated = request.isYielding || pressure <= request.maxPressure;
        return isTolerated ? cost + pressure * pressureCost : infiniteCost;
    }
    return step.latencyTargetMs > 0 ? cost + servingCost(state, worker, step.image) : cost;
}

} // namespace crocuswind::scheduler
