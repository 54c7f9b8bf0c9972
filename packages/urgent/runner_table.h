/// Defines what this host knows of the runners of its data centre: the slots that it may use and
/// has taken, which runners are leaving, and which are ejected (design 2.3 and 2.4).
#ifndef CROCUSWIND_URGENT_RUNNER_TABLE_H
#define CROCUSWIND_URGENT_RUNNER_TABLE_H

#include "base/base.h"
#include "capacity_share.h"
#include "routing_policy.h"
#include "runner_health.h"
#include "urgent_events.h"

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace crocuswind {

/// The runners of this data centre by service. Runners and services are numbered densely from 0;
/// the number of a runner may be used again once it is not listed and none of its slots is taken.
class runner_table
{
public:
    runner_table(routing_kind routing, std::uint64_t seed);

    /// Returns the number of a service, which is added if it is new.
    std::size_t addService(const service_id &service);

    /// Returns the number of a service, or nothing if no runner and no configuration named it.
    std::optional<std::size_t> findService(const service_id &service) const;

    std::size_t serviceCount() const { return m_services.size(); }
    const service_id &serviceName(std::size_t service) const { return m_services[service].name; }

    /// Sets the service time that is assumed until answers have been measured.
    void expectServiceTime(std::size_t service, duration expected);

    /// Takes over the host list's complete set of runners.
    void list(instant now, const std::vector<runner_listing> &listings);

    /// Takes over loads reported from elsewhere.
    void reportLoads(const std::vector<std::pair<runner_id, double>> &loads);

    /// Recomputes how many slots of each runner this host may use.
    void applyShare(instant now, const capacity_share &share);

    /// Chooses a runner with a free slot. If \p probe says so, a runner that is due for a probe
    /// comes first. Returns nothing if no runner may receive the request. \p leaveBest is for the
    /// routing policy.
    std::optional<std::size_t> choose(std::size_t service, instant now, random_source &random,
                                      std::optional<std::size_t> avoid, probe_use probe,
                                      bool leaveBest);

    /// Takes a slot and a connection of a runner. This is the only place where slots are taken; it
    /// ends the process if the runner has none left for this host.
    void take(std::size_t runner);

    /// Returns a connection, when an attempt has its result.
    void releaseConnection(std::size_t runner);

    /// Returns a slot, when the runner cannot be working on the attempt any more.
    void releaseSlot(std::size_t runner);

    /// Records what an attempt showed. Returns when an ejected runner is to be probed, if it is
    /// ejected now; \p log receives a sentence if the runner's standing changed.
    std::optional<instant> observe(std::size_t runner, instant now, runner_result::kind result,
                                   duration took, bool isLeaving, random_source &random,
                                   std::string *log);

    /// Records that an attempt was cancelled and shows nothing about the runner.
    void observeCancelled(std::size_t runner);

    /// Makes an ejected runner due for a probe if its pause is over.
    void startProbing(std::size_t runner, instant now);

    /// Returns whether any runner of the service is listed and not leaving, be it ejected or not.
    bool hasRunnerFor(std::size_t service) const { return m_services[service].listed > 0; }

    /// Returns whether a runner of the service waits for a probe.
    bool isProbeDue(std::size_t service) const { return !m_services[service].probeDue.empty(); }

    /// Returns this host's slots of the service's healthy runners.
    int slots(std::size_t service) const { return m_services[service].slots; }

    /// Returns how many of these are free.
    int freeSlots(std::size_t service) const { return m_services[service].freeSlots; }

    /// Returns the smoothed service time of a service.
    duration serviceTime(std::size_t service) const
    {
        return duration(std::int64_t(m_services[service].serviceTime));
    }

    const runner_id &name(std::size_t runner) const { return m_runners[runner].name; }
    int connectionLimit(std::size_t runner) const { return m_runners[runner].connectionLimit; }
    std::size_t countEjected() const;
    std::size_t countLeaving() const;
    std::size_t countSlotsTaken() const;
    int slotsTaken(std::size_t runner) const { return m_runners[runner].taken; }
    std::size_t runnerCount() const { return m_runners.size(); }

    /// Appends a description of each violated internal invariant.
    void checkInvariants(std::vector<std::string> *violations) const;

private:
    struct runner_state
    {
        runner_id name;
        std::size_t service = 0;
        bool isInUse = false; ///< False if the number is free.
        bool isListed = false;
        int slots = 0; ///< Of all hosts.
        int connections = 0;
        int slotLimit = 0; ///< Of this host, 0 while it may not dispatch.
        int connectionLimit = 0;
        int taken = 0;
        int connected = 0;
        int excusedTaken = 0; ///< Slots taken when the limit was last lowered below them.
        double reportedLoad = 0;
        leaving_state leaving;
        runner_health health;
        int countedStanding = 0; ///< 0 if absent or leaving, else 1 + its health's standing.
        int countedSlots = 0; ///< As counted in the service's totals.
        int countedFree = 0;
    };
    struct service_state
    {
        service_id name;
        std::unique_ptr<routing_policy> policy;
        double serviceTime = 50000; ///< Smoothed, in microseconds.
        double failureRate = 0; ///< Smoothed.
        bool isMeasured = false;
        int listed = 0; ///< Runners that are listed and not leaving.
        int ejected = 0; ///< Of these, ejected on evidence.
        int slots = 0;
        int freeSlots = 0;
        std::set<std::size_t> probeDue;
    };

    std::size_t addRunner(const runner_listing &listing);
    void refresh(std::size_t runner);
    void recount(std::size_t service);
    bool isPresent(const runner_state &r) const { return r.isListed && !r.leaving.isLeaving(); }
    bool hasRoom(const runner_state &r) const
    {
        return r.taken < r.slotLimit && r.connected < r.connectionLimit;
    }
    bool mayEject(const service_state &service) const;

    routing_kind m_routing;
    std::uint64_t m_seed;
    std::vector<runner_state> m_runners;
    std::vector<std::size_t> m_freeNumbers;
    std::map<runner_id, std::size_t> m_byName;
    std::vector<service_state> m_services;
    std::map<service_id, std::size_t> m_serviceByName;
};

} // namespace crocuswind

#endif
