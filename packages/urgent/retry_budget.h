/// Defines the budget that keeps retries a small part of the load (design 2.3, "Retries").
#ifndef CROCUSWIND_URGENT_RETRY_BUDGET_H
#define CROCUSWIND_URGENT_RETRY_BUDGET_H

#include "base/base.h"

#include <algorithm>

namespace crocuswind {

/// The retry credit of one team: each first attempt earns a fraction of a retry. It starts at zero,
/// so that retries never exceed that fraction of the first attempts.
class retry_budget
{
public:
    void earn(double share, double maxCredit) { m_credit = std::min(m_credit + share, maxCredit); }

    /// Takes one retry from the credit, or returns false if there is none.
    bool spend()
    {
        // Sums of 0.1 may fall short of 1 by rounding.
        if (m_credit < 1 - 1e-9)
            return false;
        m_credit = std::max(0.0, m_credit - 1);
        return true;
    }

private:
    double m_credit = 0;
};

/// Returns the pause before attempt number \p attempt (2 or more): doubled for each further attempt
/// and jittered by half, so that requests that failed together are not retried together.
inline duration backoffBefore(int attempt, duration base, random_source &random)
{
    const std::int64_t full = base.count() << std::min(attempt - 2, 10);
    return duration(full / 2 + std::int64_t(random.below(std::uint64_t(full) + 1)));
}

} // namespace crocuswind

#endif
