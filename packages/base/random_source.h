/// Defines the interface for random numbers. Cores use only this interface, so that a seeded source
/// makes every decision reproducible.
#ifndef CROCUSWIND_BASE_RANDOM_SOURCE_H
#define CROCUSWIND_BASE_RANDOM_SOURCE_H

#include <cstdint>

namespace crocuswind {

/// A source of random numbers.
class random_source
{
public:
    virtual ~random_source() = default;

    /// Returns the next 64 uniformly distributed bits.
    virtual std::uint64_t next() = 0;

    /// Returns a uniformly distributed number in [0, bound). \p bound must be at least 1.
    std::uint64_t below(std::uint64_t bound) { return next() % bound; }

    /// Returns a uniformly distributed number in [0, 1).
    double fraction() { return double(next() >> 11) * 0x1.0p-53; }
};

/// A SplitMix64 generator: small, fast, and for a seed the same sequence on every machine.
/// \see G. L. Steele, D. Lea, C. H. Flood, "Fast splittable pseudorandom number generators", 2014.
class seeded_random final : public random_source
{
public:
    explicit seeded_random(std::uint64_t seed)
        : m_state(seed)
    { }

    std::uint64_t next() override
    {
        m_state += 0x9e3779b97f4a7c15;
        std::uint64_t z = m_state;
        z = (z ^ (z >> 30)) * 0xbf58476d1ce4e5b9;
        z = (z ^ (z >> 27)) * 0x94d049bb133111eb;
        return z ^ (z >> 31);
    }

private:
    std::uint64_t m_state;
};

} // namespace crocuswind

#endif
