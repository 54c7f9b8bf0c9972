/// Forecasts the load of an image from what all workers report of its tasks. Tasks of one image
/// behave alike, so many workers together show within tenths of a second what one worker shows
/// within seconds.
#ifndef CROCUSWIND_POLICY_LOAD_FORECAST_H
#define CROCUSWIND_POLICY_LOAD_FORECAST_H

#include "base/base.h"

#include <deque>
#include <optional>
#include <string>
#include <unordered_map>

namespace crocuswind::policy {

/// One measurement of the load of an image on a worker.
struct load_sample
{
    instant measuredAt; ///< The middle of the time over which the worker has measured.
    double load = 0; ///< Utilisation from 0 to 1, without what other images add.
    double weight = 1; ///< Above 0; smaller if the load is uncertain.
};

/// The state of a forecast, for logs and metrics. Loads are utilisations from 0 to 1.
struct forecast_summary
{
    double level = 0; ///< Load now.
    double risePerSecond = 0; ///< Change of the load now.
    std::optional<duration> period; ///< Nothing unless the load has shown one.
    double amplitude = 0; ///< Half of the swing over a period; 0 without one.
    double error = 0; ///< Mean absolute error of recent forecasts, made `checkedAhead` before.
    double spread = 0; ///< Standard deviation of single samples from their mean.
    duration age = duration::zero(); ///< Since the newest sample was measured.
    int sources = 0; ///< Workers that reported within the last second or so.
    bool isUsable = false; ///< See load_forecast::isUsable().
};

/// The load of one image over the last half minute, with two models of how it goes on: a damped
/// trend (Gardner and McKenzie, Forecasting trends in time series, 1985), and a harmonic regression
/// on the best period of a grid. Each model is checked against what came later, and the harmonic
/// one is used only while its checked error is the smaller one, so that a load without a period
/// gets none. Instants of successive calls may decrease by a few seconds.
class load_forecast
{
public:
    /// Forecasts are checked for this time ahead of the newest sample.
    static constexpr duration checkedAhead = 800ms;

    /// Forecasts are meant for up to this time ahead.
    static constexpr duration longestAhead = 2s;

    /// Records a sample of the worker \p source.
    void observe(const std::string &source, const load_sample &sample);

    /// Names a period that other loads of the same kind have shown. It is tried before the history
    /// is long enough to show one.
    void suggestPeriod(duration period) { m_suggestedSeconds = double(period.count()) / 1e6; }

    /// Brings the models up to date. Call it before queries; it does nothing most times.
    void update(instant now);

    /// Returns true if the load of the last second is known: enough workers report it, and the
    /// newest samples are recent.
    bool isCurrent(instant now) const;

    /// Returns true if the load is also known ahead: recent forecasts were right.
    bool isUsable(instant now) const;

    /// Returns the expected load at \p at, from 0 to 1. Beyond `longestAhead` it stays as it is.
    double loadAt(instant at) const;

    /// Returns the highest expected load from \p from to \p until.
    double highestLoad(instant from, instant until) const;

    /// Returns the mean load over the history, or over a period if there is one.
    double meanLoad() const;

    /// Returns how much the load may exceed a forecast, from recent errors.
    double margin() const;

    /// Returns the state for logs and metrics.
    forecast_summary summary(instant now) const;

private:
    /// The samples of a tenth of a second.
    struct load_bin
    {
        double weight = 0;
        double sum = 0; ///< Of weight times load.

        double mean() const { return sum / weight; }
    };

    /// A line through the samples of the last second, whose rise fades.
    struct damped_trend
    {
        double level = 0; ///< At `m_fittedAt`.
        double rise = 0; ///< A second.
    };

    /// mean + cosine * cos(angle) + sine * sin(angle), with the angle from `m_origin` on.
    struct harmonic
    {
        double periodSeconds = 0;
        double mean = 0;
        double cosine = 0;
        double sine = 0;
        double unexplained = 1; ///< Share of the variance that the fit leaves.
        double recentResidual = 0; ///< Mean difference of the newest samples from the fit.
    };

    /// Forecasts for one bin, to be checked when its samples are there.
    struct pending_check
    {
        std::int64_t bin = 0;
        double trend = 0;
        std::optional<double> swing;
    };

    /// A moving average of absolute errors.
    struct checked_error
    {
        double mean = 0;
        int checks = 0;

        void add(double error);
    };

    static std::int64_t binOf(instant at);
    static double secondsOf(std::int64_t bin);
    load_bin *binFor(std::int64_t bin);
    void fitTrend();
    void fitHarmonic();
    std::optional<harmonic> searchPeriod() const;
    harmonic fitPeriod(double periodSeconds) const;
    void updateResidual();
    void check(std::int64_t closedBin);
    double trendAt(double seconds) const;
    double harmonicAt(const harmonic &fit, double seconds) const;
    bool isPeriodShown() const;
    const checked_error &presentError() const;
    double modelAt(double seconds) const;

    std::deque<load_bin> m_bins; ///< The last one has the number `m_lastBin`.
    std::int64_t m_lastBin = 0;
    std::int64_t m_closedBin = 0; ///< Bins up to this one are checked and fitted.
    std::int64_t m_nextHarmonicBin = 0;
    int m_harmonicFits = 0;
    double m_suggestedSeconds = 0; ///< 0 without a suggestion.
    double m_fittedAt = 0; ///< End of the fitted bins, in seconds.
    bool m_isFitted = false;
    damped_trend m_trend;
    std::optional<harmonic> m_harmonic;
    std::deque<pending_check> m_checks;
    checked_error m_trendError;
    checked_error m_harmonicError;
    double m_squaredDeviation = 0; ///< Moving average over samples, from the mean of their bin.
    std::unordered_map<std::string, instant> m_sources; ///< When each was measured last.
    instant m_newest;
};

} // namespace crocuswind::policy

#endif
