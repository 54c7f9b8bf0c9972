/// Copies the counters of the scheduler, the router and the relays into the metrics registry.
#ifndef CROCUSWIND_JOBS_JOB_METRICS_H
#define CROCUSWIND_JOBS_JOB_METRICS_H

#include "io/io.h"
#include "job_router.h"
#include "relayed_worker_link.h"
#include "scheduler/scheduler.h"
#include "store_paths.h"

namespace crocuswind {

/// Sets all metrics of the jobs of one entry host, except those of load_report.
void setJobMetrics(metrics_registry &metrics, const scheduler::scheduler_core &core,
                   const job_router &router, const relayed_worker_link &workers,
                   const store_paths &paths);

} // namespace crocuswind

#endif
