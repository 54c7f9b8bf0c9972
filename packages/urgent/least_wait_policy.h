/// Defines the default routing policy.
#ifndef CROCUSWIND_URGENT_LEAST_WAIT_POLICY_H
#define CROCUSWIND_URGENT_LEAST_WAIT_POLICY_H

#include "routing_policy.h"

#include <cstdint>
#include <vector>

namespace crocuswind {

/// Chooses the eligible runner with the least expected time to an answer. It uses only this host's
/// own measurements (attempts in flight, service times and failures), which are never stale. The
/// load of other hosts is reflected in the service times. An indexed binary heap keeps the cost of
/// a choice constant and that of an update logarithmic.
class least_wait_policy final : public routing_policy
{
public:
    explicit least_wait_policy(std::uint64_t seed)
        : m_seed(seed)
    { }

    void update(std::size_t runner, const runner_view &view) override;
    std::optional<std::size_t> choose(random_source &random, std::optional<std::size_t> avoid,
                                      bool reserveBest) override;

private:
    static constexpr std::size_t absent = ~std::size_t(0);

    double scoreOf(std::size_t runner, const runner_view &view) const;
    bool isBefore(std::size_t a, std::size_t b) const { return m_scores[a] < m_scores[b]; }
    void place(std::size_t position, std::size_t runner);
    void siftUp(std::size_t position);
    void siftDown(std::size_t position);

    std::uint64_t m_seed;
    std::vector<double> m_scores; ///< By runner.
    std::vector<std::size_t> m_positions; ///< Index into `m_heap`, by runner.
    std::vector<std::size_t> m_heap; ///< Eligible runners.
};

} // namespace crocuswind

#endif
