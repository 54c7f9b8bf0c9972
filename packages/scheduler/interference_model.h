/// Learns how strongly best-effort tasks of one image interfere with serving tasks of another image
/// on the same worker. Private to the package.
#ifndef CROCUSWIND_SCHEDULER_INTERFERENCE_MODEL_H
#define CROCUSWIND_SCHEDULER_INTERFERENCE_MODEL_H

#include <cstddef>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace crocuswind::scheduler {

/// The processor usage of one best-effort image during an observation.
struct interfering_share
{
    int bestEffort = 0; ///< Index of the best-effort image.
    double share = 0; ///< Share of the worker's processors that the image used.
};

/// A linear model of utilisation. A serving task with tail latency t has the utilisation 1 - t0 /
/// t, as in a queue, where t0 is its latency without any load. This utilisation is the load of the
/// task itself plus, for each best-effort image on the worker, a coefficient times the share of the
/// processors that the image uses. The coefficients are estimated by normalised least mean squares.
///
/// Images are identified by small indexes for speed: each report of a worker looks up all pairs of
/// images on the worker.
class interference_model
{
public:
    /// Return the index of a serving image or a best-effort image. The first call for an image
    /// assigns the index.
    int indexOfServing(const std::string &image);
    int indexOfBestEffort(const std::string &image);

    /// Returns the utilisation of \p serving at the given ratio of tail latency to target, in the
    /// range from 0 to below 1.
    double utilisation(int serving, double latencyRatio) const;

    /// Returns the utilisation at which the tail latency of \p serving reaches the fraction of its
    /// latency target up to which best-effort tasks may raise it. The fraction is higher if the
    /// load to come is forecast.
    double targetUtilisation(int serving, bool isForecast = false) const;

    /// Returns the utilisation that \p bestEffort would add to \p serving if it used all processors
    /// of a worker.
    double coefficient(int bestEffort, int serving) const;
    double coefficient(const std::string &bestEffort, const std::string &serving) const;

    /// Returns the coefficients of \p bestEffort for all serving images, indexed by serving image.
    std::vector<double> coefficientsOf(const std::string &bestEffort) const;

    /// Returns the utilisation that \p shares add to \p serving.
    double addedUtilisation(int serving, const std::vector<interfering_share> &shares) const;

    /// Returns the moving average of the load of tasks of \p serving without any interference.
    double typicalLoad(int serving) const;

    /// Updates the model with an observation: tasks of \p serving had \p latencyRatio while the
    /// best-effort images used \p shares. \p load is the previous estimate of the load of these
    /// tasks without interference, and \p isLoadShared tells that many workers have shown it, so
    /// that the rest is interference for certain. Returns the updated estimate.
    double observe(int serving, double latencyRatio, double load,
                   const std::vector<interfering_share> &shares, bool isLoadShared = false);

    /// Returns the best-effort images that were observed together with serving tasks.
    const std::set<std::string> &bestEffortImages() const { return m_bestEffortImages; }

    /// Serialises the observed coefficients, and restores them. decode() stops at the first line
    /// that it cannot parse.
    std::string encode() const;
    void decode(const std::string &text);

private:
    struct pair_record
    {
        double coefficient;
        bool isKnown = false; ///< The coefficient was observed or decoded, not just assumed.
    };

    struct best_effort_record
    {
        const std::string *name; ///< Key in `m_bestEffortIndexes`.
        std::vector<pair_record> byServing; ///< By serving image; pairs beyond the end are unknown.
    };

    struct serving_record
    {
        double lowRatio; ///< Estimate of the lowest decile of the observed latency ratios.
        double typicalLoad;
    };

    double unloadedRatio(int serving) const;
    double &knownCoefficient(int bestEffort, int serving);

    std::map<std::string, int> m_servingIndexes;
    std::map<std::string, int> m_bestEffortIndexes;
    std::vector<serving_record> m_serving; ///< By index.
    std::vector<best_effort_record> m_bestEffort; ///< By index.
    std::set<std::string> m_bestEffortImages;
};

} // namespace crocuswind::scheduler

#endif
