/// Bounds the leases that earlier owners of the jobs may have granted to workers.
#ifndef CROCUSWIND_SCHEDULER_EARLIER_AUTHORITY_H
#define CROCUSWIND_SCHEDULER_EARLIER_AUTHORITY_H

#include "base/base.h"

#include <cstdint>
#include <map>

namespace crocuswind::scheduler {

/// Until when earlier owners could extend leases of workers. Each host keeps its own record, on its
/// own clock: once it sees an owner of a later epoch, the store confirms no earlier one any more.
class earlier_authority
{
public:
    earlier_authority() = default;

    /// All owners up to \p epoch extend leases until \p end at the latest. Of several bounds, the
    /// earliest counts.
    void limit(std::int64_t epoch, instant end);

    /// Returns when the authority of all owners up to \p epoch has ended, or instant::max() if no
    /// later owner is known.
    instant endOf(std::int64_t epoch) const;

    /// Forgets the bounds that do not differ from others by \p now, because both have passed.
    void forgetBefore(instant now);

private:
    /// The ends by epoch. They increase with the epoch.
    std::map<std::int64_t, instant> m_ends;
};

} // namespace crocuswind::scheduler

#endif
