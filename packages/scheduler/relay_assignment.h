/// Decides which host sends the owner's commands to each worker. Calls to workers take most of an
/// owner's processor time, so the owner of a large fleet leaves them to other hosts, the relays.
///
/// Load pattern: a fleet whose commands and polls exceed what the owner's processor can send, at
/// any size of the hosts.
#ifndef CROCUSWIND_SCHEDULER_RELAY_ASSIGNMENT_H
#define CROCUSWIND_SCHEDULER_RELAY_ASSIGNMENT_H

#include "command_codec.h"

#include <cstdint>
#include <map>
#include <string>
#include <unordered_map>

namespace crocuswind::scheduler {

/// Where the commands for a worker are sent from.
struct command_route
{
    host_id relay; ///< Empty if the owner sends them itself.
    /// Increases with each change of the relay and each fence. It is a part of the fencing token:
    /// what was sent on a former route is refused once the worker has heard from the present one.
    std::int64_t generation = 0;

    friend bool operator==(const command_route &a, const command_route &b)
    {
        return a.relay == b.relay && a.generation == b.generation;
    }
    friend bool operator!=(const command_route &a, const command_route &b) { return !(a == b); }
};

/// Returns the fencing token of commands of an owner's epoch on a route. Tokens of a later epoch
/// are higher than all of an earlier one.
std::int64_t commandToken(std::int64_t epoch, const command_route &route);

/// Assigns workers to relays. Keeps an assignment as long as the relay is available, since a worker
/// should hear from one host at a time.
class relay_assignment
{
public:
    /// \p ownerMilliCores are the processors of this host, in thousandths of a core.
    explicit relay_assignment(std::int64_t ownerMilliCores);

    /// A host offers to be a relay, or withdraws its offer.
    void onOffer(const host_id &host, const relay_offer &offer);
    /// The host cannot be reached.
    void onLost(const host_id &host);

    /// Sets the data centre of a worker and counts it.
    void addWorker(const worker_id &worker, const data_centre_id &dataCentre);
    /// The worker counts no more. Its route is kept, since its commands must not fall back to a
    /// lower fencing token.
    void removeWorker(const worker_id &worker);
    /// Forgets all workers and their routes, at the end of an ownership. Offers stay.
    void clearWorkers();

    /// Keeps the worker's relay, and gives its route the next generation.
    void renewRoute(const worker_id &worker);

    /// Returns the present route of the worker.
    command_route currentRoute(const worker_id &worker) const;

    /// Returns the route for the next command. \p isIdle tells that no command for the worker is in
    /// flight, which allows a change that is not urgent.
    command_route routeFor(const worker_id &worker, bool isIdle, instant now);

    std::size_t relayCount() const { return m_relays.size(); }
    /// Returns true if the fleet is too large for the owner to send the commands itself.
    bool needsRelays() const;

private:
    struct relay
    {
        relay_offer offer;
        std::int64_t workers = 0;
    };
    struct worker_route
    {
        data_centre_id dataCentre;
        command_route route;
        host_id formerRelay;
        instant changedAt;
        instant reviewedAt;
        bool isListed = false;
    };
    /// The order in which relays are preferred; lower is better.
    struct relay_cost
    {
        bool isRecentlyLeft = false; ///< The worker has been taken from it a moment ago.
        /// It has as many workers as it can serve: offers come one after the other, and without
        /// this the first relays of a new owner get all first polls of a large fleet.
        bool isFull = false;
        bool isSmall = false;
        bool isRemote = false; ///< In another data centre than the worker.
        double load = 0; ///< Workers for each thousandth of a core, with one more.
    };

    relay_cost costOf(const worker_route &worker, const host_id &host, const relay &candidate,
                      instant now) const;
    const host_id *bestRelay(const worker_route &worker, instant now) const;
    bool isWorthMoving(worker_route &worker, instant now) const;
    duration reviewInterval() const;
    void assign(worker_route &worker, const host_id &relay, instant now);

    std::int64_t m_ownerMilliCores;
    std::map<host_id, relay> m_relays;
    std::unordered_map<worker_id, worker_route> m_workers;
    std::int64_t m_listedWorkers = 0;
};

} // namespace crocuswind::scheduler

#endif
