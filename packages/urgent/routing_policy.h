/// Defines routing policies: which of the runners of a service that may receive a request gets it.
/// All policies see the same view, so that they can be compared on the same arrivals.
#ifndef CROCUSWIND_URGENT_ROUTING_POLICY_H
#define CROCUSWIND_URGENT_ROUTING_POLICY_H

#include "base/base.h"
#include "urgent_settings.h"

#include <cstddef>
#include <memory>
#include <optional>
#include <vector>

namespace crocuswind {

/// What this host knows of a runner.
struct runner_view
{
    bool isEligible = false; ///< May receive a request now.
    int inFlight = 0; ///< Of this host's own attempts.
    double reportedLoad = 0; ///< Requests of all hosts, as last reported; lags.
    double serviceTime = 0; ///< Smoothed time of this host's answers, in microseconds.
    double failureRate = 0; ///< Smoothed part of this host's attempts that failed.
};

/// Chooses a runner for each request. Runners are numbered by the caller, densely from 0.
class routing_policy
{
public:
    virtual ~routing_policy() = default;

    /// Tells the policy that the view of a runner has changed.
    virtual void update(std::size_t runner, const runner_view &view) = 0;

    /// Returns an eligible runner, other than \p avoid unless no other is eligible; nothing if none
    /// is eligible. A policy may heed \p leaveBest: more urgent work will want the best runners.
    virtual std::optional<std::size_t> choose(random_source &random,
                                              std::optional<std::size_t> avoid, bool leaveBest)
        = 0;
};

/// Creates a policy. \p seed makes hosts that know equally little prefer different runners.
std::unique_ptr<routing_policy> makeRoutingPolicy(routing_kind kind, std::uint64_t seed);

/// The set of eligible runners, with constant-time changes. Base of the policies that draw at
/// random.
class eligible_set
{
public:
    void set(std::size_t runner, bool isEligible);
    const std::vector<std::size_t> &members() const { return m_members; }
    bool contains(std::size_t runner) const
    {
        return runner < m_positions.size() && m_positions[runner] != absent;
    }

private:
    static constexpr std::size_t absent = ~std::size_t(0);

    std::vector<std::size_t> m_members;
    std::vector<std::size_t> m_positions; ///< By runner; its place in `m_members`.
};

} // namespace crocuswind

#endif
