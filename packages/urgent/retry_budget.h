/// Defines the budget that limits retries to a small fraction of the load (design 2.3, "Retries").
#ifndef CROCUSWIND_URGENT_RETRY_BUDGET_H
#define CROCUSWIND_URGENT_RETRY_BUDGET_H

#include "base/base.h"

#include <algorithm>

namespace crocuswind {

/// The retry credit of one team. Each first attempt adds a fraction of a retry to the credit, and
/// each retry takes one. The credit starts at zero, so the retries never exceed that fraction of
/// the first attempts.
class retry_budget
{
public:
    /// Adds \p ratio retries to the credit for a first attempt, up to \p maxCredit.
    void earn(double ratio, double maxCredit) { m_credit = std::min(m_credit + ratio, maxCredit); }

    /// Takes one retry from the credit. Returns false if the credit is less than one retry.
    bool spend()
    {
        // Ten times 0.1 can add up to slightly less than 1 because of rounding.
        if (m_credit < 1 - 1e-9)
            return false;
        m_credit = std::max(0.0, m_credit - 1);
        return true;
    }

private:
    double m_credit = 0;
};

/// Returns the backoff before attempt number \p attempt (2 or more). It doubles with each further
/// attempt and has 50% jitter, so that requests that failed together are not retried together.
inline duration backoffBefore(int attempt, duration base, random_source &random)
{
    const std::int64_t full = base.count() << std::min(attempt - 2, 10);
    return duration(full / 2 + std::int64_t(random.below(std::uint64_t(full) + 1)));
}

} // namespace crocuswind

#endif
