#include "interference_model.h"

#include <algorithm>
#include <fmt/format.h>
#include <iomanip>
#include <sstream>

namespace crocuswind::scheduler {

namespace {

/// The coefficient of an image that was never observed together with the serving image.
constexpr double defaultCoefficient = 1.2;
constexpr double maxCoefficient = 12;

/// The load of a serving task by its own requests before any observation.
constexpr double defaultLoad = 0.45;
constexpr double maxLoad = 0.75;

/// The lowest decile of the ratio of latency to target: its value before any observation, the
/// utilisation assumed at it, the quantile, and the step size of the quantile estimate.
constexpr double defaultLowRatio = 0.3;
constexpr double utilisationAtLowRatio = 0.25;
constexpr double lowQuantile = 0.1;
constexpr double lowRatioGain = 0.01;

/// The ratio of tail latency to target up to which best-effort tasks may raise the latency. The
/// limit is a ratio and not a utilisation, because images differ in how close their unloaded
/// latency is to their target: one utilisation for all images would exceed the target of some.
constexpr double targetRatio = 0.75;
/// The same where the load to come is forecast, which needs less margin.
constexpr double targetRatioWithForecast = 0.9;

/// Upper bound of the estimated utilisation. Beyond it, latency shows only that the task is
/// overloaded.
constexpr double maxUtilisation = 0.99;

// Fractions of a prediction error that correct the load and the coefficients.
constexpr double loadGain = 0.25;
constexpr double typicalLoadGain = 0.02;
constexpr double coefficientGain = 0.2;
/// The same where the load is known from many workers.
constexpr double coefficientGainWithSharedLoad = 0.3;
/// Regularisation of the normalised step: without it, the whole error would be attributed to tiny
/// shares.
constexpr double shareRegularisation = 0.01;

// Returns the name as one word of the serialised text. Callers choose the names of images, so names
// that would not be parsed as one word are quoted.
std::string toWord(const std::string &name)
{
    const bool isWord = !name.empty() && name.front() != '"'
        && std::none_of(name.begin(), name.end(), [](unsigned char c) { return c <= ' '; });
    if (isWord)
        return name;
    std::ostringstream word;
    word << std::quoted(name);
    return word.str();
}

} // namespace

int interference_model::indexOfServing(const std::string &image)
{
    const auto [found, isNew] = m_servingIndexes.try_emplace(image, int(m_serving.size()));
    if (isNew)
        m_serving.push_back({defaultLowRatio, defaultLoad});
    return found->second;
}

int interference_model::indexOfBestEffort(const std::string &image)
{
    const auto [found, isNew] = m_bestEffortIndexes.try_emplace(image, int(m_bestEffort.size()));
    if (isNew)
        m_bestEffort.push_back({&found->first, {}});
    return found->second;
}

double interference_model::unloadedRatio(int serving) const
{
    return m_serving[std::size_t(serving)].lowRatio * (1 - utilisationAtLowRatio);
}

double interference_model::targetUtilisation(int serving, bool isForecast) const
{
    const double ratio = isForecast ? targetRatioWithForecast : targetRatio;
    return std::max(0.0, 1 - unloadedRatio(serving) / ratio);
}

double interference_model::utilisation(int serving, double latencyRatio) const
{
    const double unloaded = unloadedRatio(serving);
    if (latencyRatio <= unloaded)
        return 0;
    return std::min(maxUtilisation, 1 - unloaded / latencyRatio);
}

double interference_model::coefficient(int bestEffort, int serving) const
{
    const auto &byServing = m_bestEffort[std::size_t(bestEffort)].byServing;
    return std::size_t(serving) < byServing.size() ? byServing[std::size_t(serving)].coefficient
                                                   : defaultCoefficient;
}

double interference_model::coefficient(const std::string &bestEffort,
                                       const std::string &serving) const
{
    const auto first = m_bestEffortIndexes.find(bestEffort);
    const auto second = m_servingIndexes.find(serving);
    if (first == m_bestEffortIndexes.end() || second == m_servingIndexes.end())
        return defaultCoefficient;
    return coefficient(first->second, second->second);
}

std::vector<double> interference_model::coefficientsOf(const std::string &bestEffort) const
{
    std::vector<double> coefficients(m_serving.size(), defaultCoefficient);
    const auto found = m_bestEffortIndexes.find(bestEffort);
    if (found == m_bestEffortIndexes.end())
        return coefficients;
    const auto &byServing = m_bestEffort[std::size_t(found->second)].byServing;
    for (std::size_t serving = 0; serving < byServing.size(); ++serving)
        coefficients[serving] = byServing[serving].coefficient;
    return coefficients;
}

double interference_model::addedUtilisation(int serving,
                                            const std::vector<interfering_share> &shares) const
{
    double sum = 0;
    for (const interfering_share &s : shares)
        sum += coefficient(s.bestEffort, serving) * s.share;
    return sum;
}

double interference_model::typicalLoad(int serving) const
{
    return m_serving[std::size_t(serving)].typicalLoad;
}

// Returns the coefficient for modification and marks it as known.
double &interference_model::knownCoefficient(int bestEffort, int serving)
{
    best_effort_record &image = m_bestEffort[std::size_t(bestEffort)];
    if (image.byServing.empty())
        m_bestEffortImages.insert(*image.name);
    if (std::size_t(serving) >= image.byServing.size())
        image.byServing.resize(std::size_t(serving) + 1, {defaultCoefficient, false});
    pair_record &pair = image.byServing[std::size_t(serving)];
    pair.isKnown = true;
    return pair.coefficient;
}

double interference_model::observe(int serving, double latencyRatio, double load,
                                   const std::vector<interfering_share> &shares, bool isLoadShared)
{
    serving_record &record = m_serving[std::size_t(serving)];
    record.lowRatio
        += lowRatioGain * (latencyRatio < record.lowRatio ? lowQuantile - 1 : lowQuantile);
    const double error
        = utilisation(serving, latencyRatio) - load - addedUtilisation(serving, shares);
    double squares = shareRegularisation;
    for (const interfering_share &s : shares)
        squares += s.share * s.share;
    const double gain = isLoadShared ? coefficientGainWithSharedLoad : coefficientGain;
    for (const interfering_share &s : shares) {
        double &coefficient = knownCoefficient(s.bestEffort, serving);
        coefficient
            = std::clamp(coefficient + gain * error * s.share / squares, 0.0, maxCoefficient);
    }
    const double corrected = std::clamp(load + loadGain * error, 0.0, maxLoad);
    record.typicalLoad += typicalLoadGain * (corrected - record.typicalLoad);
    return corrected;
}

std::string interference_model::encode() const
{
    std::string text;
    for (const auto &[bestEffort, bestEffortIndex] : m_bestEffortIndexes) {
        const auto &byServing = m_bestEffort[std::size_t(bestEffortIndex)].byServing;
        for (const auto &[serving, servingIndex] : m_servingIndexes) {
            const auto index = std::size_t(servingIndex);
            if (index < byServing.size() && byServing[index].isKnown)
                text += fmt::format("{} {} {:.3f}\n", toWord(bestEffort), toWord(serving),
                                    byServing[index].coefficient);
        }
    }
    return text;
}

void interference_model::decode(const std::string &text)
{
    std::istringstream lines(text);
    std::string bestEffort;
    std::string serving;
    double coefficient = 0;
    while (lines >> std::quoted(bestEffort) >> std::quoted(serving) >> coefficient)
        knownCoefficient(indexOfBestEffort(bestEffort), indexOfServing(serving))
            = std::clamp(coefficient, 0.0, maxCoefficient);
}

} // namespace crocuswind::scheduler
