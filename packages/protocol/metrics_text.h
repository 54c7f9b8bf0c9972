/// Defines metrics as values and formats them in the Prometheus text exposition format.
#ifndef CROCUSWIND_PROTOCOL_METRICS_TEXT_H
#define CROCUSWIND_PROTOCOL_METRICS_TEXT_H

#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace crocuswind {

/// Maps label names to their values.
using metric_labels = std::map<std::string, std::string>;

/// One series of a counter or gauge, or one summary.
struct metric_series
{
    metric_labels labels;
    double value = 0; ///< Value of a counter or gauge; sum of all values of a summary.
    std::uint64_t count = 0; ///< Summaries only: number of values.
    std::vector<std::pair<double, double>> quantiles; ///< Summaries only: quantile and value.
};

/// All series of one metric name.
struct metric_family
{
    enum class metric_kind { counter, gauge, summary };

    std::string name;
    std::string help;
    metric_kind kind = metric_kind::counter;
    std::vector<metric_series> series;
};

/// Formats the families in the given order, in text format 0.0.4. Replaces characters that are
/// invalid in a name by `_`.
std::string toMetricsText(const std::vector<metric_family> &families);

/// The `Content-Type` of the text that toMetricsText() returns.
inline constexpr const char *metricsContentType = "text/plain; version=0.0.4; charset=utf-8";

} // namespace crocuswind

#endif
