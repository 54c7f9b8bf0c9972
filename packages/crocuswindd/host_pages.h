/// Defines the pages that show the state of an entry host: the status as JSON, and the gauges that
/// are updated on each request for the metrics.
#ifndef CROCUSWIND_CROCUSWINDD_HOST_PAGES_H
#define CROCUSWIND_CROCUSWINDD_HOST_PAGES_H

#include "cluster_adapter.h"
#include "settings.h"

#include "batch/batch.h"
#include "urgent/urgent.h"

#include <string>
#include <vector>

namespace crocuswind {

/// The state that the pages show.
struct host_page_sources
{
    const daemon_settings &settings;
    incarnation incarnationNumber;
    const cluster_adapter &cluster;
    request_counts requests;
    std::vector<shard_status> shards;
    std::string notReady; ///< Empty if the host is ready.
};

/// Sets the help texts of all metrics of the daemon.
void describeMetrics(metrics_registry &metrics);

/// Copies the current counts of the cores into the gauges and totals of \p metrics.
void setGauges(metrics_registry &metrics, const host_page_sources &sources);

/// Returns the body of `GET /v1/status`.
std::string statusBody(const host_page_sources &sources);

} // namespace crocuswind

#endif
