#include "allocation_counter.h"

#include <cstdlib>
#include <new>

namespace crocuswind::standin {

namespace {

allocation_totals totals;

} // namespace

const allocation_totals &allocated()
{
    return totals;
}

} // namespace crocuswind::standin

// Not inlined: otherwise the compiler warns of mismatched allocation functions (malloc and delete).
[[gnu::noinline]] void *operator new(std::size_t size)
{
    ++crocuswind::standin::totals.allocations;
    crocuswind::standin::totals.bytes += size;
    if (void *memory = std::malloc(size))
        return memory;
    throw std::bad_alloc();
}

// Used by algorithms with a buffer, such as std::stable_sort.
[[gnu::noinline]] void *operator new(std::size_t size, const std::nothrow_t &) noexcept
{
    ++crocuswind::standin::totals.allocations;
    crocuswind::standin::totals.bytes += size;
    return std::malloc(size);
}

[[gnu::noinline]] void operator delete(void *memory) noexcept
{
    std::free(memory);
}

[[gnu::noinline]] void operator delete(void *memory, std::size_t) noexcept
{
    std::free(memory);
}
