#include "metrics_registry.h"

#include "base/base.h"

#include <algorithm>
#include <array>
#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/extended_p_square.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <utility>
#include <variant>
#include <vector>

namespace crocuswind {

namespace {

namespace accumulators = boost::accumulators;

constexpr std::array<double, 4> quantiles = {0.5, 0.9, 0.99, 0.999};

// The P-square estimate is undefined until it has one value for each of its markers (2 for each
// quantile and 3 more). The first values are therefore stored, and quantiles are computed exactly
// while there are no more values than this.
constexpr std::size_t exactSampleCount = 32;

class summary
{
public:
    summary()
        : m_estimate(accumulators::extended_p_square_probabilities = quantiles)
    { }

    void observe(double value)
    {
        ++m_count;
        m_sum += value;
        m_estimate(value);
        if (m_firstValues.size() < exactSampleCount)
            m_firstValues.push_back(value);
    }

    void writeTo(metric_series &series) const
    {
        series.value = m_sum;
        series.count = m_count;
        std::vector<double> sorted = m_firstValues;
        std::sort(sorted.begin(), sorted.end());
        for (std::size_t i = 0; i < quantiles.size(); ++i) {
            const double value = m_count <= exactSampleCount
                ? sorted[std::size_t(quantiles[i] * double(sorted.size() - 1) + 0.5)]
                : accumulators::extended_p_square(m_estimate)[i];
            series.quantiles.emplace_back(quantiles[i], value);
        }
    }

private:
    using estimate
        = accumulators::accumulator_set<double,
                                        accumulators::stats<accumulators::tag::extended_p_square>>;

    estimate m_estimate;
    std::vector<double> m_firstValues;
    std::uint64_t m_count = 0;
    double m_sum = 0;
};

using series_state = std::variant<double, summary>;

struct family_state
{
    std::string help;
    std::optional<metric_family::metric_kind> kind;
    std::map<metric_labels, series_state> series;
};

} // namespace

struct metrics_registry::implementation
{
    series_state &seriesOf(std::string_view name, metric_family::metric_kind kind,
                           const metric_labels &labels)
    {
        family_state &family = familyOf(name);
        CROCUSWIND_INVARIANT(!family.kind || *family.kind == kind,
                             "metric is used with two different kinds: " + std::string(name));
        family.kind = kind;
        const auto found = family.series.find(labels);
        if (found != family.series.end())
            return found->second;
        const bool isFull = seriesCount >= maxSeries;
        const metric_labels &used = isFull ? overflowLabels : labels;
        const auto [created, isNew] = family.series.try_emplace(used);
        if (isNew) {
            seriesCount += isFull ? 0 : 1;
            if (kind == metric_family::metric_kind::summary)
                created->second = summary();
        }
        return created->second;
    }

    family_state &familyOf(std::string_view name)
    {
        const auto found = families.find(name);
        return found != families.end() ? found->second : families[std::string(name)];
    }

    const metric_labels overflowLabels = {{"overflow", "true"}};
    std::size_t maxSeries = 0;
    std::size_t seriesCount = 0;
    std::map<std::string, family_state, std::less<>> families;
};

metrics_registry::metrics_registry(std::size_t maxSeries)
    : m_implementation(std::make_unique<implementation>())
{
    m_implementation->maxSeries = maxSeries;
}

metrics_registry::~metrics_registry() = default;

void metrics_registry::describe(std::string_view family, std::string_view help)
{
    m_implementation->familyOf(family).help = help;
}

void metrics_registry::add(std::string_view family, const metric_labels &labels, double amount)
{
    CROCUSWIND_INVARIANT(amount >= 0, "a counter must not decrease: " + std::string(family));
    std::get<double>(
        m_implementation->seriesOf(family, metric_family::metric_kind::counter, labels))
        += amount;
}

void metrics_registry::setTotal(std::string_view family, const metric_labels &labels, double total)
{
    std::get<double>(
        m_implementation->seriesOf(family, metric_family::metric_kind::counter, labels))
        = total;
}

void metrics_registry::set(std::string_view family, const metric_labels &labels, double value)
{
    std::get<double>(m_implementation->seriesOf(family, metric_family::metric_kind::gauge, labels))
        = value;
}

void metrics_registry::observe(std::string_view family, const metric_labels &labels, double value)
{
    std::get<summary>(
        m_implementation->seriesOf(family, metric_family::metric_kind::summary, labels))
        .observe(value);
}

std::vector<metric_family> metrics_registry::families() const
{
    std::vector<metric_family> all;
    for (const auto &[name, state] : m_implementation->families) {
        if (!state.kind)
            continue;
        metric_family family{name, state.help, *state.kind, {}};
        for (const auto &[labels, series] : state.series) {
            metric_series written;
            written.labels = labels;
            if (const auto *s = std::get_if<summary>(&series))
                s->writeTo(written);
            else
                written.value = std::get<double>(series);
            family.series.push_back(std::move(written));
        }
        all.push_back(std::move(family));
    }
    return all;
}

std::string metrics_registry::text() const
{
    return toMetricsText(families());
}

} // namespace crocuswind
