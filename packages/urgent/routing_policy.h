/// Defines routing policies, which choose among the eligible runners of a service. All policies
/// receive the same view of the runners, so that they can be compared on the same arrivals.
#ifndef CROCUSWIND_URGENT_ROUTING_POLICY_H
#define CROCUSWIND_URGENT_ROUTING_POLICY_H

#include "base/base.h"
#include "urgent_settings.h"

#include <cstddef>
#include <memory>
#include <optional>
#include <vector>

namespace crocuswind {

/// A routing policy's view of one runner.
struct runner_view
{
    bool isEligible = false; ///< May receive a request now.
    int inFlight = 0; ///< This host's attempts in flight.
    double reportedLoad = 0; ///< Last reported number of requests of all hosts; lags.
    double serviceTime = 0; ///< Smoothed service time of this host's attempts, in microseconds.
    double failureRate = 0; ///< Smoothed fraction of this host's attempts that failed.
};

/// Chooses a runner for each request. The caller numbers runners consecutively from 0.
class routing_policy
{
public:
    virtual ~routing_policy() = default;

    /// Updates the policy's view of a runner.
    virtual void update(std::size_t runner, const runner_view &view) = 0;

    /// Returns an eligible runner, or nothing if none is eligible. Returns \p avoid only if no
    /// other runner is eligible. If \p reserveBest is true, the policy may choose a slower runner
    /// to keep the best ones free for urgent requests.
    virtual std::optional<std::size_t> choose(random_source &random,
                                              std::optional<std::size_t> avoid, bool reserveBest)
        = 0;
};

/// Creates a policy. With different seeds, hosts that have no measurements yet prefer different
/// runners.
std::unique_ptr<routing_policy> makeRoutingPolicy(routing_kind kind, std::uint64_t seed);

/// The set of eligible runners, with updates in constant time. Used by the policies that choose at
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
    std::vector<std::size_t> m_positions; ///< Index into `m_members`, by runner.
};

} // namespace crocuswind

#endif
