/// Defines the metrics of a process: counters, gauges and summaries of durations.
#ifndef CROCUSWIND_IO_METRICS_REGISTRY_H
#define CROCUSWIND_IO_METRICS_REGISTRY_H

#include "protocol/metrics_text.h"

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

namespace crocuswind {

/// Collects metrics and returns them as families or as Prometheus text. A metric is created when it
/// is first used. The number of series is bounded: at the bound, new label sets of a family share
/// one series with the label `overflow="true"`, so that a flood of label values cannot exhaust the
/// memory.
class metrics_registry
{
public:
    explicit metrics_registry(std::size_t maxSeries = 4096);
    ~metrics_registry();
    metrics_registry(const metrics_registry &) = delete;
    metrics_registry &operator=(const metrics_registry &) = delete;

    /// Sets the help text of a family. A family without one is written without a HELP line.
    void describe(std::string_view family, std::string_view help);

    /// Adds to a counter; \p amount must not be negative.
    void add(std::string_view family, const metric_labels &labels, double amount = 1);

    /// Sets a counter to a total that is counted elsewhere; the total must never decrease.
    void setTotal(std::string_view family, const metric_labels &labels, double total);

    /// Sets a gauge.
    void set(std::string_view family, const metric_labels &labels, double value);

    /// Adds one value to a summary, which reports sum, count and the quantiles 0.5, 0.9, 0.99 and
    /// 0.999, estimated by the P-square method over the lifetime of the process.
    void observe(std::string_view family, const metric_labels &labels, double value);

    /// Returns all families, sorted by name, with their series sorted by labels.
    std::vector<metric_family> families() const;

    /// Returns the Prometheus text of all families.
    std::string text() const;

private:
    struct implementation;
    std::unique_ptr<implementation> m_implementation;
};

} // namespace crocuswind

#endif
