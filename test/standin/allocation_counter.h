/// Counts the allocations of a test program. Linking it replaces the global operators new and
/// delete.
#ifndef CROCUSWIND_STANDIN_ALLOCATION_COUNTER_H
#define CROCUSWIND_STANDIN_ALLOCATION_COUNTER_H

#include <cstddef>

namespace crocuswind::standin {

/// Totals of all allocations since the start of the program.
struct allocation_totals
{
    std::size_t allocations = 0;
    std::size_t bytes = 0; ///< Sum of the requested sizes; freed memory is not subtracted.
};

/// Returns the current totals. The reference stays valid and follows later allocations.
const allocation_totals &allocated();

} // namespace crocuswind::standin

#endif
