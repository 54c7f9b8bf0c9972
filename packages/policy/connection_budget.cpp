#include "connection_budget.h"

#include <algorithm>
#include <numeric>

namespace crocuswind {

namespace {

/// Parts of the process's memory that callers' connections may hold: what they hold together, and
/// what all of them may read ahead in one round of the loop before heavy ones are closed.
constexpr std::size_t callerMemoryDivisor = 4;
constexpr std::size_t readAheadMemoryDivisor = 4;
constexpr std::size_t readinessMemoryDivisor = 32;

/// Descriptors that callers' connections may use, in percent; the others are for connections to
/// workers, the store and other hosts.
constexpr std::size_t callerSocketPercent = 60;
constexpr std::size_t maxCallerConnections = 3000;

constexpr std::size_t readinessSocketPercent = 5;
constexpr std::size_t minReadinessConnections = 16;
constexpr std::size_t maxReadinessConnections = 128;

/// Callers may be far away; the balancer and operators are near.
constexpr duration callerMinimumStay = 1s;
constexpr duration readinessMinimumStay = 100ms;

/// Space for one read of the socket beyond a whole header.
constexpr std::size_t readMarginBytes = 4096;

/// A server admits at least this many large requests at a time.
constexpr std::size_t minLargeRequests = 4;

/// The part of the connections that makes way at a time when no further one can be accepted.
constexpr std::size_t makeWayDivisor = 4;

bool hasStayed(const connection_load &load, instant now)
{
    return load.mayMakeWayFrom <= now;
}

// Returns what a waiting connection lacks to receive its large request, or 0 if none waits.
std::size_t wantedBytes(const connection_limits &limits, const std::vector<connection_load> &loads)
{
    std::size_t heaviestWaiting = 0;
    for (const connection_load &load : loads) {
        if (load.isWaitingForRoom)
            heaviestWaiting = std::max(heaviestWaiting, load.heldBytes);
    }
    if (heaviestWaiting == 0)
        return 0;
    return std::max(limits.largeRequestBytes, heaviestWaiting) - heaviestWaiting;
}

void chooseHeaviest(const connection_limits &limits, std::vector<connection_load> &loads,
                    instant now, connections_to_close &chosen)
{
    std::size_t held = std::accumulate(
        loads.begin(), loads.end(), std::size_t(0),
        [](std::size_t sum, const connection_load &load) { return sum + load.heldBytes; });
    const std::size_t wanted = wantedBytes(limits, loads);
    if (held + wanted <= limits.maxHeldBytes)
        return;
    std::sort(loads.begin(), loads.end(), [now](const auto &a, const auto &b) {
        return std::tuple(a.isServing, !hasStayed(a, now), b.heldBytes, a.connection)
            < std::tuple(b.isServing, !hasStayed(b, now), a.heldBytes, b.connection);
    });
    for (const connection_load &load : loads) {
        const bool isOverBudget = held > limits.maxHeldBytes;
        const bool makesRoom = held + wanted > limits.maxHeldBytes && !load.isServing
            && !load.isWaitingForRoom && hasStayed(load, now);
        if (load.heldBytes == 0 || !(isOverBudget || makesRoom))
            continue;
        chosen.heaviest.push_back(load.connection);
        held -= load.heldBytes;
    }
}

bool isChosen(const std::vector<std::uint64_t> &chosen, const connection_load &load)
{
    return std::find(chosen.begin(), chosen.end(), load.connection) != chosen.end();
}

void chooseLongestIdle(const connection_limits &limits, const std::vector<connection_load> &loads,
                       instant now, connections_to_close &chosen)
{
    if (loads.size() - chosen.heaviest.size() < limits.maxConnections)
        return;
    std::vector<const connection_load *> idle;
    for (const connection_load &load : loads) {
        if (!load.isServing && hasStayed(load, now) && !isChosen(chosen.heaviest, load))
            idle.push_back(&load);
    }
    const std::size_t count
        = std::min(idle.size(), std::max<std::size_t>(1, limits.maxConnections / makeWayDivisor));
    std::partial_sort(idle.begin(), idle.begin() + std::ptrdiff_t(count), idle.end(),
                      [](const auto *a, const auto *b) {
                          return std::tie(a->mayMakeWayFrom, a->connection)
                              < std::tie(b->mayMakeWayFrom, b->connection);
                      });
    for (std::size_t i = 0; i < count; ++i)
        chosen.longestIdle.push_back(idle[i]->connection);
}

} // namespace

connection_limits callerLimits(const process_room &room, std::size_t maxHeaderBytes,
                               std::size_t maxBodyBytes)
{
    connection_limits limits;
    limits.readAheadBytes = 0;
    limits.largeRequestBytes = 0;
    limits.maxHeldBytes = room.memoryBytes / callerMemoryDivisor;
    limits = admittingRequests(limits, maxHeaderBytes, maxBodyBytes);
    limits.maxConnections = std::max<std::size_t>(
        1,
        std::min({room.sockets * callerSocketPercent / 100, maxCallerConnections,
                  room.memoryBytes / readAheadMemoryDivisor / limits.readAheadBytes}));
    limits.minimumStay = callerMinimumStay;
    return limits;
}

connection_limits readinessLimits(const process_room &room, std::size_t maxHeaderBytes)
{
    connection_limits limits;
    limits.readAheadBytes = 0;
    limits.largeRequestBytes = 0;
    limits.maxHeldBytes = room.memoryBytes / readinessMemoryDivisor;
    limits = admittingRequests(limits, maxHeaderBytes, 0);
    limits.maxConnections = std::clamp(room.sockets * readinessSocketPercent / 100,
                                       minReadinessConnections, maxReadinessConnections);
    limits.minimumStay = readinessMinimumStay;
    return limits;
}

connection_limits admittingRequests(connection_limits limits, std::size_t maxHeaderBytes,
                                    std::size_t maxBodyBytes)
{
    limits.readAheadBytes = std::max(limits.readAheadBytes, maxHeaderBytes + readMarginBytes);
    limits.largeRequestBytes
        = std::max(limits.largeRequestBytes, limits.readAheadBytes + maxBodyBytes);
    limits.maxHeldBytes
        = std::max(limits.maxHeldBytes, minLargeRequests * limits.largeRequestBytes);
    return limits;
}

bool needsLargeRequest(const connection_limits &limits, const connection_load &load)
{
    return !load.isServing && !load.hasUnsentAnswer && load.unreadBytes >= limits.readAheadBytes;
}

bool mayReceiveLargeRequest(const connection_limits &limits, const connection_load &load,
                            std::size_t heldByAll)
{
    return heldByAll - load.heldBytes + limits.largeRequestBytes <= limits.maxHeldBytes;
}

connections_to_close chooseConnectionsToClose(const connection_limits &limits,
                                              std::vector<connection_load> loads, instant now)
{
    connections_to_close chosen;
    chooseHeaviest(limits, loads, now, chosen);
    chooseLongestIdle(limits, loads, now, chosen);
    return chosen;
}

} // namespace crocuswind
