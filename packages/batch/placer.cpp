#include "placer.h"

#include "placement.h"

#include <algorithm>

namespace crocuswind {

namespace {

/// A pass is bounded, so that a flood or a lost rack neither holds up the loop nor fills one
/// commit.
constexpr std::size_t maxPlacedInPass = 256;
constexpr std::size_t maxOffersInPass = 1024;
/// A team below its share waits this long before others must give back what they borrow. Most room
/// comes from tasks that end by themselves.
constexpr duration patienceBeforeGivingBack = 30s;
/// A task that has waited this long for room has a worker kept for it.
constexpr duration patienceBeforeReserving = 120s;
/// If that worker has not become free by itself after this time, continuous tasks are moved off it.
constexpr duration patienceBeforeMoving = 60s;
/// Latency-critical tasks for which room is made at once; each evicts at least one task.
constexpr std::size_t maxRoomAtOnce = 8;
/// While something waits, the rights to room are reviewed this often.
constexpr duration reviewInterval = 1s;

/// What is lost when a task is removed: never services; continuous tasks before finite ones, less
/// urgent before urgent ones, recent starts before old ones.
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
            = task.state == task_state::claimed ? state.book.find(task.worker) : nullptr;
        if (slot != nullptr)
            ++count[slot->rack];
    }
    return count;
}

} // namespace

bool placer::isWanted(const shard_state &state) const
{
    if (state.queue.size() == 0 || state.isDraining)
        return false;
    return m_isUnfinished || m_roomRevision != state.book.roomRevision()
        || m_queueRevision != state.queueRevision || state.now >= m_nextReview;
}

std::optional<worker_id> placer::takeProbe(const shard_state &state, const queued_task &task,
                                           const task_runtime &runtime)
{
    if (task.isLatencyCritical)
        return std::nullopt;
    for (auto at = m_probes.begin(); at != m_probes.end(); ++at) {
        const worker_slot *slot = state.book.find(*at);
        if (!fitsInto(task.size, slot->free()) || runtime.failedOn.count(*at) != 0)
            continue;
        const worker_id worker = *at;
        m_probes.erase(at);
        return worker;
    }
    return std::nullopt;
}

offer_result placer::offer(shard_state &state, const queued_task &task)
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
        // Nothing weighs more than not to start a task on a worker that fails what it starts.
        constexpr double asidePenalty = 1e12;
        return (session.health.isAside() ? asidePenalty : 0)
            + state.policy->penalty(slot.worker, session.load, task.isLatencyCritical,
                                    pressure * double(task.size.milliCores)
                                        / double(slot.capacity.milliCores));
    };
    auto worker = takeProbe(state, task, runtime);
    if (!worker)
        worker = chooseWorker(state.book, request);
    if (worker && state.claim(job, task.task.replica, *worker)) {
        if (m_reservedFor == task.task) {
            m_reservedFor.reset();
            m_reservedWorker.reset();
        }
        return offer_result::placed;
    }
    const bool mayAdd
        = task.isLatencyCritical ? m_roomWanted.size() < maxRoomAtOnce : m_roomWanted.empty();
    if (mayAdd) {
        const double share
            = state.queue.weightedShare(task.task.job.team, state.book.totalCapacity());
        const bool mayAsk = task.isLatencyCritical
            || (share < state.queue.guaranteedShare()
                && state.now - task.waitingSince >= patienceBeforeGivingBack);
        if (mayAsk)
            m_roomWanted.push_back(task);
    }
    // A reservation or a worker to avoid is no reason why a task of the same size should not fit.
    const bool isSpecific = request.reserved != nullptr || request.avoid != nullptr;
    const bool collects = task.isLatencyCritical && m_roomWanted.size() < maxRoomAtOnce;
    return isSpecific || collects ? offer_result::skipped : offer_result::no_room;
}

bool placer::hasRemovalsUnderWay(const shard_state &state) const
{
    return std::any_of(m_removedForRoom.begin(), m_removedForRoom.end(), [&](const task_key &key) {
        const job_entry *job = state.jobs.find(key.job);
        return job != nullptr
            && job->runtime[std::size_t(key.replica)].removal != removal_step::none;
    });
}

void placer::makeRoom(shard_state &state)
{
    // The effect of one round is awaited before the next, or each review would evict more tasks.
    if (m_roomWanted.empty() || hasRemovalsUnderWay(state))
        return;
    m_removedForRoom.clear();
    std::map<std::pair<job_id, rack_id>, int> planned;
    for (const queued_task &task : m_roomWanted) {
        if (state.queue.contains(task.task))
            makeRoomFor(state, task, planned);
    }
}

void placer::makeRoomFor(shard_state &state, const queued_task &task,
                         std::map<std::pair<job_id, rack_id>, int> &planned)
{
    const job_id &id = task.task.job;
    const double guaranteed = state.queue.guaranteedShare();
    const resources &total = state.book.totalCapacity();
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
        // More than the removal of any one task, so that replicas keep to different racks.
        constexpr std::int64_t replicaCost = 1'000'000;
        const auto at = racks.find(slot.rack);
        const auto plan = planned.find({id, slot.rack});
        return replicaCost
            * ((at == racks.end() ? 0 : at->second) + (plan == planned.end() ? 0 : plan->second));
    };
    const auto victims = chooseVictims(state.book, task.size, cost, slotCost);
    if (!victims)
        return;
    ++planned[{id, state.book.find(victims->first)->rack}];
    for (const task_key &key : victims->second) {
        // A latency-critical task cannot wait for a checkpoint; the victim resumes from its last
        // one.
        state.remove(*state.jobs.find(key.job), key.replica, !task.isLatencyCritical,
                     "room for " + toString(id));
        m_removedForRoom.insert(key);
    }
}

void placer::reserve(shard_state &state)
{
    if (m_reservedFor && !state.queue.contains(*m_reservedFor)) {
        m_reservedFor.reset();
        m_reservedWorker.reset();
    }
    if (m_reservedWorker) {
        const worker_slot *slot = state.book.find(*m_reservedWorker);
        if (slot != nullptr && slot->isEligible)
            return;
        m_reservedFor.reset();
        m_reservedWorker.reset();
    }
    const queued_task *oldest = state.queue.oldest(false);
    if (oldest == nullptr || state.now - oldest->waitingSince < patienceBeforeReserving)
        return;
    // The worker with the least to wait for; a job that no worker can hold reserves nothing.
    // Continuous tasks can be moved away, finite ones end.
    using rank = std::pair<bool, std::int64_t>;
    std::optional<std::pair<rank, worker_id>> best;
    for (const auto &[worker, number] : state.book.workers()) {
        const worker_slot &slot = state.book.slot(number);
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

void placer::clearReserved(shard_state &state)
{
    if (!m_reservedWorker || state.now - m_reservedAt < patienceBeforeMoving
        || !state.queue.contains(*m_reservedFor) || hasRemovalsUnderWay(state))
        return;
    const auto cost = [&](const task_key &key) -> std::optional<std::int64_t> {
        const job_entry &job = *state.jobs.find(key.job);
        if (job.record.spec.kind != job_kind::continuous
            || state.book.workerOf(key) != m_reservedWorker)
            return std::nullopt;
        return removalCost(state, key);
    };
    const resources size = state.jobs.find(m_reservedFor->job)->record.spec.size;
    const auto victims
        = chooseVictims(state.book, size, cost, [](const worker_slot &) { return 0; });
    if (!victims)
        return;
    for (const task_key &key : victims->second) {
        state.remove(*state.jobs.find(key.job), key.replica, true,
                     "room for " + toString(m_reservedFor->job));
        m_removedForRoom.insert(key);
    }
}

void placer::place(shard_state &state)
{
    m_roomRevision = state.book.roomRevision();
    m_queueRevision = state.queueRevision;
    m_nextReview = state.now + reviewInterval;
    m_roomWanted.clear();
    m_probes.clear();
    for (const worker_id &worker : state.aside) {
        const worker_slot *slot = state.book.find(worker);
        if (slot != nullptr && slot->isEligible)
            m_probes.push_back(worker);
    }
    reserve(state);
    std::size_t offers = 0;
    const auto placed = state.queue.offer(state.book.totalCapacity(), maxPlacedInPass,
                                          maxOffersInPass, [&](const queued_task &task) {
                                              ++offers;
                                              return offer(state, task);
                                          });
    m_isUnfinished = placed.size() >= maxPlacedInPass || offers >= maxOffersInPass;
    makeRoom(state);
    clearReserved(state);
}

} // namespace crocuswind
