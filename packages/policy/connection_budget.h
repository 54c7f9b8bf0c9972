/// Decides how much the connections of a server may hold in memory, and which of them are closed.
/// Answers the load of clients that send requests ahead without reading the answers, that begin
/// large requests and never end them, or that open more connections than the process has
/// descriptors.
#ifndef CROCUSWIND_POLICY_CONNECTION_BUDGET_H
#define CROCUSWIND_POLICY_CONNECTION_BUDGET_H

#include "base/base.h"

#include <cstddef>
#include <cstdint>
#include <tuple>
#include <vector>

namespace crocuswind {

/// The memory and descriptors of a process.
struct process_room
{
    std::size_t memoryBytes = 1024 * 1024 * 1024;
    std::size_t sockets = 4096;

    friend bool operator==(const process_room &a, const process_room &b)
    {
        return std::tie(a.memoryBytes, a.sockets) == std::tie(b.memoryBytes, b.sockets);
    }
    friend bool operator!=(const process_room &a, const process_room &b) { return !(a == b); }
};

/// What the connections of one server may hold. Bytes held are those of requests that are arriving
/// or being processed, of requests sent ahead, and of answers not yet sent.
struct connection_limits
{
    std::size_t maxConnections = 1024;
    /// Unread bytes of a connection above which the server stops reading there, unless they are the
    /// beginning of one larger request.
    std::size_t readAheadBytes = 20 * 1024;
    /// The same for a connection whose next request is larger than `readAheadBytes`.
    std::size_t largeRequestBytes = 1024 * 1024 + 20 * 1024;
    std::size_t maxHeldBytes = 64 * 1024 * 1024; ///< For all connections together.
    /// A connection does not make way for others within this time after it was accepted or after
    /// its last answer, unless all together hold too much.
    duration minimumStay = 1s;

    friend bool operator==(const connection_limits &a, const connection_limits &b)
    {
        const auto tied = [](const connection_limits &l) {
            return std::tie(l.maxConnections, l.readAheadBytes, l.largeRequestBytes, l.maxHeldBytes,
                            l.minimumStay);
        };
        return tied(a) == tied(b);
    }
    friend bool operator!=(const connection_limits &a, const connection_limits &b)
    {
        return !(a == b);
    }
};

/// Returns the limits of the server for callers. \p maxHeaderBytes and \p maxBodyBytes bound a
/// request.
connection_limits callerLimits(const process_room &room, std::size_t maxHeaderBytes,
                               std::size_t maxBodyBytes);

/// Returns the limits of the server for readiness and metrics, which takes requests without a body
/// from the balancer and from a few operators.
connection_limits readinessLimits(const process_room &room, std::size_t maxHeaderBytes);

/// Raises limits as far as requests of \p maxHeaderBytes and \p maxBodyBytes demand.
connection_limits admittingRequests(connection_limits limits, std::size_t maxHeaderBytes,
                                    std::size_t maxBodyBytes);

/// What the decisions need to know of a connection.
struct connection_load
{
    std::uint64_t connection = 0;
    std::size_t unreadBytes = 0; ///< Bytes read from the socket and not yet parsed.
    std::size_t heldBytes = 0; ///< All bytes held, unread ones included.
    bool isServing = false; ///< A request is being processed.
    bool hasUnsentAnswer = false;
    bool isWaitingForRoom = false; ///< To receive a large request.
    instant mayMakeWayFrom; ///< End of its minimum stay.
};

/// Returns whether the next request of a connection is larger than what a connection may send
/// ahead, so that it cannot be completed under `readAheadBytes`.
bool needsLargeRequest(const connection_limits &limits, const connection_load &load);

/// Returns whether a connection that needs it may send a large request, while all connections hold
/// \p heldByAll bytes, its own included. A connection that is allowed to counts as holding
/// `largeRequestBytes` until the request has arrived.
bool mayReceiveLargeRequest(const connection_limits &limits, const connection_load &load,
                            std::size_t heldByAll);

/// The connections to close, by reason.
struct connections_to_close
{
    std::vector<std::uint64_t> heaviest; ///< To free memory; the heaviest first.
    std::vector<std::uint64_t> longestIdle; ///< To free connections; the longest idle first.
};

/// Chooses the connections that are closed. If all together hold more than `maxHeldBytes`, the
/// heaviest go: those after their minimum stay first, those whose request is being processed last.
/// If a connection waits for room, the heaviest others after their minimum stay go until its large
/// request can be received. If no further connection can be accepted, those after their minimum
/// stay go that have waited longest for a request.
connections_to_close chooseConnectionsToClose(const connection_limits &limits,
                                              std::vector<connection_load> loads, instant now);

} // namespace crocuswind

#endif
