#include "worker_choice.h"

#include "discovery_age.h"
#include "pace_control.h"
#include "worker_incarnation.h"

#include <algorithm>
#include <limits>

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

/// The chooser is built anew after a time, so that it follows what the interference model learns.
/// The cost of that grows with the fleet, and so does the time.
constexpr duration chooserLifetimePerWorker = 1ms;
constexpr duration maxChooserLifetime = 1s;

/// A heap with more candidates than this multiple of the number of workers consists mostly of stale
/// ones and is built anew.
constexpr std::size_t maxCandidatesPerWorker = 4;

constexpr double infiniteCost = std::numeric_limits<double>::infinity();

bool hasLabel(const worker_info &info, const std::string &label)
{
    return std::find(info.labels.begin(), info.labels.end(), label) != info.labels.end();
}

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

// Returns false if a later owner would find another incarnation in the store.
bool isIncarnationStored(const worker_record &worker)
{
    return worker.incarnationStartUnixMs == 0
        || worker.storedIncarnationStartUnixMs == worker.incarnationStartUnixMs;
}

bool hasRequiredLabel(const step_spec &step, const worker_record &worker)
{
    return step.requiredLabel.empty() || hasLabel(worker.info, step.requiredLabel);
}

// Returns true if the worker runs the maximum number of tasks of the step.
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

// Returns true if the worker has the resources that a task of the step reserves.
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

// Returns the part of the cost that is cheap to compute, which is a lower bound of the full cost. A
// lower cost is better.
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

// Returns the full cost, given its cheap part \p cost. It is infinite if serving tasks on the
// worker do not tolerate the task.
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

std::int64_t idleMilliCores(const worker_record &worker)
{
    const std::int64_t unusedByServing
        = std::int64_t(double(worker.servingMilliCores) * (1 - servingUtilisation));
    return worker.freeResources().milliCores + unusedByServing - worker.bestEffortMilliCores;
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

worker_chooser &refreshedChooser(scheduler_state &state)
{
    if (!state.chooser || state.chooser->isOutdated())
        state.chooser = std::make_shared<worker_chooser>(state);
    state.chooser->refresh();
    return *state.chooser;
}

worker_chooser::worker_chooser(scheduler_state &state)
    : m_state(state)
    , m_builtAt(state.now)
{
    for (auto &[id, worker] : state.workers) {
        m_pools[worker.info.service].workers.push_back(
            {&worker, freeCapacityOf(worker), mayStartNow(state, worker), 0});
        worker.isChangeNoted = false;
        if (worker.avoidedUntil > state.now)
            m_avoided.emplace(worker.avoidedUntil, &worker);
    }
    state.changedWorkers.clear();
}

bool worker_chooser::isOutdated() const
{
    const duration lifetime = std::min<duration>(
        maxChooserLifetime, chooserLifetimePerWorker * std::int64_t(m_state.workers.size()));
    return m_state.now - m_builtAt >= lifetime;
}

void worker_chooser::refresh()
{
    while (!m_avoided.empty() && m_avoided.begin()->first <= m_state.now) {
        m_state.noteWorkerChanged(*m_avoided.begin()->second);
        m_avoided.erase(m_avoided.begin());
    }
    for (worker_record *worker : m_state.changedWorkers) {
        worker->isChangeNoted = false;
        recordChange(*worker);
    }
    if (m_state.changedWorkers.empty())
        return;
    m_state.changedWorkers.clear();
    for (auto &[service, pool] : m_pools)
        pool.unplaceable.clear();
}

worker_record *worker_chooser::choose(const worker_request &request)
{
    const auto pool = m_pools.find(request.service);
    if (pool == m_pools.end())
        return nullptr;
    request_kind &kind = kindOf(pool->second, request);
    if (!kind.isBuilt && isUnplaceable(pool->second, keyOf(request)))
        return nullptr;
    updateHeap(pool->second, kind, request);
    if (kind.isUnplaceable)
        return nullptr;
    worker_record *best = takeBest(pool->second, kind, request);
    if (kind.heap.empty()) {
        kind.isUnplaceable = true;
        kind_key key = keyOf(request);
        key.image = kind.image;
        key.requiredLabel = kind.requiredLabel;
        key.preferredRack = {};
        pool->second.unplaceable.push_back(key);
    }
    return best;
}

void worker_chooser::noteStart(worker_record &worker)
{
    recordChange(worker);
}

// Records the present state of a worker. Candidates of its former state become stale.
void worker_chooser::recordChange(worker_record &worker)
{
    if (worker.avoidedUntil > m_state.now)
        m_avoided.emplace(worker.avoidedUntil, &worker);
    const auto found = m_pools.find(worker.info.service);
    if (found == m_pools.end())
        return;
    worker_pool &pool = found->second;
    const auto entry = std::lower_bound(pool.workers.begin(), pool.workers.end(), worker.info.id,
                                        [](const eligible_worker &eligible, const worker_id &id) {
                                            return eligible.record->info.id < id;
                                        });
    if (entry == pool.workers.end() || entry->record != &worker)
        return;
    entry->freeCapacity = freeCapacityOf(worker);
    entry->isEligible = mayStartNow(m_state, worker);
    ++entry->version;
    pool.changes.push_back(int(entry - pool.workers.begin()));
}

worker_chooser::kind_key worker_chooser::keyOf(const worker_request &request)
{
    const step_spec &step = *request.step;
    kind_key key;
    key.size = step.size;
    key.isBestEffort = step.isBestEffort;
    key.isServing = !step.isBestEffort && step.latencyTargetMs > 0;
    key.isYielding = request.isYielding;
    if (step.isBestEffort && !request.isYielding)
        key.maxPressure = request.maxPressure;
    if (key.isBestEffort || key.isServing)
        key.image = step.image;
    key.requiredLabel = step.requiredLabel;
    key.preferredRack = request.preferredRack.value;
    return key;
}

// Returns true if the key is at least as demanding as a kind that no worker can take. Best-effort
// kinds are comparable only if they have the same image: where serving tasks do not tolerate one
// image, they may tolerate another.
bool worker_chooser::isUnplaceable(const worker_pool &pool, const kind_key &key)
{
    return std::any_of(
        pool.unplaceable.begin(), pool.unplaceable.end(), [&](const kind_key &missed) {
            return missed.requiredLabel.empty() && missed.isBestEffort == key.isBestEffort
                && (!key.isBestEffort
                    || (missed.image == key.image && missed.isYielding == key.isYielding
                        && missed.maxPressure >= key.maxPressure))
                && fitsInto(missed.size, key.size);
        });
}

worker_chooser::request_kind &worker_chooser::kindOf(worker_pool &pool,
                                                     const worker_request &request)
{
    kind_key key = keyOf(request);
    const auto found = pool.kinds.find(key);
    if (found != pool.kinds.end())
        return *found->second;
    request_kind &kind = pool.kindStore.emplace_back();
    kind.image = key.image;
    kind.requiredLabel = key.requiredLabel;
    kind.preferredRack = key.preferredRack;
    key.image = kind.image;
    key.requiredLabel = kind.requiredLabel;
    key.preferredRack = kind.preferredRack;
    pool.kinds.emplace(key, &kind);
    return kind;
}

void worker_chooser::buildHeap(worker_pool &pool, request_kind &kind, const worker_request &request)
{
    kind.isBuilt = true;
    kind.changesSeen = pool.changes.size();
    kind.heap.clear();
    if (request.step->isBestEffort)
        kind.coefficients = m_state.interference.coefficientsOf(request.step->image);
    kind.heap.reserve(pool.workers.size());
    for (int worker = 0; worker < int(pool.workers.size()); ++worker)
        addCandidate(pool, kind, request, worker);
    std::make_heap(kind.heap.begin(), kind.heap.end(), costsMore);
}

// Appends the worker to the heap's storage if it can take the request. The caller must restore the
// heap property.
void worker_chooser::addCandidate(worker_pool &pool, request_kind &kind,
                                  const worker_request &request, int worker)
{
    ++m_state.counters.workersExamined;
    const eligible_worker &eligible = pool.workers[std::size_t(worker)];
    if (!eligible.isEligible)
        return;
    if (!hasCapacityFor(request, eligible.freeCapacity)
        || !hasRequiredLabel(*request.step, *eligible.record))
        return;
    kind.heap.push_back({lowerBoundCost(request, *eligible.record, eligible.freeCapacity), worker,
                         eligible.version, false});
}

// Adds new candidates for the workers that have changed since the last call. Their previous
// candidates remain in the heap, but are recognised as stale by their version.
void worker_chooser::applyChanges(worker_pool &pool, request_kind &kind,
                                  const worker_request &request)
{
    for (; kind.changesSeen < pool.changes.size(); ++kind.changesSeen) {
        const int worker = pool.changes[kind.changesSeen];
        const std::size_t size = kind.heap.size();
        addCandidate(pool, kind, request, worker);
        if (kind.heap.size() > size)
            std::push_heap(kind.heap.begin(), kind.heap.end(), costsMore);
        updateCoefficients(*pool.workers[std::size_t(worker)].record, kind, request);
    }
}

void worker_chooser::updateHeap(worker_pool &pool, request_kind &kind,
                                const worker_request &request)
{
    const std::size_t unseen = pool.changes.size() - kind.changesSeen;
    const bool isMostlyStale
        = kind.heap.size() + unseen > maxCandidatesPerWorker * pool.workers.size();
    if (!kind.isBuilt || isMostlyStale)
        buildHeap(pool, kind, request);
    else
        applyChanges(pool, kind, request);
    kind.isUnplaceable = kind.heap.empty();
}

// Updates the coefficients if a start has added a serving image to the model after they were read.
void worker_chooser::updateCoefficients(const worker_record &worker, request_kind &kind,
                                        const worker_request &request) const
{
    const bool isKnown = std::all_of(
        worker.budgets.begin(), worker.budgets.end(), [&](const interference_budget &budget) {
            return std::size_t(budget.serving) < kind.coefficients.size();
        });
    if (request.step->isBestEffort && !isKnown)
        kind.coefficients = m_state.interference.coefficientsOf(request.step->image);
}

// Returns the best worker, or null. The best candidate stays in the heap, and so do the candidates
// that only the task limit of this step excludes.
worker_record *worker_chooser::takeBest(worker_pool &pool, request_kind &kind,
                                        const worker_request &request)
{
    std::vector<candidate> &heap = kind.heap;
    std::vector<candidate> atTaskLimit;
    worker_record *best = nullptr;
    while (!heap.empty() && best == nullptr) {
        candidate first = heap.front();
        const eligible_worker &eligible = pool.workers[std::size_t(first.worker)];
        // A worker may have become ineligible since the refresh, and is offered again after its
        // next change.
        const bool isUpToDate
            = first.version == eligible.version && mayStartNow(m_state, *eligible.record);
        const bool isFull = isUpToDate && isAtTaskLimit(request, *eligible.record);
        if (isUpToDate && first.isExact && !isFull) {
            best = eligible.record;
            continue;
        }
        std::pop_heap(heap.begin(), heap.end(), costsMore);
        heap.pop_back();
        if (isFull)
            atTaskLimit.push_back(first);
        if (!isUpToDate || isFull)
            continue;
        ++m_state.counters.workersExamined;
        first.cost = fullCost(m_state, request, *eligible.record, first.cost, kind.coefficients);
        first.isExact = true;
        if (first.cost == infiniteCost)
            continue;
        heap.push_back(first);
        std::push_heap(heap.begin(), heap.end(), costsMore);
    }
    for (const candidate &c : atTaskLimit) {
        heap.push_back(c);
        std::push_heap(heap.begin(), heap.end(), costsMore);
    }
    return best;
}

} // namespace crocuswind::scheduler
