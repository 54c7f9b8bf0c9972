/// Learns how long the tasks of a queue run, given what their callers estimate.
///
/// Load pattern: estimates are off by a factor of two and more. Taken at their word, urgent jobs
/// seem to have time, and jobs that have time seem to be late.
#ifndef CROCUSWIND_POLICY_RUN_TIME_MODEL_H
#define CROCUSWIND_POLICY_RUN_TIME_MODEL_H

#include <cstdint>

namespace crocuswind::policy {

/// A linear regression of the logarithm of run times on that of estimates, over the last few
/// hundred steps. Where estimates tell nothing, all tasks are expected to run for the usual time;
/// where they are right, they are taken as they are, which is also assumed at first.
class run_time_model
{
public:
    /// The tasks of a step, whose caller had estimated \p expectedMs, ran for \p meanMs on average
    /// and \p longestMs at most. Times of 0 count as 1 ms.
    void record(std::int64_t expectedMs, double meanMs, std::int64_t longestMs);

    /// Returns the usual run time of a task with this estimate, in milliseconds. It is 0 if the
    /// estimate is 0.
    double usualMs(std::int64_t expectedMs) const;

    /// Returns the usual run time of the longest task of a step, in milliseconds.
    std::int64_t longestMs(std::int64_t expectedMs) const;

    /// Returns by how much the logarithm of the run time rises with that of the estimate, from 0
    /// (estimates tell nothing) to 1.
    double trust() const;

private:
    double m_weight = 0; ///< Of all observations, like the following sums.
    double m_expected = 0; ///< Sums of logarithms of the estimate (x) and the mean run time (y).
    double m_actual = 0;
    double m_expectedSquared = 0;
    double m_product = 0;
    double m_stretch = 0; ///< Sum of logarithms of the longest run time over the mean.
};

} // namespace crocuswind::policy

#endif
