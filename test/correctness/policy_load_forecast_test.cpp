// Guards against forecasts of a load that are late or wrong, and against a period that is not
// there.

#include "policy/policy.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <cmath>
#include <fmt/format.h>
#include <functional>
#include <vector>

using namespace crocuswind;
using namespace crocuswind::policy;

namespace {

constexpr duration stepTime = 10ms;

double seconds(instant at)
{
    return double(at.time_since_epoch().count()) / 1e6;
}

/// Workers that each report the load of one image about every 0.45 s, as its mean over the half
/// second before, with noise.
class reporting_fleet
{
public:
    reporting_fleet(int workers, std::function<double(double)> load)
        : m_workers(workers)
        , m_load(std::move(load))
    { }

    void run(duration time)
    {
        for (const instant end = now + time; now < end; now += stepTime) {
            for (int worker = 0; worker < m_workers; ++worker) {
                if (now.time_since_epoch() / stepTime % 45 == worker * 17 % 45)
                    report(worker);
            }
            forecast.update(now);
            if (!forecast.isUsable(now))
                continue;
            const double ahead = seconds(now + 500ms);
            const double error = forecast.loadAt(now + 500ms) - m_load(ahead);
            const double errorOfLast = m_load(seconds(now - 250ms)) - m_load(ahead);
            sumOfErrors += std::abs(error);
            sumOfErrorsOfLast += std::abs(errorOfLast);
            ++checks;
            periodsClaimed += forecast.summary(now).period ? 1 : 0;
        }
    }

    void clearCounts()
    {
        sumOfErrors = sumOfErrorsOfLast = 0;
        checks = periodsClaimed = 0;
    }

    instant now = instant() + 1000s;
    load_forecast forecast;
    int checks = 0; ///< Steps in which the forecast was usable.
    int periodsClaimed = 0; ///< Steps of these with a period.
    double sumOfErrors = 0; ///< Of forecasts for 0.5 s ahead.
    double sumOfErrorsOfLast = 0; ///< The same with the newest load instead of a forecast.

private:
    void report(int worker)
    {
        const instant measuredAt = now - 250ms;
        double mean = 0;
        for (int i = -2; i <= 2; ++i)
            mean += m_load(seconds(measuredAt + i * 100ms)) / 5;
        forecast.observe(fmt::format("w{}", worker),
                         {measuredAt, mean + 0.1 * (m_random.fraction() - 0.5), 1});
    }

    int m_workers;
    std::function<double(double)> m_load;
    seeded_random m_random{7};
};

double swing(double at, double period)
{
    return 0.42 + 0.21 * std::sin(2 * M_PI * at / period);
}

} // namespace

TEST(LoadForecast, FindsThePeriodOfASwing)
{
    for (const double period : {4.0, 10.0, 13.0}) {
        SCOPED_TRACE(period);
        reporting_fleet fleet(40, [&](double at) { return swing(at, period); });
        fleet.run(8s);
        EXPECT_LE(fleet.sumOfErrors, fleet.sumOfErrorsOfLast);
        fleet.run(25s);
        fleet.clearCounts();
        fleet.run(10s);
        EXPECT_GT(fleet.periodsClaimed, 900);
        EXPECT_LT(fleet.sumOfErrors, 0.25 * fleet.sumOfErrorsOfLast);
        const forecast_summary summary = fleet.forecast.summary(fleet.now);
        EXPECT_NEAR(double(summary.period.value().count()) / 1e6, period, 0.06 * period);
        EXPECT_NEAR(summary.amplitude, 0.21, 0.05);
        EXPECT_EQ(summary.sources, 40);
    }
}

// With the period that other loads have shown, a load is forecast before it has shown one itself.
TEST(LoadForecast, UsesASuggestedPeriod)
{
    const auto load = [](double at) { return swing(at, 10); };
    reporting_fleet alone(14, load);
    reporting_fleet told(14, load);
    told.forecast.suggestPeriod(10s);
    alone.run(12s);
    told.run(12s);
    EXPECT_EQ(alone.periodsClaimed, 0);
    EXPECT_GT(told.periodsClaimed, 200);
    EXPECT_LT(told.sumOfErrors, 0.8 * alone.sumOfErrors);
}

// A random walk looks like part of a swing at any moment, and so do random levels.
TEST(LoadForecast, ClaimsNoPeriodOfARandomLoad)
{
    for (const double inertia : {1.0, 0.0}) {
        SCOPED_TRACE(inertia);
        int claimed = 0;
        int checks = 0;
        for (std::uint64_t seed = 1; seed <= 20; ++seed) {
            seeded_random random(seed);
            std::vector<double> levels = {0.4};
            for (int i = 0; i < 700; ++i) {
                const double center = inertia * levels.back() + (1 - inertia) * 0.4;
                levels.push_back(std::clamp(center + 0.08 * (random.fraction() - 0.5), 0.1, 0.7));
            }
            reporting_fleet fleet(40, [&](double at) {
                const double position = std::max(0.0, (at - 995) * 10);
                const auto index = std::size_t(position);
                const double part = position - double(index);
                return levels[index] * (1 - part) + levels[index + 1] * part;
            });
            fleet.run(60s);
            claimed += fleet.periodsClaimed;
            checks += fleet.checks;
        }
        EXPECT_GT(checks, 60000);
        EXPECT_LT(claimed, checks / 200);
    }
}

TEST(LoadForecast, IsNotUsedWithFewWorkersOrOldSamplesOrLargeErrors)
{
    const auto steady = [](double) { return 0.4; };
    reporting_fleet few(2, steady);
    few.run(10s);
    EXPECT_EQ(few.checks, 0);

    reporting_fleet silent(40, steady);
    silent.run(10s);
    EXPECT_TRUE(silent.forecast.isUsable(silent.now));
    EXPECT_FALSE(silent.forecast.isUsable(silent.now + 2s));

    seeded_random random(3);
    std::vector<double> levels;
    for (int i = 0; i < 200; ++i)
        levels.push_back(random.fraction());
    reporting_fleet jumping(40,
                            [&](double at) { return levels[std::size_t(at * 2) % levels.size()]; });
    jumping.run(10s);
    jumping.clearCounts();
    jumping.run(20s);
    EXPECT_EQ(jumping.checks, 0);
}
