#include "serving_load.h"

#include "scheduler_state.h"

#include <algorithm>
#include <fmt/format.h>

namespace crocuswind::scheduler {

namespace {

/// A worker's measurement is of this time up to its report.
constexpr duration measuredTime = 500ms;

/// Time from a report until the pace that follows the next report has taken effect.
constexpr duration untilNextPace = 700ms;

/// How far ahead starts of best-effort tasks look. Later, their pace can be reduced.
constexpr duration runTime = 1500ms;

/// A sample has half of the usual weight where best-effort tasks add this utilisation, because what
/// they add is not known exactly.
constexpr double halfWeightAddition = 0.1;

/// Expected loads are cached for this time.
constexpr duration cacheTime = 50ms;

constexpr duration reportInterval = 1s;

/// The forecast of a step without runs is kept for this time, for runs that are moved.
constexpr duration keptWithoutRuns = 5s;

/// The period of an image is known once this many steps have shown one.
constexpr int minPeriodicSteps = 2;

/// At most this many images are logged at a time.
constexpr std::size_t maxLoggedImages = 16;

step_load &refreshed(const scheduler_state &state, step_load &load)
{
    if (state.now - load.cachedAt < cacheTime)
        return load;
    load.cachedAt = state.now;
    load.isUsable = load.forecast.isUsable(state.now);
    if (load.isUsable) {
        const double mean = load.forecast.meanLoad();
        load.soon = load.forecast.highestLoad(state.now, state.now + untilNextPace) - mean;
        load.later = load.forecast.highestLoad(state.now, state.now + runTime) - mean;
    }
    return load;
}

instant measuredAt(const scheduler_state &state)
{
    return state.now - measuredTime / 2;
}

// Returns true if the run has reported a latency. A task that is still starting up has few users,
// so its latency is not representative.
bool isMeasured(const bound_run &run)
{
    return run.serving != nullptr && run.task->progressPercent == 100 && run.task->measurement > 0;
}

double ratioOf(const bound_run &run)
{
    return double(run.task->measurement) / double(run.step->latencyTargetMs);
}

// Returns the load of the tasks of the image on the worker without a forecast.
double ownEstimate(const scheduler_state &state, const serving_image &serving)
{
    return serving.isLoadKnown ? serving.load : state.interference.typicalLoad(serving.image);
}

// Sets the mean load to presume for each image while its latency was measured, before what the
// measurement shows is learned.
void presumeLoads(scheduler_state &state, worker_record &worker)
{
    for (auto &[image, serving] : worker.serving) {
        serving.presumedSwing = 0;
        serving.isLoadShared = true;
    }
    for (const auto &[name, run] : worker.runs) {
        if (!isMeasured(run))
            continue;
        const step_load &load = refreshed(state, *run.load);
        run.serving->isLoadShared = run.serving->isLoadShared && load.isUsable;
        if (load.isUsable)
            run.serving->presumedSwing
                += (load.forecast.loadAt(measuredAt(state)) - load.forecast.meanLoad())
                / run.serving->working;
    }
}

// Passes the latency of each serving task, less what best-effort tasks add, to the forecast of its
// step.
void observeTasks(scheduler_state &state, const worker_record &worker)
{
    for (const auto &[name, run] : worker.runs) {
        if (!isMeasured(run))
            continue;
        const int serving = run.serving->image;
        const double added = state.interference.addedUtilisation(serving, state.shares);
        const double load = state.interference.utilisation(serving, ratioOf(run)) - added;
        const double doubt = added / halfWeightAddition;
        run.load->forecast.observe(
            worker.info.id.value,
            {measuredAt(state), std::clamp(load, 0.0, 1.0), 1 / (1 + doubt * doubt)});
        run.load->forecast.update(state.now);
    }
}

/// What is logged of the forecasts of an image.
struct image_summary
{
    int steps = 0;
    int usable = 0;
    int periodic = 0;
    duration period = duration::zero(); ///< Sum over the periodic ones.
    double amplitude = 0; ///< Sum over the periodic ones.
    double error = 0; ///< Sum over the usable ones.
    double highestError = 0;
    double spread = 0; ///< Sum over all.
    duration highestAge = duration::zero(); ///< Of the usable ones.
};

void add(image_summary &sum, const policy::forecast_summary &step)
{
    ++sum.steps;
    sum.spread += step.spread;
    if (!step.isUsable)
        return;
    ++sum.usable;
    sum.error += step.error;
    sum.highestError = std::max(sum.highestError, step.error);
    sum.highestAge = std::max(sum.highestAge, step.age);
    if (step.period) {
        ++sum.periodic;
        sum.period += *step.period;
        sum.amplitude += step.amplitude;
    }
}

void logImage(const scheduler_state &state, const std::string &image, const image_summary &sum)
{
    const int usable = std::max(1, sum.usable);
    const int periodic = std::max(1, sum.periodic);
    state.ports.log("load_forecast",
                    fmt::format("image={} steps={} usable={} periodic={} period_ms={} "
                                "amplitude={:.3f} error={:.3f} highest_error={:.3f} spread={:.3f} "
                                "age_ms={}",
                                image, sum.steps, sum.usable, sum.periodic,
                                sum.period / periodic / 1ms, sum.amplitude / periodic,
                                sum.error / usable, sum.highestError, sum.spread / sum.steps,
                                sum.highestAge / 1ms));
}

void reportForecasts(scheduler_state &state)
{
    std::map<std::string, image_summary> images;
    double errors = 0;
    std::int64_t usable = 0;
    for (const auto &[key, load] : state.stepLoads) {
        const policy::forecast_summary summary = load.forecast.summary(state.now);
        add(images[load.image], summary);
        usable += summary.isUsable ? 1 : 0;
        errors += summary.isUsable ? summary.error : 0;
    }
    for (auto &[key, load] : state.stepLoads) {
        const image_summary &sum = images.at(load.image);
        if (sum.periodic >= minPeriodicSteps)
            load.forecast.suggestPeriod(sum.period / sum.periodic);
    }
    std::size_t logged = 0;
    for (const auto &[image, sum] : images) {
        if (logged++ < maxLoggedImages)
            logImage(state, image, sum);
    }
    state.counters.forecastsUsable = usable;
    state.counters.forecastError = usable > 0 ? errors / double(usable) : 0;
}

void reportOverTarget(scheduler_state &state)
{
    const over_target_summary summary = std::exchange(state.overTarget, {});
    if (summary.workers > 0)
        state.ports.log("over_target",
                        fmt::format("task_ms={} reports={} {}", summary.taskMs, summary.workers,
                                    summary.worst));
}

void forgetEndedSteps(scheduler_state &state)
{
    for (auto next = state.stepLoads.begin(); next != state.stepLoads.end();) {
        const step_load &load = next->second;
        const bool isOver
            = load.runs == 0 && load.forecast.summary(state.now).age >= keptWithoutRuns;
        next = isOver ? state.stepLoads.erase(next) : std::next(next);
    }
}

} // namespace

step_load *bindLoad(scheduler_state &state, const job_name &job, int step, const std::string &image)
{
    step_load &load = state.stepLoads[{job, step}];
    load.image = image;
    ++load.runs;
    return &load;
}

void unbindLoad(step_load &load)
{
    --load.runs;
}

void learnServingLoads(scheduler_state &state, worker_record &worker)
{
    presumeLoads(state, worker);
    observeTasks(state, worker);
    for (auto &[image, serving] : worker.serving) {
        if (serving.meanRatio <= 0)
            continue;
        serving.presumedLoad = ownEstimate(state, serving) + serving.presumedSwing;
        serving.load = state.interference.observe(serving.image, serving.meanRatio,
                                                  serving.presumedLoad, state.shares,
                                                  serving.isLoadShared)
            - serving.presumedSwing;
        serving.isLoadKnown = true;
    }
}

void updateExpectedLoads(scheduler_state &state, worker_record &worker)
{
    for (auto &[image, serving] : worker.serving) {
        serving.isForecast = true;
        serving.loadSoon = 0;
        serving.loadLater = 0;
    }
    for (const auto &[name, run] : worker.runs) {
        if (run.serving == nullptr)
            continue;
        serving_image &serving = *run.serving;
        const step_load &load = refreshed(state, *run.load);
        serving.isForecast = serving.isForecast && load.isUsable;
        const double typical = state.interference.typicalLoad(serving.image);
        const double soon = serving.load + (load.isUsable ? load.soon : 0);
        const double later
            = std::max(serving.load, typical) + (load.isUsable ? load.later : 0);
        serving.loadSoon = std::max(serving.loadSoon, soon);
        serving.loadLater = std::max(serving.loadLater, later);
    }
}

void reportServingLoads(scheduler_state &state)
{
    if (state.now < state.nextServingReportAt)
        return;
    state.nextServingReportAt = state.now + reportInterval;
    forgetEndedSteps(state);
    reportForecasts(state);
    reportOverTarget(state);
}

} // namespace crocuswind::scheduler
