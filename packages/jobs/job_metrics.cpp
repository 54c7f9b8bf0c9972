#include "job_metrics.h"

#include <cstdint>
#include <utility>

namespace crocuswind {

using namespace scheduler;

void setJobMetrics(metrics_registry &metrics, const scheduler_core &core, const job_router &router,
                   const relayed_worker_link &workers, const store_paths &paths)
{
    const scheduler_counters &c = core.counters();
    const std::pair<const char *, std::int64_t> totals[] = {
        {"crocuswind_jobs_accepted_total", c.accepted},
        {"crocuswind_jobs_refused_total", c.refused},
        {"crocuswind_jobs_refused_for_load_total", c.refusedForLoad},
        {"crocuswind_load_forecasts_right_total", c.forecastsRight},
        {"crocuswind_load_forecasts_too_good_total", c.forecastsTooGood},
        {"crocuswind_load_forecasts_too_bad_total", c.forecastsTooBad},
        {"crocuswind_starts_total", c.starts},
        {"crocuswind_starts_unanswered_total", c.startsUnanswered},
        {"crocuswind_starts_rejected_total", c.startsRejected},
        {"crocuswind_stops_total", c.stops},
        {"crocuswind_worker_polls_total", c.polls},
        {"crocuswind_pace_orders_total", c.paces},
        {"crocuswind_commits_total", c.commits},
        {"crocuswind_passes_held_back_total", c.passesHeldBack},
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
    const store_detour_counters &detour = paths.detour.counters();
    metrics.setTotal("crocuswind_store_detours_total", {}, double(detour.begun));
    metrics.setTotal("crocuswind_store_calls_by_others_total", {}, double(detour.operations));
    metrics.setTotal("crocuswind_store_calls_for_others_total", {},
                     double(paths.helper.operations()));
    router.held().setMetrics(metrics);
    metrics.set("crocuswind_relays", {}, double(workers.relayCount()));
    metrics.set("crocuswind_owner", {}, core.isOwner() ? 1 : 0);
    metrics.set("crocuswind_jobs_known", {}, double(c.jobsKnown));
    metrics.set("crocuswind_jobs_given_up", {}, double(c.jobsGivenUp));
    metrics.set("crocuswind_forecast_delay_seconds", {}, double(c.forecastDelayMs) / 1e3);
    metrics.set("crocuswind_tasks_waiting", {}, double(c.tasksWaiting));
    metrics.set("crocuswind_polls_held", {}, double(c.pollsHeld));
    metrics.set("crocuswind_idle_poll_seconds", {}, double(c.idlePollMs) / 1e3);
    metrics.set("crocuswind_evacuated_data_centres", {}, double(c.evacuatedDataCentres));
}

} // namespace crocuswind
