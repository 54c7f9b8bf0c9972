/// Counts what a test program allocates, by replacing the allocation functions. Only the one source
/// file of a test program may include it.
#ifndef CROCUSWIND_TEST_ALLOCATION_COUNTER_H
#define CROCUSWIND_TEST_ALLOCATION_COUNTER_H

#include <cstddef>
#include <cstdlib>
#include <new>

namespace crocuswind {

/// All allocations since the program's start.
struct allocation_totals
{
    std::size_t allocations = 0;
    std::size_t bytes = 0; ///< As requested; freed memory is not subtracted.
};

inline allocation_totals allocated;

} // namespace crocuswind

// Inlined, the pair is taken for a mismatch by the compiler.
[[gnu::noinline]] void *operator new(std::size_t size)
{
    ++crocuswind::allocated.allocations;
    crocuswind::allocated.bytes += size;
    if (void *memory = std::malloc(size))
        return memory;
    throw std::bad_alloc();
}

[[gnu::noinline]] void operator delete(void *memory) noexcept
{
    std::free(memory);
}

[[gnu::noinline]] void operator delete(void *memory, std::size_t) noexcept
{
    std::free(memory);
}

#endif
