#include "job_metrics.h"

#include <cstdint>
#include <utility>

namespace crocuswind {

using namespace scheduler;

void setJobMetrics(metrics_registry &metrics, const scheduler_core &core, const job_router &router,
                   const relayed_worker_link &workers)
{
    const scheduler_counters &c = core.counters();
    const std::pair<const char *, std::int64_t> totals[] = {
        {"crocuswind_jobs_accepted_total", c.accepted},
        {"crocuswind_jobs_refused_total", c.refused},
        {"crocuswind_starts_total", c.starts},
        {"crocuswind_starts_unanswered_total", c.startsUnanswered},
        {"crocuswind_starts_rejected_total", c.startsRejected},
        {"crocuswind_stops_total", c.stops},
        {"crocuswind_worker_polls_total", c.polls},
        {"crocuswind_pace_orders_total", c.paces},
        {"crocuswind_serving_over_target_milliseconds_total", c.servingOverTargetMs},
        {"crocuswind_commits_total", c.commits},
        {"crocuswind_tasks_done_total", c.completionsDone},
        {"crocuswind_tasks_failed_total", c.completionsFailed},
        {"crocuswind_runs_lost_total", c.runsLost},
        {"crocuswind_calls_total", router.counters().calls},
        {"crocuswind_calls_repeated_total", router.counters().resends},
        {"crocuswind_calls_unanswered_total", router.counters().unanswered},
        {"crocuswind_replies_foreign_total", router.counters().foreignReplies},
    };
    for (const auto &[name, total] : totals)
        metrics.setTotal(name, {}, double(total));
    metrics.setTotal("crocuswind_commands_relayed_total", {}, double(workers.relayedCommands()));
    metrics.setTotal("crocuswind_results_foreign_total", {}, double(workers.foreignResults()));
    metrics.set("crocuswind_relays", {}, double(workers.relayCount()));
    metrics.set("crocuswind_owner", {}, core.isOwner() ? 1 : 0);
    metrics.set("crocuswind_jobs_known", {}, double(c.jobsKnown));
    metrics.set("crocuswind_load_forecasts_usable", {}, double(c.forecastsUsable));
    metrics.set("crocuswind_load_forecast_error", {}, c.forecastError);
    metrics.set("crocuswind_tasks_waiting", {}, double(c.tasksWaiting));
    metrics.set("crocuswind_evacuated_data_centres", {}, double(c.evacuatedDataCentres));
}

} // namespace crocuswind
