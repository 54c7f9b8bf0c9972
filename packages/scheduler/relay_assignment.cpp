#include "relay_assignment.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace crocuswind::scheduler {

namespace {

/// Workers that an owner, or a relay, serves itself, for each of its cores.
constexpr std::int64_t workersPerCore = 500;
constexpr std::int64_t milliCoresPerCore = 1000;

/// Hosts with at least this much are preferred: the smallest ones have little to spare beside
/// their own callers.
constexpr std::int64_t largeRelayMilliCores = 200;

/// A worker changes from one available relay to another, or back to a former one, only after this
/// time. It exceeds the time within which the platform takes two alternating senders for a
/// conflict.
constexpr duration minRouteAge = 4s;

/// A worker moves to a relay of the same class only if the load of its present one is higher by
/// this factor.
constexpr double minLoadRatio = 2;

/// Relays that an owner compares in a second, for workers that have one.
constexpr std::int64_t comparisonsPerSecond = 100000;

/// Number of routes that an epoch may use for a worker.
constexpr std::int64_t generationsPerEpoch = 1 << 20;

} // namespace

std::int64_t commandToken(std::int64_t epoch, const command_route &route)
{
    CROCUSWIND_INVARIANT(route.generation < generationsPerEpoch, "too many routes in one epoch");
    return epoch * generationsPerEpoch + route.generation;
}

relay_assignment::relay_assignment(std::int64_t ownerMilliCores)
    : m_ownerMilliCores(ownerMilliCores)
{ }

void relay_assignment::onOffer(const host_id &host, const relay_offer &offer)
{
    if (!offer.isAvailable || offer.milliCores <= 0) {
        onLost(host);
        return;
    }
    m_relays[host].offer = offer;
}

void relay_assignment::onLost(const host_id &host)
{
    m_relays.erase(host);
}

void relay_assignment::addWorker(const worker_id &worker, const data_centre_id &dataCentre)
{
    worker_route &known = m_workers[worker];
    known.dataCentre = dataCentre;
    m_listedWorkers += std::exchange(known.isListed, true) ? 0 : 1;
}

void relay_assignment::removeWorker(const worker_id &worker)
{
    const auto found = m_workers.find(worker);
    if (found != m_workers.end() && std::exchange(found->second.isListed, false))
        --m_listedWorkers;
}

void relay_assignment::clearWorkers()
{
    m_workers.clear();
    m_listedWorkers = 0;
    for (auto &[host, relay] : m_relays)
        relay.workers = 0;
}

void relay_assignment::renewRoute(const worker_id &worker)
{
    ++m_workers[worker].route.generation;
}

bool relay_assignment::needsRelays() const
{
    return m_listedWorkers * milliCoresPerCore > m_ownerMilliCores * workersPerCore;
}

command_route relay_assignment::currentRoute(const worker_id &worker) const
{
    const auto found = m_workers.find(worker);
    return found == m_workers.end() ? command_route() : found->second.route;
}

command_route relay_assignment::routeFor(const worker_id &worker, bool isIdle, instant now)
{
    worker_route &known = m_workers[worker];
    const bool isDirect = known.route.relay.empty();
    const bool isLost = !isDirect && m_relays.count(known.route.relay) == 0;
    const bool shouldMove = isDirect ? needsRelays() : isWorthMoving(known, now);
    if (!isLost && !(isIdle && shouldMove))
        return known.route;
    const host_id *const best = bestRelay(known, now);
    const host_id next = best == nullptr ? host_id() : *best;
    if (next != known.route.relay)
        assign(known, next, now);
    return known.route;
}

relay_assignment::relay_cost relay_assignment::costOf(const worker_route &worker,
                                                      const host_id &host, const relay &candidate,
                                                      instant now) const
{
    const bool isPresent = host == worker.route.relay;
    relay_cost cost;
    cost.isRecentlyLeft = now - worker.changedAt < minRouteAge && host == worker.formerRelay;
    cost.isFull = !isPresent
        && candidate.workers * milliCoresPerCore >= candidate.offer.milliCores * workersPerCore;
    cost.isSmall = candidate.offer.milliCores < largeRelayMilliCores;
    cost.isRemote = candidate.offer.dataCentre != worker.dataCentre;
    cost.load
        = double(candidate.workers + (isPresent ? 0 : 1)) / double(candidate.offer.milliCores);
    return cost;
}

const host_id *relay_assignment::bestRelay(const worker_route &worker, instant now) const
{
    const auto key = [](const relay_cost &c) {
        return std::tuple(c.isRecentlyLeft, c.isFull, c.isSmall, c.isRemote, c.load);
    };
    const host_id *best = nullptr;
    relay_cost lowest;
    for (const auto &[host, candidate] : m_relays) {
        const relay_cost cost = costOf(worker, host, candidate, now);
        if (best != nullptr && !(key(cost) < key(lowest)))
            continue;
        best = &host;
        lowest = cost;
    }
    return best;
}

// Returns how often a worker's relay is compared with all others.
duration relay_assignment::reviewInterval() const
{
    const auto comparisons = std::int64_t(m_workers.size() * m_relays.size());
    return std::max(minRouteAge, duration(1s) * comparisons / comparisonsPerSecond);
}

// Returns true if another relay serves the worker much better than its present one. Relays offer
// themselves one after the other, so the first ones get more workers than their share.
bool relay_assignment::isWorthMoving(worker_route &worker, instant now) const
{
    if (now - worker.changedAt < minRouteAge || now - worker.reviewedAt < reviewInterval())
        return false;
    worker.reviewedAt = now;
    const auto present = m_relays.find(worker.route.relay);
    const host_id *const best = bestRelay(worker, now);
    if (present == m_relays.end() || best == nullptr || *best == worker.route.relay)
        return false;
    const relay_cost before = costOf(worker, present->first, present->second, now);
    const relay_cost after = costOf(worker, *best, m_relays.at(*best), now);
    const bool isSameClass = before.isSmall == after.isSmall && before.isRemote == after.isRemote;
    return !isSameClass || after.load * minLoadRatio < before.load;
}

void relay_assignment::assign(worker_route &worker, const host_id &relay, instant now)
{
    if (const auto former = m_relays.find(worker.route.relay); former != m_relays.end())
        --former->second.workers;
    if (const auto next = m_relays.find(relay); next != m_relays.end())
        ++next->second.workers;
    worker.formerRelay = worker.route.relay;
    worker.route = {relay, worker.route.generation + 1};
    worker.changedAt = now;
}

} // namespace crocuswind::scheduler
