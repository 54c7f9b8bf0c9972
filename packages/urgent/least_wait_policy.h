/// Defines our own routing policy.
#ifndef CROCUSWIND_URGENT_LEAST_WAIT_POLICY_H
#define CROCUSWIND_URGENT_LEAST_WAIT_POLICY_H

#include "routing_policy.h"

#include <cstdint>
#include <vector>

namespace crocuswind {

/// Chooses the eligible runner with the least expected time to an answer. It uses only what this
/// host measures itself (its attempts in flight, their service times and failures), which is never
/// stale; the load of other hosts shows in the service times. A binary heap with positions keeps a
/// choice and an update at logarithmic cost.
class least_wait_policy final : public routing_policy
{
public:
    explicit least_wait_policy(std::uint64_t seed)
        : m_seed(seed)
    { }

    void update(std::size_t runner, const runner_view &view) override;
    std::optional<std::size_t> choose(random_source &random, std::optional<std::size_t> avoid,
                                      bool leaveBest) override;

private:
    static constexpr std::size_t absent = ~std::size_t(0);

    double scoreOf(std::size_t runner, const runner_view &view) const;
    bool isBefore(std::size_t a, std::size_t b) const { return m_scores[a] < m_scores[b]; }
    void place(std::size_t position, std::size_t runner);
    void siftUp(std::size_t position);
    void siftDown(std::size_t position);

    std::uint64_t m_seed;
    std::vector<double> m_scores; ///< By runner.
    std::vector<std::size_t> m_positions; ///< By runner; its place in `m_heap`.
    std::vector<std::size_t> m_heap; ///< Eligible runners.
};

} // namespace crocuswind

#endif
