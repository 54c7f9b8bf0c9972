#include "routing_policy.h"

#include "least_wait_policy.h"

#include <set>
#include <utility>

namespace crocuswind {

void eligible_set::set(std::size_t runner, bool isEligible)
{
    if (m_positions.size() <= runner)
        m_positions.resize(runner + 1, absent);
    if (isEligible == contains(runner))
        return;
    if (isEligible) {
        m_positions[runner] = m_members.size();
        m_members.push_back(runner);
        return;
    }
    const std::size_t position = m_positions[runner];
    m_members[position] = m_members.back();
    m_positions[m_members[position]] = position;
    m_members.pop_back();
    m_positions[runner] = absent;
}

namespace {

/// Draws a random member. Returns \p avoid only if it is the only member. The set must not be
/// empty.
std::size_t drawMember(const eligible_set &eligible, random_source &random,
                       std::optional<std::size_t> avoid)
{
    const auto &members = eligible.members();
    const std::size_t position = random.below(members.size());
    if (members[position] == avoid && members.size() > 1)
        return members[(position + 1 + random.below(members.size() - 1)) % members.size()];
    return members[position];
}

class random_policy final : public routing_policy
{
public:
    void update(std::size_t runner, const runner_view &view) override
    {
        m_eligible.set(runner, view.isEligible);
    }

    std::optional<std::size_t> choose(random_source &random, std::optional<std::size_t> avoid,
                                      bool) override
    {
        if (m_eligible.members().empty())
            return std::nullopt;
        return drawMember(m_eligible, random, avoid);
    }

private:
    eligible_set m_eligible;
};

class round_robin_policy final : public routing_policy
{
public:
    void update(std::size_t runner, const runner_view &view) override
    {
        if (view.isEligible)
            m_eligible.insert(runner);
        else
            m_eligible.erase(runner);
    }

    std::optional<std::size_t> choose(random_source &, std::optional<std::size_t> avoid,
                                      bool) override
    {
        if (m_eligible.empty())
            return std::nullopt;
        advance();
        if (m_last == avoid)
            advance();
        return m_last;
    }

private:
    void advance()
    {
        auto next = m_eligible.upper_bound(m_last);
        m_last = next == m_eligible.end() ? *m_eligible.begin() : *next;
    }

    std::set<std::size_t> m_eligible;
    std::size_t m_last = 0;
};

class least_loaded_policy final : public routing_policy
{
public:
    void update(std::size_t runner, const runner_view &view) override
    {
        if (m_loads.size() <= runner)
            m_loads.resize(runner + 1);
        m_eligible.erase({m_loads[runner], runner});
        m_loads[runner] = view.reportedLoad;
        if (view.isEligible)
            m_eligible.insert({view.reportedLoad, runner});
    }

    std::optional<std::size_t> choose(random_source &, std::optional<std::size_t> avoid,
                                      bool) override
    {
        if (m_eligible.empty())
            return std::nullopt;
        auto best = m_eligible.begin();
        if (best->second == avoid && m_eligible.size() > 1)
            ++best;
        return best->second;
    }

private:
    std::vector<double> m_loads;
    std::set<std::pair<double, std::size_t>> m_eligible;
};

/// \see M. Mitzenmacher, "The power of two choices in randomized load balancing", IEEE TPDS 12(10),
/// 2001.
class two_choices_policy final : public routing_policy
{
public:
    void update(std::size_t runner, const runner_view &view) override
    {
        if (m_loads.size() <= runner)
            m_loads.resize(runner + 1);
        m_loads[runner] = view.reportedLoad;
        m_eligible.set(runner, view.isEligible);
    }

    std::optional<std::size_t> choose(random_source &random, std::optional<std::size_t> avoid,
                                      bool) override
    {
        if (m_eligible.members().empty())
            return std::nullopt;
        const std::size_t a = drawMember(m_eligible, random, avoid);
        const std::size_t b = drawMember(m_eligible, random, avoid);
        return m_loads[b] < m_loads[a] ? b : a;
    }

private:
    std::vector<double> m_loads;
    eligible_set m_eligible;
};

} // namespace

std::unique_ptr<routing_policy> makeRoutingPolicy(routing_kind kind, std::uint64_t seed)
{
    switch (kind) {
    case routing_kind::random:
        return std::make_unique<random_policy>();
    case routing_kind::round_robin:
        return std::make_unique<round_robin_policy>();
    case routing_kind::least_loaded:
        return std::make_unique<least_loaded_policy>();
    case routing_kind::two_choices:
        return std::make_unique<two_choices_policy>();
    case routing_kind::least_wait:
        break;
    }
    return std::make_unique<least_wait_policy>(seed);
}

} // namespace crocuswind
