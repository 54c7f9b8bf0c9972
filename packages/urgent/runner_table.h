/// Defines the table of the runners of this data centre: how many slots this host may use and has
/// taken, which runners are leaving, and which are ejected (design 2.3 and 2.4).
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

/// The runners of this data centre by service. Runners and services are numbered consecutively from
/// 0. The number of a runner is reused once the runner is not listed and has no slots or
/// connections taken.
class runner_table
{
public:
    runner_table(routing_kind routing, std::uint64_t seed);

    /// Returns the number of a service. Adds the service if it is new.
    std::size_t addService(const service_id &service);

    /// Returns the number of a service, or nothing if neither a runner nor the configuration has
    /// named it.
    std::optional<std::size_t> findService(const service_id &service) const;

    std::size_t serviceCount() const { return m_services.size(); }
    const service_id &serviceName(std::size_t service) const { return m_services[service].name; }

    /// Sets the service time to use until answers have been measured.
    void expectServiceTime(std::size_t service, duration expected);

    /// Updates the table from the complete set of runners in the host list.
    void updateListings(instant now, const std::vector<runner_listing> &listings);

    /// Stores loads that were measured outside this host.
    void reportLoads(const std::vector<std::pair<runner_id, double>> &loads);

    /// Recomputes how many slots and connections of each runner this host may use.
    void applyShare(instant now, const capacity_share &share);

    /// Chooses a runner with a free slot. A runner that is due for a probe takes precedence if
    /// \p probe permits it. Returns nothing if no runner may receive the request. \p avoid and
    /// \p reserveBest are passed to routing_policy::choose().
    std::optional<std::size_t> choose(std::size_t service, instant now, random_source &random,
                                      std::optional<std::size_t> avoid, probe_use probe,
                                      bool reserveBest);

    /// Takes a slot and a connection of a runner. This is the only function that takes slots. It
    /// terminates the process if the runner has no slot or connection left for this host.
    void take(std::size_t runner);

    /// Releases a connection after an attempt has its result.
    void releaseConnection(std::size_t runner);

    /// Releases a slot after the runner can no longer be working on the attempt.
    void releaseSlot(std::size_t runner);

    /// Updates the runner's health from the result of an attempt. If this ejects the runner,
    /// returns when it is to be probed. Stores a message in \p log if the runner's status changed.
    std::optional<instant> observe(std::size_t runner, instant now, runner_result::kind result,
                                   duration took, bool isLeaving, random_source &random,
                                   std::string *log);

    /// Records that an attempt was cancelled, which ends a probe and is not counted as a sample.
    void observeCancelled(std::size_t runner);

    /// Marks an ejected runner as due for a probe if its delay is over.
    void startProbing(std::size_t runner, instant now);

    /// Returns true if any runner of the service is listed and not leaving; ejected ones count.
    bool hasRunnerFor(std::size_t service) const { return m_services[service].listed > 0; }

    /// Returns true if a runner of the service is due for a probe.
    bool isProbeDue(std::size_t service) const { return !m_services[service].probeDue.empty(); }

    /// Returns this host's number of slots on the service's healthy runners.
    int slots(std::size_t service) const { return m_services[service].slots; }

    /// Returns how many of these slots are free.
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
        bool isInUse = false; ///< False if the number is free for reuse.
        bool isListed = false;
        int slots = 0; ///< For all hosts together.
        int connections = 0; ///< For all hosts together.
        int slotLimit = 0; ///< For this host; 0 while it may not dispatch.
        int connectionLimit = 0; ///< For this host; 0 while it may not dispatch.
        int taken = 0; ///< Slots taken by this host.
        int connected = 0; ///< Connections taken by this host.
        /// Slots taken when the limit last changed, less those released since. Until they are
        /// released, `taken` may exceed a lowered limit.
        int takenAtLimitChange = 0;
        double reportedLoad = 0;
        leaving_state leaving;
        runner_health health;
        int countedStatus = 0; ///< 0 if absent or leaving, else 1 + the health status.
        int countedSlots = 0; ///< Contribution to the service's `slots`.
        int countedFree = 0; ///< Contribution to the service's `freeSlots`.
    };
    struct service_state
    {
        service_id name;
        std::unique_ptr<routing_policy> policy;
        double serviceTime = 50000; ///< Smoothed, in microseconds.
        double failureRate = 0; ///< Smoothed.
        bool isMeasured = false;
        int listed = 0; ///< Runners that are listed and not leaving.
        int ejected = 0; ///< Listed runners with health status `ejected`.
        int slots = 0;
        int freeSlots = 0;
        std::set<std::size_t> probeDue;
    };

    std::size_t addRunner(const runner_listing &listing);
    void refresh(std::size_t runner);
    void recount(std::size_t service);
    bool isPresent(const runner_state &r) const { return r.isListed && !r.leaving.isLeaving(); }
    bool hasCapacity(const runner_state &r) const
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
