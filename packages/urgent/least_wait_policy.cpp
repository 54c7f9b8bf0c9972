#include "least_wait_policy.h"

namespace crocuswind {

namespace {

/// Multiplied by a runner's failure rate to increase its expected time. Failures return faster than
/// answers, so without the penalty a failing runner would appear idle and attract requests.
constexpr double failurePenalty = 20;

/// With `reserveBest`, this many runners are drawn at random and the worst of them is chosen. The
/// cost does not depend on the number of runners, and the requests are still spread.
constexpr int reserveDraws = 4;

} // namespace

double least_wait_policy::scoreOf(std::size_t runner, const runner_view &view) const
{
    // The perturbation of up to 1% makes each host rank equal runners in a different order.
    const std::uint64_t mixed = (std::uint64_t(runner) + 1) * 0x9e3779b97f4a7c15 ^ m_seed;
    const double perturbation = 1 + double((mixed ^ (mixed >> 29)) % 1024) / 102400;
    return (view.serviceTime + 1) * double(view.inFlight + 1)
        * (1 + failurePenalty * view.failureRate) * perturbation;
}

void least_wait_policy::update(std::size_t runner, const runner_view &view)
{
    if (m_positions.size() <= runner) {
        m_positions.resize(runner + 1, absent);
        m_scores.resize(runner + 1);
    }
    m_scores[runner] = scoreOf(runner, view);
    const std::size_t position = m_positions[runner];
    if (position == absent) {
        if (!view.isEligible)
            return;
        m_heap.push_back(runner);
        m_positions[runner] = m_heap.size() - 1;
        siftUp(m_heap.size() - 1);
        return;
    }
    if (view.isEligible) {
        siftUp(position);
        siftDown(m_positions[runner]);
        return;
    }
    const std::size_t last = m_heap.back();
    m_heap.pop_back();
    m_positions[runner] = absent;
    if (last == runner)
        return;
    place(position, last);
    siftUp(position);
    siftDown(m_positions[last]);
}

std::optional<std::size_t>
least_wait_policy::choose(random_source &random, std::optional<std::size_t> avoid, bool reserveBest)
{
    if (m_heap.empty())
        return std::nullopt;
    if (reserveBest) {
        std::size_t worst = m_heap[random.below(m_heap.size())];
        for (int i = 1; i < reserveDraws; ++i) {
            const std::size_t drawn = m_heap[random.below(m_heap.size())];
            if (isBefore(worst, drawn))
                worst = drawn;
        }
        if (worst != avoid)
            return worst;
    }
    if (m_heap[0] != avoid || m_heap.size() == 1)
        return m_heap[0];
    // The second best runner is one of the two children of the root.
    return m_heap.size() > 2 && isBefore(m_heap[2], m_heap[1]) ? m_heap[2] : m_heap[1];
}

void least_wait_policy::place(std::size_t position, std::size_t runner)
{
    m_heap[position] = runner;
    m_positions[runner] = position;
}

void least_wait_policy::siftUp(std::size_t position)
{
    const std::size_t runner = m_heap[position];
    while (position > 0) {
        const std::size_t parent = (position - 1) / 2;
        if (!isBefore(runner, m_heap[parent]))
            break;
        place(position, m_heap[parent]);
        position = parent;
    }
    place(position, runner);
}

void least_wait_policy::siftDown(std::size_t position)
{
    const std::size_t runner = m_heap[position];
    for (;;) {
        std::size_t child = 2 * position + 1;
        if (child >= m_heap.size())
            break;
        if (child + 1 < m_heap.size() && isBefore(m_heap[child + 1], m_heap[child]))
            ++child;
        if (!isBefore(m_heap[child], runner))
            break;
        place(position, m_heap[child]);
        position = child;
    }
    place(position, runner);
}

} // namespace crocuswind
