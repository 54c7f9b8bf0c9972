#include "placer.h"

#include "placement.h"

#include <algorithm>

namespace crocuswind {

namespace {

/// Limits of a pass, so that a burst of submissions or the loss of a rack neither blocks the event
/// loop nor fills a commit.
constexpr std::size_t maxPlacedInPass = 256;
constexpr std::size_t maxOffersInPass = 1024;
/// How long a task of a team below its share waits before tasks of borrowing teams are evicted.
/// Most capacity is freed by tasks that complete in the meantime.
constexpr duration reclaimDelay = 30s;
/// A task that has waited this long gets a worker reserved for it.
constexpr duration reservationDelay = 120s;
/// If the reserved worker has not become free after this time, continuous tasks are moved off it.
constexpr duration reservationEvictionDelay = 60s;
/// Number of latency-critical tasks per pass for which other tasks are evicted; each of them evicts
/// at least one task.
constexpr std::size_t maxConcurrentEvictions = 8;
/// Interval at which evictions are reconsidered while tasks are waiting.
constexpr duration reviewInterval = 1s;

/// Cost of removing a task. Services are never removed; continuous tasks are cheaper than finite
/// ones, less urgent tasks cheaper than urgent ones, and recently started tasks cheaper than old
/// ones.
std::optional<std::int64_t> removalCost(const shard_state &state, const task_key &key)
{
    const job_entry &job = *state.jobs.find(key.job);
    const task_runtime &runtime = job.runtime[std::size_t(key.replica)];
    if (job.record.spec.kind == job_kind::service || runtime.removal != removal_step::none)
        return std::nullopt;
    constexpr std::int64_t kindCost = 100'000;
    constexpr std::int64_t urgencyCost = 10'000;
    constexpr std::int64_t maxAge = 9'999;
    const std::int64_t age
        = std::chrono::duration_cast<std::chrono::seconds>(state.now - runtime.firstStartAt)
              .count();
    return (job.record.spec.kind == job_kind::finite ? kindCost : 0)
        + int(job.record.spec.urgency) * urgencyCost + std::clamp<std::int64_t>(age, 1, maxAge);
}

std::map<rack_id, int> replicasByRack(const shard_state &state, const job_entry &job)
{
    std::map<rack_id, int> count;
    for (const task_record &task : job.record.tasks) {
        const worker_slot *slot
            = task.state == task_state::claimed ? state.accounting.find(task.worker) : nullptr;
        if (slot != nullptr)
            ++count[slot->rack];
    }
    return count;
}

} // namespace

bool placer::shouldRun(const shard_state &state) const
{
    if (state.queue.size() == 0 || state.isDraining)
        return false;
    return m_isPassIncomplete || m_freeCapacityRevision != state.accounting.freeCapacityRevision()
        || m_queueRevision != state.queueRevision || state.now >= m_nextReview;
}

std::optional<worker_id> placer::takeProbeWorker(const shard_state &state, const queued_task &task,
                                                 const task_runtime &runtime)
{
    if (task.isLatencyCritical)
        return std::nullopt;
    for (auto at = m_probeWorkers.begin(); at != m_probeWorkers.end(); ++at) {
        const worker_slot *slot = state.accounting.find(*at);
        if (!fitsInto(task.size, slot->free()) || runtime.failedOn.count(*at) != 0)
            continue;
        const worker_id worker = *at;
        m_probeWorkers.erase(at);
        return worker;
    }
    return std::nullopt;
}

placement_result placer::offer(shard_state &state, const queued_task &task)
{
    job_entry &job = *state.jobs.find(task.task.job);
    const task_runtime &runtime = job.runtime[std::size_t(task.task.replica)];
    std::map<rack_id, int> racks;
    placement_request request;
    request.size = task.size;
    request.isLatencyCritical = task.isLatencyCritical;
    if (job.record.spec.replicas > 1) {
        racks = replicasByRack(state, job);
        request.replicasByRack = &racks;
    }
    if (!runtime.failedOn.empty())
        request.avoid = &runtime.failedOn;
    if (m_reservedWorker && m_reservedFor != task.task && !task.isLatencyCritical)
        request.reserved = &*m_reservedWorker;
    const double pressure = state.policy->pressureOf(job.workKind);
    request.penalty = [&](const worker_slot &slot) {
        const worker_session &session = state.sessions.at(slot.worker);
        // Outweighs any interference penalty: avoiding a worker that fails what it starts comes
        // first.
        constexpr double quarantinePenalty = 1e12;
        return (session.health.isQuarantined() ? quarantinePenalty : 0)
            + state.policy->penalty(slot.worker, session.load, task.isLatencyCritical,
                                    pressure * double(task.size.milliCores)
                                        / double(slot.capacity.milliCores));
    };
    auto worker = takeProbeWorker(state, task, runtime);
    if (!worker)
        worker = chooseWorker(state.accounting, request);
    if (worker && state.claim(job, task.task.replica, *worker)) {
        if (m_reservedFor == task.task) {
            m_reservedFor.reset();
            m_reservedWorker.reset();
        }
        return placement_result::placed;
    }
    const bool mayRequestMore = task.isLatencyCritical
        ? m_evictionRequesters.size() < maxConcurrentEvictions
        : m_evictionRequesters.empty();
    if (mayRequestMore) {
        const double share
            = state.queue.weightedShare(task.task.job.team, state.accounting.totalCapacity());
        const bool mayEvict = task.isLatencyCritical
            || (share < state.queue.guaranteedShare()
                && state.now - task.waitingSince >= reclaimDelay);
        if (mayEvict)
            m_evictionRequesters.push_back(task);
    }
    // A task that was constrained by a reservation or by avoided workers says nothing about other
    // tasks of the same size.
    const bool isSpecific = request.reserved != nullptr || request.avoid != nullptr;
    const bool isCollecting
        = task.isLatencyCritical && m_evictionRequesters.size() < maxConcurrentEvictions;
    return isSpecific || isCollecting ? placement_result::skipped : placement_result::no_capacity;
}

bool placer::hasPendingEvictions(const shard_state &state) const
{
    return std::any_of(m_evictedTasks.begin(), m_evictedTasks.end(), [&](const task_key &key) {
        const job_entry *job = state.jobs.find(key.job);
        return job != nullptr
            && job->runtime[std::size_t(key.replica)].removal != removal_step::none;
    });
}

void placer::evictForWaitingTasks(shard_state &state)
{
    // Waits until the evictions of the previous round are complete; otherwise each review would
    // evict more tasks than needed.
    if (m_evictionRequesters.empty() || hasPendingEvictions(state))
        return;
    m_evictedTasks.clear();
    std::map<std::pair<job_id, rack_id>, int> planned;
    for (const queued_task &task : m_evictionRequesters) {
        if (state.queue.contains(task.task))
            evictForTask(state, task, planned);
    }
}

void placer::evictForTask(shard_state &state, const queued_task &task,
                          std::map<std::pair<job_id, rack_id>, int> &planned)
{
    const job_id &id = task.task.job;
    const double guaranteed = state.queue.guaranteedShare();
    const resources &total = state.accounting.totalCapacity();
    const auto cost = [&](const task_key &key) -> std::optional<std::int64_t> {
        if (!task.isLatencyCritical) {
            const bool borrows = key.job.team != id.team
                && state.queue.weightedShare(key.job.team, total) > guaranteed;
            if (!borrows)
                return std::nullopt;
        }
        return removalCost(state, key);
    };
    const auto racks = replicasByRack(state, *state.jobs.find(id));
    const auto slotCost = [&](const worker_slot &slot) -> std::int64_t {
        // Higher than the cost of removing any single task, so that replicas stay in different
        // racks.
        constexpr std::int64_t replicaCost = 1'000'000;
        const auto at = racks.find(slot.rack);
        const auto plan = planned.find({id, slot.rack});
        return replicaCost
            * ((at == racks.end() ? 0 : at->second) + (plan == planned.end() ? 0 : plan->second));
    };
    const auto victims = chooseVictims(state.accounting, task.size, cost, slotCost);
    if (!victims)
        return;
    ++planned[{id, state.accounting.find(victims->first)->rack}];
    for (const task_key &key : victims->second) {
        // A latency-critical task cannot wait for a checkpoint; the evicted task resumes from its
        // last one.
        state.remove(*state.jobs.find(key.job), key.replica, !task.isLatencyCritical,
                     "room for " + toString(id));
        m_evictedTasks.insert(key);
    }
}

void placer::reserve(shard_state &state)
{
    if (m_reservedFor && !state.queue.contains(*m_reservedFor)) {
        m_reservedFor.reset();
        m_reservedWorker.reset();
    }
    if (m_reservedWorker) {
        const worker_slot *slot = state.accounting.find(*m_reservedWorker);
        if (slot != nullptr && slot->isEligible)
            return;
        m_reservedFor.reset();
        m_reservedWorker.reset();
    }
    const queued_task *oldest = state.queue.oldest(false);
    if (oldest == nullptr || state.now - oldest->waitingSince < reservationDelay)
        return;
    // Selects the worker that can become free soonest: preferably one that is large enough once its
    // continuous tasks are moved away, then the one with the most free cores. A task that no worker
    // can hold reserves nothing.
    using rank = std::pair<bool, std::int64_t>;
    std::optional<std::pair<rank, worker_id>> best;
    for (const auto &[worker, number] : state.accounting.workers()) {
        const worker_slot &slot = state.accounting.slot(number);
        if (!slot.isEligible || !fitsInto(oldest->size, slot.capacity))
            continue;
        resources movable = slot.free();
        for (const auto &[key, size] : slot.tasks) {
            if (state.jobs.find(key.job)->record.spec.kind == job_kind::continuous)
                movable = movable + size;
        }
        const rank r{fitsInto(oldest->size, movable), slot.free().milliCores};
        if (!best || r > best->first)
            best.emplace(r, worker);
    }
    if (!best)
        return;
    m_reservedFor = oldest->task;
    m_reservedWorker = best->second;
    m_reservedAt = state.now;
}

void placer::evictForReservation(shard_state &state)
{
    if (!m_reservedWorker || state.now - m_reservedAt < reservationEvictionDelay
        || !state.queue.contains(*m_reservedFor) || hasPendingEvictions(state))
        return;
    const auto cost = [&](const task_key &key) -> std::optional<std::int64_t> {
        const job_entry &job = *state.jobs.find(key.job);
        if (job.record.spec.kind != job_kind::continuous
            || state.accounting.workerOf(key) != m_reservedWorker)
            return std::nullopt;
        return removalCost(state, key);
    };
    const resources size = state.jobs.find(m_reservedFor->job)->record.spec.size;
    const auto victims
        = chooseVictims(state.accounting, size, cost, [](const worker_slot &) { return 0; });
    if (!victims)
        return;
    for (const task_key &key : victims->second) {
        state.remove(*state.jobs.find(key.job), key.replica, true,
                     "room for " + toString(m_reservedFor->job));
        m_evictedTasks.insert(key);
    }
}

void placer::place(shard_state &state)
{
    m_freeCapacityRevision = state.accounting.freeCapacityRevision();
    m_queueRevision = state.queueRevision;
    m_nextReview = state.now + reviewInterval;
    m_evictionRequesters.clear();
    m_probeWorkers.clear();
    for (const worker_id &worker : state.quarantined) {
        const worker_slot *slot = state.accounting.find(worker);
        if (slot != nullptr && slot->isEligible)
            m_probeWorkers.push_back(worker);
    }
    reserve(state);
    std::size_t offers = 0;
    const auto placed = state.queue.offer(state.accounting.totalCapacity(), maxPlacedInPass,
                                          maxOffersInPass, [&](const queued_task &task) {
                                              ++offers;
                                              return offer(state, task);
                                          });
    m_isPassIncomplete = placed.size() >= maxPlacedInPass || offers >= maxOffersInPass;
    evictForWaitingTasks(state);
    evictForReservation(state);
}

} // namespace crocuswind
