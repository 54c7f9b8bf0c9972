/// Counts what a test program allocates. A program that uses it has its allocation functions
/// replaced.
#ifndef CROCUSWIND_STANDIN_ALLOCATION_COUNTER_H
#define CROCUSWIND_STANDIN_ALLOCATION_COUNTER_H

#include <cstddef>

namespace crocuswind::standin {

/// All allocations since the program's start.
struct allocation_totals
{
    std::size_t allocations = 0;
    std::size_t bytes = 0; ///< As requested; freed memory is not subtracted.
};

/// Returns the totals so far.
const allocation_totals &allocated();

} // namespace crocuswind::standin

#endif
