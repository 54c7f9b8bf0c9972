#include "load_forecast.h"

#include <algorithm>
#include <cmath>
#include <complex>

namespace crocuswind::policy {

namespace {

constexpr duration binLength = 100ms;
constexpr double binSeconds = 0.1;

/// Length of the history.
constexpr std::int64_t maxBins = 300;

/// A bin is fitted once this much later samples have come: reports of the same time arrive within
/// this time of each other.
constexpr std::int64_t openBins = 2;

/// The trend follows the bins of this time.
constexpr std::int64_t trendBins = 10;
/// The rise of the trend fades with this time constant.
constexpr double trendFadeSeconds = 1.5;
/// Pulls the rise towards 0, as if by this many squared seconds of bins without a rise.
constexpr double riseRegularisation = 0.2;

/// The difference of the newest bins from the harmonic fades with this time constant.
constexpr double residualFadeSeconds = 1.5;
constexpr std::int64_t residualBins = 6;

/// Grid of periods, in seconds, and the history that one must have been seen for, in periods.
constexpr double shortestPeriod = 2;
constexpr double periodRatio = 1.06;
constexpr double minPeriodsSeen = 1.35;
/// The same for a suggested period, which is taken if it explains nearly as much as the best one.
constexpr double minSuggestedPeriodsSeen = 0.4;
constexpr double advantageOfSuggestion = 1.2;
/// Number of fits from one search for the period to the next.
constexpr int fitsPerSearch = 4;
/// Time between two fits of the harmonic, in bins.
constexpr std::int64_t harmonicInterval = 10;
/// A period shows only if it leaves at most this share of the variance.
constexpr double maxUnexplained = 0.25;
/// It must be better by this factor than the trend in checked forecasts.
constexpr double neededAdvantage = 0.75;

/// Moving average of errors: the share of a new one, and the number before it counts.
constexpr double errorGain = 0.04;
constexpr int minChecks = 8;

/// Share of a new squared deviation in the moving average.
constexpr double deviationGain = 0.01;

/// The forecast is not used with fewer workers, a larger mean error, or older samples.
constexpr int minSources = 3;
constexpr double maxError = 0.1;
constexpr duration maxAge = 1s;
/// A worker counts that has reported within this time.
constexpr duration sourceTime = 1500ms;

/// The mean absolute error times this bounds most errors.
constexpr double marginOfError = 1.0;

/// Steps in which the highest load is searched for.
constexpr duration searchStep = 100ms;

double toSeconds(instant at)
{
    return double(at.time_since_epoch().count()) / 1e6;
}

} // namespace

void load_forecast::checked_error::add(double error)
{
    ++checks;
    // The first errors count alike, so that the average does not start at 0.
    const double gain = std::max(errorGain, 1.0 / checks);
    mean += gain * (error - mean);
}

std::int64_t load_forecast::binOf(instant at)
{
    return at.time_since_epoch() / binLength;
}

// Returns the middle of the bin.
double load_forecast::secondsOf(std::int64_t bin)
{
    return (double(bin) + 0.5) * binSeconds;
}

// Returns the bin, or null if it is no longer kept.
load_forecast::load_bin *load_forecast::binFor(std::int64_t bin)
{
    if (m_bins.empty() || bin - m_lastBin >= maxBins) {
        m_bins.assign(1, {});
        m_checks.clear();
        m_lastBin = bin;
        m_closedBin = bin - 1;
    }
    for (; m_lastBin < bin; ++m_lastBin)
        m_bins.emplace_back();
    while (std::int64_t(m_bins.size()) > maxBins)
        m_bins.pop_front();
    const std::int64_t fromEnd = m_lastBin - bin;
    return fromEnd < std::int64_t(m_bins.size()) ? &m_bins[m_bins.size() - 1 - std::size_t(fromEnd)]
                                                 : nullptr;
}

void load_forecast::observe(const std::string &source, const load_sample &sample)
{
    load_bin *const bin = binFor(binOf(sample.measuredAt));
    if (bin == nullptr)
        return;
    if (bin->weight > 0) {
        const double deviation = sample.load - bin->mean();
        m_squaredDeviation += deviationGain * (deviation * deviation - m_squaredDeviation);
    }
    bin->weight += sample.weight;
    bin->sum += sample.weight * sample.load;
    instant &last = m_sources[source];
    last = std::max(last, sample.measuredAt);
    m_newest = std::max(m_newest, sample.measuredAt);
}

void load_forecast::update(instant now)
{
    if (m_bins.empty())
        return;
    const std::int64_t closed = std::min(m_lastBin, binOf(m_newest)) - openBins;
    if (closed <= m_closedBin)
        return;
    for (std::int64_t bin = m_closedBin + 1; bin <= closed; ++bin)
        check(bin);
    m_closedBin = closed;
    for (auto source = m_sources.begin(); source != m_sources.end();)
        source = now - source->second > sourceTime ? m_sources.erase(source) : std::next(source);
    m_fittedAt = secondsOf(closed);
    fitTrend();
    if (closed >= m_nextHarmonicBin) {
        m_nextHarmonicBin = closed + harmonicInterval;
        fitHarmonic();
    }
    updateResidual();
    const std::int64_t target = closed + openBins + checkedAhead / binLength;
    const double seconds = secondsOf(target);
    m_checks.push_back({target, trendAt(seconds), std::nullopt});
    if (m_harmonic)
        m_checks.back().swing = harmonicAt(*m_harmonic, seconds);
}

// Compares earlier forecasts for the bin with its samples.
void load_forecast::check(std::int64_t closedBin)
{
    while (!m_checks.empty() && m_checks.front().bin < closedBin)
        m_checks.pop_front();
    const load_bin *const bin = binFor(closedBin);
    if (m_checks.empty() || m_checks.front().bin != closedBin || bin == nullptr || bin->weight <= 0)
        return;
    const pending_check &made = m_checks.front();
    m_trendError.add(std::abs(made.trend - bin->mean()));
    if (made.swing)
        m_harmonicError.add(std::abs(*made.swing - bin->mean()));
    m_checks.pop_front();
}

// Fits a line to the newest closed bins by weighted least squares.
void load_forecast::fitTrend()
{
    double weight = 0;
    double sumTime = 0;
    double sumLoad = 0;
    const auto forEach = [&](auto use) {
        for (std::int64_t bin = m_closedBin - trendBins + 1; bin <= m_closedBin; ++bin) {
            const load_bin *const samples = binFor(bin);
            if (samples != nullptr && samples->weight > 0)
                use(secondsOf(bin) - m_fittedAt, *samples);
        }
    };
    forEach([&](double time, const load_bin &bin) {
        weight += bin.weight;
        sumTime += bin.weight * time;
        sumLoad += bin.sum;
    });
    if (weight <= 0)
        return;
    m_isFitted = true;
    const double meanTime = sumTime / weight;
    const double meanLoad = sumLoad / weight;
    double covariance = 0;
    double variance = riseRegularisation;
    forEach([&](double time, const load_bin &bin) {
        covariance += bin.weight * (time - meanTime) * (bin.mean() - meanLoad);
        variance += bin.weight * (time - meanTime) * (time - meanTime);
    });
    m_trend.rise = covariance / variance;
    m_trend.level = meanLoad - m_trend.rise * meanTime;
}

double load_forecast::trendAt(double seconds) const
{
    const double ahead = seconds - m_fittedAt;
    // Behind the end of the fit, the line is straight.
    const double faded
        = ahead <= 0 ? ahead : trendFadeSeconds * (1 - std::exp(-ahead / trendFadeSeconds));
    return m_trend.level + m_trend.rise * faded;
}

// Fits a harmonic of the given period to the whole history by weighted least squares.
load_forecast::harmonic load_forecast::fitPeriod(double periodSeconds) const
{
    // Normal equations of the columns 1, cosine, sine and the load.
    double a[3][4] = {};
    double squares = 0;
    const std::int64_t first = m_lastBin - std::int64_t(m_bins.size()) + 1;
    const double frequency = 2 * M_PI / periodSeconds;
    // The angle grows by the same step with each bin, so one multiplication replaces its functions.
    std::complex<double> angle = std::polar(1.0, frequency * secondsOf(first));
    const std::complex<double> step = std::polar(1.0, frequency * binSeconds);
    for (std::int64_t bin = first; bin <= m_closedBin; ++bin, angle *= step) {
        const load_bin &samples = m_bins[std::size_t(bin - first)];
        if (samples.weight <= 0)
            continue;
        const double load = samples.mean();
        const double row[4] = {1, angle.real(), angle.imag(), load};
        for (int i = 0; i < 3; ++i) {
            for (int j = 0; j < 4; ++j)
                a[i][j] += samples.weight * row[i] * row[j];
        }
        squares += samples.weight * load * load;
    }
    const double weight = a[0][0];
    const double sum = a[0][3];
    const double right[3] = {a[0][3], a[1][3], a[2][3]};
    harmonic fit;
    fit.periodSeconds = periodSeconds;
    // Gauss-Jordan elimination. A small ridge keeps it regular.
    for (int i = 0; i < 3; ++i)
        a[i][i] += 1e-6 * weight + 1e-12;
    for (int i = 0; i < 3; ++i) {
        for (int k = 0; k < 3; ++k) {
            if (k == i)
                continue;
            const double factor = a[k][i] / a[i][i];
            for (int j = i; j < 4; ++j)
                a[k][j] -= factor * a[i][j];
        }
    }
    fit.mean = a[0][3] / a[0][0];
    fit.cosine = a[1][3] / a[1][1];
    fit.sine = a[2][3] / a[2][2];
    const double explained = fit.mean * right[0] + fit.cosine * right[1] + fit.sine * right[2];
    const double variance = squares - sum * sum / std::max(weight, 1e-12);
    fit.unexplained = variance <= 1e-12 ? 1 : (squares - explained) / variance;
    return fit;
}

// Returns the fit whose period explains the history best, or nothing if the history is too short.
std::optional<load_forecast::harmonic> load_forecast::searchPeriod() const
{
    const double seen = double(m_bins.size()) * binSeconds;
    std::optional<harmonic> best;
    const auto consider = [&](double period) {
        const harmonic fit = fitPeriod(period);
        if (!best || fit.unexplained < best->unexplained)
            best = fit;
    };
    for (double period = shortestPeriod; period * minPeriodsSeen <= seen; period *= periodRatio)
        consider(period);
    if (best) {
        const double coarse = best->periodSeconds;
        for (const double factor : {0.98, 0.99, 1.01, 1.02})
            consider(coarse * factor);
    }
    if (m_suggestedSeconds > 0 && m_suggestedSeconds * minSuggestedPeriodsSeen <= seen) {
        const harmonic fit = fitPeriod(m_suggestedSeconds);
        if (!best || fit.unexplained <= best->unexplained * advantageOfSuggestion)
            best = fit;
    }
    return best;
}

// Fits the harmonic to the history. The search for the period takes most of the time and is made
// only now and then.
void load_forecast::fitHarmonic()
{
    const bool isSearchDue = !m_harmonic || m_harmonicFits++ % fitsPerSearch == 0;
    const std::optional<harmonic> fit
        = isSearchDue ? searchPeriod() : fitPeriod(m_harmonic->periodSeconds);
    m_harmonic = fit && fit->unexplained <= maxUnexplained ? fit : std::nullopt;
    if (!m_harmonic)
        m_harmonicError = {};
}

void load_forecast::updateResidual()
{
    if (!m_harmonic)
        return;
    m_harmonic->recentResidual = 0;
    double weight = 0;
    double sum = 0;
    for (std::int64_t bin = m_closedBin - residualBins + 1; bin <= m_closedBin; ++bin) {
        const load_bin *const samples = binFor(bin);
        if (samples == nullptr)
            continue;
        weight += samples->weight;
        sum += samples->sum - samples->weight * harmonicAt(*m_harmonic, secondsOf(bin));
    }
    m_harmonic->recentResidual = weight > 0 ? sum / weight : 0;
}

double load_forecast::harmonicAt(const harmonic &fit, double seconds) const
{
    const double angle = 2 * M_PI / fit.periodSeconds * seconds;
    const double ahead = std::max(0.0, seconds - m_fittedAt);
    return fit.mean + fit.cosine * std::cos(angle) + fit.sine * std::sin(angle)
        + fit.recentResidual * std::exp(-ahead / residualFadeSeconds);
}

bool load_forecast::isPeriodShown() const
{
    return m_harmonic && m_harmonicError.checks >= minChecks
        && m_harmonicError.mean < neededAdvantage * m_trendError.mean;
}

const load_forecast::checked_error &load_forecast::presentError() const
{
    return isPeriodShown() ? m_harmonicError : m_trendError;
}

double load_forecast::modelAt(double seconds) const
{
    return isPeriodShown() ? harmonicAt(*m_harmonic, seconds) : trendAt(seconds);
}

bool load_forecast::isCurrent(instant now) const
{
    return int(m_sources.size()) >= minSources && now - m_newest <= maxAge && m_isFitted;
}

bool load_forecast::isUsable(instant now) const
{
    const checked_error &error = presentError();
    return isCurrent(now) && error.checks >= minChecks && error.mean <= maxError;
}

double load_forecast::loadAt(instant at) const
{
    const double last = m_fittedAt + double(longestAhead.count()) / 1e6;
    return std::clamp(modelAt(std::min(toSeconds(at), last)), 0.0, 1.0);
}

double load_forecast::highestLoad(instant from, instant until) const
{
    double highest = loadAt(until);
    for (instant at = from; at < until; at += searchStep)
        highest = std::max(highest, loadAt(at));
    return highest;
}

double load_forecast::meanLoad() const
{
    if (isPeriodShown())
        return m_harmonic->mean;
    load_bin all;
    for (const load_bin &bin : m_bins) {
        all.weight += bin.weight;
        all.sum += bin.sum;
    }
    return all.weight > 0 ? all.mean() : 0;
}

double load_forecast::margin() const
{
    return marginOfError * presentError().mean;
}

forecast_summary load_forecast::summary(instant now) const
{
    forecast_summary result;
    result.level = loadAt(now);
    const double step = 0.05;
    const double seconds = toSeconds(now);
    result.risePerSecond = (modelAt(seconds + step) - modelAt(seconds - step)) / (2 * step);
    if (isPeriodShown()) {
        result.period = duration(std::int64_t(m_harmonic->periodSeconds * 1e6));
        result.amplitude = std::hypot(m_harmonic->cosine, m_harmonic->sine);
    }
    result.error = presentError().mean;
    result.spread = std::sqrt(m_squaredDeviation);
    result.age = now - m_newest;
    result.sources = int(m_sources.size());
    result.isUsable = isUsable(now);
    return result;
}

} // namespace crocuswind::policy
