#include "worker_chooser.h"

#include "placement_cost.h"

#include <algorithm>

namespace crocuswind::scheduler {

namespace {

/// The chooser is built anew after a time, so that it follows what the interference model learns.
/// The cost of that grows with the fleet, and so does the time.
constexpr duration chooserLifetimePerWorker = 1ms;
constexpr duration maxChooserLifetime = 1s;

/// A heap with more candidates than this multiple of the number of workers consists mostly of stale
/// ones and is built anew.
constexpr std::size_t maxCandidatesPerWorker = 4;

} // namespace

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
