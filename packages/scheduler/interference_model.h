/// Learns how strongly work of one image in idle room interferes with serving tasks of another
/// image beside it. Private to the package.
#ifndef CROCUSWIND_SCHEDULER_INTERFERENCE_MODEL_H
#define CROCUSWIND_SCHEDULER_INTERFERENCE_MODEL_H

#include <cstddef>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace crocuswind::scheduler {

/// Work of one image that took part in an observation.
struct interfering_share
{
    int filling = 0; ///< Index of the image.
    double share = 0; ///< Of the worker's processors that it used.
};

/// A linear model of utilisation: a serving task with tail latency t has the utilisation
/// 1 - t0 / t, as in a queue, where t0 is its latency without any load. The utilisation is its own
/// load plus, for each other image on the worker, a coefficient times the share that it uses. The
/// coefficients are followed by normalised least mean squares.
///
/// Images have small indexes, since a worker's report asks for each pair of images on the worker.
class interference_model
{
public:
    /// Return the index of a serving image and of an image of work in idle room. An image gets it
    /// with the first call.
    int indexOfServing(const std::string &image);
    int indexOfFilling(const std::string &image);

    /// Returns the utilisation at a ratio of tail latency to target, from 0 to below 1.
    double utilisation(int serving, double latencyRatio) const;

    /// Returns the utilisation at which the tail latency of \p serving reaches the part of its
    /// target that is aimed at.
    double targetUtilisation(int serving) const;

    /// Returns the utilisation that \p serving gains if \p filling uses all processors of a
    /// worker.
    double coefficient(int filling, int serving) const;
    double coefficient(const std::string &filling, const std::string &serving) const;

    /// Returns the coefficients of \p filling for all serving images, by their index.
    std::vector<double> coefficientsOf(const std::string &filling) const;

    /// Returns the utilisation that \p shares add to \p serving.
    double added(int serving, const std::vector<interfering_share> &shares) const;

    /// Returns the usual load of tasks of \p serving by themselves.
    double usualLoad(int serving) const;

    /// Learns from a report: tasks of \p serving had \p latencyRatio while \p shares were used.
    /// \p load is what the load of these tasks by themselves was taken for; returns the corrected
    /// value.
    double observe(int serving, double latencyRatio, double load,
                   const std::vector<interfering_share> &shares);

    /// Returns the images of work in idle room that were seen beside serving tasks.
    const std::set<std::string> &fillingImages() const { return m_fillingImages; }

    /// Writes the coefficients, and reads what was written. Unreadable text changes nothing.
    std::string encode() const;
    void decode(const std::string &text);

private:
    struct pair_record
    {
        double coefficient;
        bool isKnown = false; ///< Observed or read.
    };

    struct filling_record
    {
        const std::string *name; ///< Key in `m_fillingIndexes`.
        std::vector<pair_record> beside; ///< By serving image; those beyond the end are unknown.
    };

    struct serving_record
    {
        double lowRatio; ///< Below it lie a tenth of the observations.
        double usualLoad;
    };

    double unloadedRatio(int serving) const;
    double &knownCoefficient(int filling, int serving);

    std::map<std::string, int> m_servingIndexes;
    std::map<std::string, int> m_fillingIndexes;
    std::vector<serving_record> m_serving; ///< By index.
    std::vector<filling_record> m_filling; ///< By index.
    std::set<std::string> m_fillingImages;
};

} // namespace crocuswind::scheduler

#endif
