#include "interference_model.h"

#include <algorithm>
#include <fmt/format.h>
#include <iomanip>
#include <sstream>

namespace crocuswind::scheduler {

namespace {

/// Of an image that was never seen beside the serving image.
constexpr double unknownCoefficient = 1.2;
constexpr double maxCoefficient = 12;

/// A serving task's own utilisation before it was observed.
constexpr double unknownLoad = 0.45;
constexpr double maxLoad = 0.75;

/// The ratio of latency to target below which a tenth of the observations lie, before any was made,
/// and the utilisation that belongs to it.
constexpr double unknownLowRatio = 0.3;
constexpr double utilisationAtLowRatio = 0.25;
constexpr double lowQuantile = 0.1;
constexpr double lowRatioGain = 0.01;

/// The ratio of tail latency to target that work in idle room may bring about. Images differ in how
/// near their unloaded latency is to their target, so one utilisation for all would be over the
/// target of some.
constexpr double aimedRatio = 0.75;

/// Above it, latency says only that there is too much work.
constexpr double maxUtilisation = 0.99;

// Parts of an error that are attributed to the load and to the coefficients.
constexpr double loadGain = 0.25;
constexpr double usualLoadGain = 0.02;
constexpr double coefficientGain = 0.2;
/// Keeps tiny shares from taking the whole blame.
constexpr double shareRegularisation = 0.01;

// Names are chosen by callers: those that do not read back as one word are quoted.
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

double interference_model::unloadedRatio(const std::string &serving) const
{
    const auto found = m_serving.find(serving);
    const double low = found == m_serving.end() ? unknownLowRatio : found->second.lowRatio;
    return low * (1 - utilisationAtLowRatio);
}

double interference_model::targetUtilisation(const std::string &serving) const
{
    return std::max(0.0, 1 - unloadedRatio(serving) / aimedRatio);
}

double interference_model::utilisation(const std::string &serving, double latencyRatio) const
{
    const double unloaded = unloadedRatio(serving);
    if (latencyRatio <= unloaded)
        return 0;
    return std::min(maxUtilisation, 1 - unloaded / latencyRatio);
}

double interference_model::coefficient(const std::string &filling, const std::string &serving) const
{
    const auto found = m_coefficients.find({filling, serving});
    return found == m_coefficients.end() ? unknownCoefficient : found->second;
}

int interference_model::indexOf(const std::string &serving)
{
    return m_indexes.try_emplace(serving, int(m_indexes.size())).first->second;
}

std::vector<double> interference_model::coefficientsOf(const std::string &filling) const
{
    std::vector<double> coefficients(m_indexes.size());
    for (const auto &[serving, index] : m_indexes)
        coefficients[std::size_t(index)] = coefficient(filling, serving);
    return coefficients;
}

double interference_model::added(const std::string &serving,
                                 const std::vector<interfering_share> &shares) const
{
    double sum = 0;
    for (const interfering_share &s : shares)
        sum += coefficient(s.image, serving) * s.share;
    return sum;
}

double interference_model::usualLoad(const std::string &serving) const
{
    const auto found = m_serving.find(serving);
    return found == m_serving.end() ? unknownLoad : found->second.usualLoad;
}

double interference_model::observe(const std::string &serving, double latencyRatio, double load,
                                   const std::vector<interfering_share> &shares)
{
    serving_record &record
        = m_serving.try_emplace(serving, serving_record{unknownLowRatio, unknownLoad})
              .first->second;
    record.lowRatio
        += lowRatioGain * (latencyRatio < record.lowRatio ? lowQuantile - 1 : lowQuantile);
    const double error = utilisation(serving, latencyRatio) - load - added(serving, shares);
    double squares = shareRegularisation;
    for (const interfering_share &s : shares)
        squares += s.share * s.share;
    for (const interfering_share &s : shares) {
        double &coefficient
            = m_coefficients.try_emplace({s.image, serving}, unknownCoefficient).first->second;
        m_fillingImages.insert(s.image);
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
    for (const auto &[pair, coefficient] : m_coefficients)
        text += fmt::format("{} {} {:.3f}\n", toWord(pair.first), toWord(pair.second), coefficient);
    return text;
}

void interference_model::decode(const std::string &text)
{
    std::istringstream lines(text);
    std::string filling;
    std::string serving;
    double coefficient = 0;
    while (lines >> std::quoted(filling) >> std::quoted(serving) >> coefficient) {
        m_coefficients[{filling, serving}] = std::clamp(coefficient, 0.0, maxCoefficient);
        m_fillingImages.insert(filling);
    }
}

} // namespace crocuswind::scheduler
