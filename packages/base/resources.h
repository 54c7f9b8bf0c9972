/// Defines amounts of processor, memory and accelerators: the sizes of tasks and the capacity of
/// workers.
#ifndef CROCUSWIND_BASE_RESOURCES_H
#define CROCUSWIND_BASE_RESOURCES_H

#include <cstdint>
#include <string>
#include <tuple>

namespace crocuswind {

/// Resources of a worker or task. Cores are counted in thousandths, so that sums are exact.
struct resources
{
    std::int64_t milliCores = 0;
    std::int64_t memoryMb = 0;
    std::int64_t accelerators = 0;

    friend bool operator==(const resources &a, const resources &b)
    {
        return std::tie(a.milliCores, a.memoryMb, a.accelerators)
            == std::tie(b.milliCores, b.memoryMb, b.accelerators);
    }
    friend bool operator!=(const resources &a, const resources &b) { return !(a == b); }
    friend resources operator+(const resources &a, const resources &b)
    {
        return {a.milliCores + b.milliCores, a.memoryMb + b.memoryMb,
                a.accelerators + b.accelerators};
    }
    friend resources operator-(const resources &a, const resources &b)
    {
        return {a.milliCores - b.milliCores, a.memoryMb - b.memoryMb,
                a.accelerators - b.accelerators};
    }
};

/// Returns true if \p size does not exceed \p space in any dimension.
inline bool fitsInto(const resources &size, const resources &space)
{
    return size.milliCores <= space.milliCores && size.memoryMb <= space.memoryMb
        && size.accelerators <= space.accelerators;
}

/// Formats an amount as `1.500 cores, 2048 MB, 0 accelerators`.
std::string toString(const resources &amount);

} // namespace crocuswind

#endif
