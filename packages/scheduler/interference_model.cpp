#include "interference_model.h"

#include <algorithm>
#include <fmt/format.h>
#include <iomanip>
#include <sstream>

namespace crocuswind::scheduler {

namespace {

/// The coefficient of an image that was never observed together with the serving image.
constexpr double unknownCoefficient = 1.2;
constexpr double maxCoefficient = 12;

/// The load of a serving task by its own requests before any observation.
constexpr double unknownLoad = 0.45;
constexpr double maxLoad = 0.75;

/// The lowest decile of the ratio of latency to target: its value before any observation, the
/// utilisation assumed at it, the quantile, and the step size of the quantile estimate.
constexpr double unknownLowRatio = 0.3;
constexpr double utilisationAtLowRatio = 0.25;
constexpr double lowQuantile = 0.1;
constexpr double lowRatioGain = 0.01;

/// The ratio of tail latency to target up to which best-effort tasks may raise the latency. The
/// limit is a ratio and not a utilisation, because images differ in how close their unloaded
/// latency is to their target: one utilisation for all images would exceed the target of some.
constexpr double aimedRatio = 0.75;

/// Upper bound of the estimated utilisation. Beyond it, latency shows only that the task is
/// overloaded.
constexpr double maxUtilisation = 0.99;

// Fractions of a prediction error that correct the load and the coefficients.
constexpr double loadGain = 0.25;
constexpr double usualLoadGain = 0.02;
constexpr double coefficientGain = 0.2;
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
        m_serving.push_back({unknownLowRatio, unknownLoad});
    return found->second;
}

int interference_model::indexOfFilling(const std::string &image)
{
    const auto [found, isNew] = m_fillingIndexes.try_emplace(image, int(m_filling.size()));
    if (isNew)
        m_filling.push_back({&found->first, {}});
    return found->second;
}

double interference_model::unloadedRatio(int serving) const
{
    return m_serving[std::size_t(serving)].lowRatio * (1 - utilisationAtLowRatio);
}

double interference_model::targetUtilisation(int serving) const
{
    return std::max(0.0, 1 - unloadedRatio(serving) / aimedRatio);
}

double interference_model::utilisation(int serving, double latencyRatio) const
{
    const double unloaded = unloadedRatio(serving);
    if (latencyRatio <= unloaded)
        return 0;
    return std::min(maxUtilisation, 1 - unloaded / latencyRatio);
}

double interference_model::coefficient(int filling, int serving) const
{
    const auto &beside = m_filling[std::size_t(filling)].beside;
    return std::size_t(serving) < beside.size() ? beside[std::size_t(serving)].coefficient
                                                : unknownCoefficient;
}

double interference_model::coefficient(const std::string &filling, const std::string &serving) const
{
    const auto first = m_fillingIndexes.find(filling);
    const auto second = m_servingIndexes.find(serving);
    if (first == m_fillingIndexes.end() || second == m_servingIndexes.end())
        return unknownCoefficient;
    return coefficient(first->second, second->second);
}

std::vector<double> interference_model::coefficientsOf(const std::string &filling) const
{
    std::vector<double> coefficients(m_serving.size(), unknownCoefficient);
    const auto found = m_fillingIndexes.find(filling);
    if (found == m_fillingIndexes.end())
        return coefficients;
    const auto &beside = m_filling[std::size_t(found->second)].beside;
    for (std::size_t serving = 0; serving < beside.size(); ++serving)
        coefficients[serving] = beside[serving].coefficient;
    return coefficients;
}

double interference_model::added(int serving, const std::vector<interfering_share> &shares) const
{
    double sum = 0;
    for (const interfering_share &s : shares)
        sum += coefficient(s.filling, serving) * s.share;
    return sum;
}

double interference_model::usualLoad(int serving) const
{
    return m_serving[std::size_t(serving)].usualLoad;
}

// Returns the coefficient for modification and marks it as known.
double &interference_model::knownCoefficient(int filling, int serving)
{
    filling_record &image = m_filling[std::size_t(filling)];
    if (image.beside.empty())
        m_fillingImages.insert(*image.name);
    if (std::size_t(serving) >= image.beside.size())
        image.beside.resize(std::size_t(serving) + 1, {unknownCoefficient, false});
    pair_record &pair = image.beside[std::size_t(serving)];
    pair.isKnown = true;
    return pair.coefficient;
}

double interference_model::observe(int serving, double latencyRatio, double load,
                                   const std::vector<interfering_share> &shares)
{
    serving_record &record = m_serving[std::size_t(serving)];
    record.lowRatio
        += lowRatioGain * (latencyRatio < record.lowRatio ? lowQuantile - 1 : lowQuantile);
    const double error = utilisation(serving, latencyRatio) - load - added(serving, shares);
    double squares = shareRegularisation;
    for (const interfering_share &s : shares)
        squares += s.share * s.share;
    for (const interfering_share &s : shares) {
        double &coefficient = knownCoefficient(s.filling, serving);
        coefficient = std::clamp(coefficient + coefficientGain * error * s.share / squares, 0.0,
                                 maxCoefficient);
    }
    const double corrected = std::clamp(load + loadGain * error, 0.0, maxLoad);
    record.usualLoad += usualLoadGain * (corrected - record.usualLoad);
    return corrected;
}

std::string interference_model::encode() const
{
    std::string text;
    for (const auto &[filling, fillingIndex] : m_fillingIndexes) {
        const auto &beside = m_filling[std::size_t(fillingIndex)].beside;
        for (const auto &[serving, servingIndex] : m_servingIndexes) {
            const auto index = std::size_t(servingIndex);
            if (index < beside.size() && beside[index].isKnown)
                text += fmt::format("{} {} {:.3f}\n", toWord(filling), toWord(serving),
                                    beside[index].coefficient);
        }
    }
    return text;
}

void interference_model::decode(const std::string &text)
{
    std::istringstream lines(text);
    std::string filling;
    std::string serving;
    double coefficient = 0;
    while (lines >> std::quoted(filling) >> std::quoted(serving) >> coefficient)
        knownCoefficient(indexOfFilling(filling), indexOfServing(serving))
            = std::clamp(coefficient, 0.0, maxCoefficient);
}

} // namespace crocuswind::scheduler
