/// Keeps a forecast of the load of each step with a latency target, which the reports of all its
/// workers feed, and derives what load is to be expected on a worker. Private to the package.
#ifndef CROCUSWIND_SCHEDULER_SERVING_LOAD_H
#define CROCUSWIND_SCHEDULER_SERVING_LOAD_H

#include "job_model.h"
#include "policy/policy.h"

#include <cstdint>
#include <map>
#include <string>
#include <utility>

namespace crocuswind::scheduler {

struct scheduler_state;
struct serving_image;
struct worker_record;
struct bound_run;

/// The load of the tasks of one step with a latency target. They swing together. Steps of the same
/// image swing alike, but not at the same time.
struct step_load
{
    std::string image;
    int runs = 0; ///< Bound runs, which refer to this.
    policy::load_forecast forecast;
    /// Expected loads, cached because each start and each report on a worker asks for them.
    instant cachedAt;
    bool isUsable = false; ///< The load ahead is known.
    double soon = 0; ///< Highest load until a pace that follows the next report has taken effect.
    double later = 0; ///< Highest load over the usual run of a best-effort task.
};

/// By job and number of the step.
using step_loads = std::map<std::pair<job_name, int>, step_load>;

/// Time over latency targets since the last line of the log.
struct over_target_summary
{
    std::int64_t taskMs = 0; ///< Of all serving tasks beside best-effort tasks.
    int workers = 0; ///< Reports with such a task.
    double worstRatio = 0;
    std::string worst; ///< Describes the report with the highest ratio of latency to target.
};

/// Adds a run of the step, and returns its load.
step_load *bindLoad(scheduler_state &state, const job_name &job, int step,
                    const std::string &image);

/// Removes a run.
void unbindLoad(step_load &load);

/// Learns from the latest report of the worker: feeds the forecasts of its tasks, and the model of
/// interference with the means of each image. `scheduler_state::shares` has the shares that
/// best-effort images used.
void learnServingLoads(scheduler_state &state, worker_record &worker);

/// Sets the loads to expect for each serving image of the worker.
void updateExpectedLoads(scheduler_state &state, worker_record &worker);

/// Logs the forecasts and the time over targets once a second, and sets the metrics on them.
/// Forgets steps that have ended.
void reportServingLoads(scheduler_state &state);

} // namespace crocuswind::scheduler

#endif
