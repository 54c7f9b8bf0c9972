/// Defines the pages that show the state of an entry host: the status as JSON, and the gauges that
/// are read when the metrics are asked for.
#ifndef CROCUSWIND_CROCUSWINDD_HOST_PAGES_H
#define CROCUSWIND_CROCUSWINDD_HOST_PAGES_H

#include "cluster_adapter.h"
#include "settings.h"

#include "batch/batch.h"
#include "urgent/urgent.h"

#include <string>
#include <vector>

namespace crocuswind {

/// What the pages are made from.
struct host_page_sources
{
    const daemon_settings &settings;
    incarnation life;
    const cluster_adapter &cluster;
    request_counts requests;
    std::vector<shard_status> shards;
    std::string notReady; ///< Empty if the host is ready.
};

/// Sets the help texts of all metrics of the daemon.
void describeMetrics(metrics_registry &metrics);

/// Sets the gauges and totals that the cores count.
void setGauges(metrics_registry &metrics, const host_page_sources &sources);

/// Returns the body of `GET /v1/status`.
std::string statusBody(const host_page_sources &sources);

} // namespace crocuswind

#endif
