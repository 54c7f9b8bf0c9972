/// Defines metrics as values and how they are written in the Prometheus text exposition format.
#ifndef CROCUSWIND_PROTOCOL_METRICS_TEXT_H
#define CROCUSWIND_PROTOCOL_METRICS_TEXT_H

#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace crocuswind {

/// Label names with their values.
using metric_labels = std::map<std::string, std::string>;

/// One series of a counter or gauge, or one summary.
struct metric_series
{
    metric_labels labels;
    double value = 0; ///< Counters and gauges; for a summary, the sum of all values.
    std::uint64_t count = 0; ///< Summaries.
    std::vector<std::pair<double, double>> quantiles; ///< Summaries: quantile and its value.
};

/// All series of one name.
struct metric_family
{
    enum class metric_kind { counter, gauge, summary };

    std::string name;
    std::string help;
    metric_kind kind = metric_kind::counter;
    std::vector<metric_series> series;
};

/// Writes the families in the given order, in text format 0.0.4. Characters that a name may not
/// hold are written as `_`.
std::string toMetricsText(const std::vector<metric_family> &families);

/// The content type of the text.
inline constexpr const char *metricsContentType = "text/plain; version=0.0.4; charset=utf-8";

} // namespace crocuswind

#endif
