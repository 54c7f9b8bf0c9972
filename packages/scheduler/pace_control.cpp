#include "pace_control.h"

#include "discovery_age.h"
#include "disruption_budget.h"
#include "fair_share.h"
#include "serving_load.h"
#include "task_lifecycle.h"
#include "worker_chooser.h"
#include "yielding_runs.h"

#include <algorithm>
#include <fmt/format.h>
#include <numeric>

namespace crocuswind::scheduler {

namespace {

/// Minimum headroom of best-effort tasks, also beside serving tasks under high load.
constexpr double minHeadroom = 0.05;

/// Above this ratio of latency to target, the interference at the present paces is reduced to this
/// fraction with each report, whatever headroom the model sees.
constexpr double overTargetRatio = 1.0;
constexpr double overTargetCut = 0.4;

/// From this ratio of latency to target, or this pressure, a serving task may soon be over its
/// target.
constexpr double nearTargetRatio = 0.7;
constexpr double nearTargetPressure = 0.7;

constexpr int paceStepPercent = 10;

/// A run below this pace is paused, because its progress does not justify its interference.
constexpr int minPacePercent = 10;

/// A run at or below this pace for longer than `slowLimit` is moved to another worker if possible.
constexpr int slowPacePercent = 60;
constexpr duration slowLimit = 800ms;

/// A report shows for this time at most, and for not longer than since the last one, whether a
/// serving task was over its target.
constexpr duration longestTimeOfReport = 1s;

/// Maximum number of runs moved away from a worker per report.
constexpr int maxMovesPerReport = 4;

double capacityOf(const worker_record &worker)
{
    return std::max<double>(1, double(worker.info.capacity.milliCores));
}

// Aggregates the measurements of the latest report by image.
void aggregateMeasurements(worker_record &worker)
{
    for (auto &[image, serving] : worker.serving) {
        serving.latencyRatio = 0;
        serving.meanRatio = 0;
        serving.working = 0;
        serving.overTarget = 0;
    }
    for (auto &[image, bestEffort] : worker.bestEffort)
        bestEffort.usedShare = 0;
    for (const auto &[name, run] : worker.runs) {
        const task_state &task = *run.task;
        if (run.bestEffort != nullptr)
            run.bestEffort->usedShare += double(task.measurement) / capacityOf(worker);
        // A task that is still starting up has few users, so its latency is not representative.
        if (run.serving != nullptr && task.progressPercent == 100 && task.measurement > 0) {
            serving_image &serving = *run.serving;
            const double ratio = double(task.measurement) / double(run.step->latencyTargetMs);
            serving.latencyRatio = std::max(serving.latencyRatio, ratio);
            serving.meanRatio += 1 / ratio; // The sum of the inverse ratios, until the loop ends.
            ++serving.working;
            serving.overTarget += ratio > overTargetRatio ? 1 : 0;
        }
    }
    for (auto &[image, serving] : worker.serving)
        serving.meanRatio = serving.working > 0 ? serving.working / serving.meanRatio : 0;
}

// Returns pace and used share of each best-effort image on the worker, as text.
std::string describeBestEffort(const worker_record &worker)
{
    std::string text;
    for (const auto &[image, bestEffort] : worker.bestEffort)
        text += fmt::format("{}{}:{}:{:.2f}", text.empty() ? "" : ",", image,
                            bestEffort.pacePercent, bestEffort.usedShare);
    return text;
}

// Counts the time for which serving tasks beside best-effort tasks are over their target, up to the
// worker's latest report, and notes the worst report for the log.
void noteTimeOverTarget(scheduler_state &state, worker_record &worker)
{
    const duration time = std::min(state.now - worker.targetsCheckedAt, longestTimeOfReport);
    worker.targetsCheckedAt = state.now;
    for (const auto &[image, serving] : worker.serving) {
        if (serving.overTarget == 0 || worker.bestEffort.empty())
            continue;
        state.counters.servingOverTargetMs += serving.overTarget * (time / 1ms);
        over_target_summary &summary = state.overTarget;
        summary.taskMs += serving.overTarget * (time / 1ms);
        ++summary.workers;
        if (serving.latencyRatio <= summary.worstRatio)
            continue;
        summary.worstRatio = serving.latencyRatio;
        summary.worst = fmt::format("worker={} image={} latency_ratio={:.2f} load={:.2f} "
                                    "pressure={:.2f} best_effort={}",
                                    worker.info.id.value, image, serving.latencyRatio, serving.load,
                                    bestEffortPressure(worker), describeBestEffort(worker));
    }
}

// Returns the processor shares that the worker's best-effort images used. The result is a shared
// buffer, valid until the next call of this function or wantedShares().
const std::vector<interfering_share> &usedShares(scheduler_state &state,
                                                 const worker_record &worker)
{
    state.shares.clear();
    for (const auto &[image, bestEffort] : worker.bestEffort)
        state.shares.push_back({bestEffort.image, bestEffort.usedShare});
    return state.shares;
}

// Returns the processor shares that the worker's best-effort images would use at full pace. Uses
// the same buffer as usedShares().
const std::vector<interfering_share> &wantedShares(scheduler_state &state,
                                                   const worker_record &worker)
{
    state.shares.clear();
    for (const auto &[image, bestEffort] : worker.bestEffort)
        state.shares.push_back(
            {bestEffort.image, double(bestEffort.wantedMilliCores) / capacityOf(worker)});
    return state.shares;
}

void learn(scheduler_state &state, worker_record &worker)
{
    usedShares(state, worker);
    learnServingLoads(state, worker);
}

// Returns the utilisation that best-effort tasks may add at the given load.
double headroom(const interference_model &model, const serving_image &serving, double load)
{
    return std::max(minHeadroom, model.targetUtilisation(serving.image, serving.isForecast) - load);
}

// Returns the utilisation that each best-effort image of the worker would add to the serving image
// at full pace, in the order of the images.
std::vector<double> interferenceOn(const interference_model &model, const worker_record &worker,
                                   int serving)
{
    std::vector<double> added;
    added.reserve(worker.bestEffort.size());
    for (const auto &[image, bestEffort] : worker.bestEffort)
        added.push_back(model.coefficient(bestEffort.image, serving)
                        * double(bestEffort.wantedMilliCores) / capacityOf(worker));
    return added;
}

// Returns the present paces of the worker's best-effort images as fractions, in the order of the
// images.
std::vector<double> presentPaces(const worker_record &worker)
{
    std::vector<double> paces;
    paces.reserve(worker.bestEffort.size());
    for (const auto &[image, bestEffort] : worker.bestEffort)
        paces.push_back(bestEffort.pacePercent / 100.0);
    return paces;
}

// Lowers the paces until the images add at most \p limit to the utilisation of a serving image.
// \p added is what they add at full pace. The images share the limit by max-min fairness: those
// that add the most are slowed down to the same addition, the others are not.
void limitPaces(const std::vector<double> &added, double limit, std::vector<double> &paces)
{
    std::vector<double> present;
    present.reserve(paces.size());
    for (std::size_t i = 0; i < paces.size(); ++i)
        present.push_back(added[i] * paces[i]);
    const double highest = fairShare(present, limit);
    for (std::size_t i = 0; i < paces.size(); ++i) {
        if (present[i] > highest)
            paces[i] = highest / added[i];
    }
}

// Returns the factor by which the interference with a serving image over its target has to change,
// from the interference that the latency shows to what the load to expect leaves room for.
double cutOverTarget(const interference_model &model, const serving_image &serving)
{
    const double shown
        = model.utilisation(serving.image, serving.latencyRatio) - serving.presumedLoad;
    const double room = headroom(model, serving, serving.loadSoon);
    return shown <= room ? overTargetCut : std::min(overTargetCut, room / shown);
}

// Returns the paces at which the interference stays within the headroom of each serving image, as
// fractions, in the order of the best-effort images.
std::vector<double> sustainablePaces(const interference_model &model, const worker_record &worker)
{
    std::vector<double> paces(worker.bestEffort.size(), 1.0);
    for (const auto &[name, serving] : worker.serving) {
        const std::vector<double> added = interferenceOn(model, worker, serving.image);
        limitPaces(added, headroom(model, serving, serving.loadSoon), paces);
        if (serving.latencyRatio <= overTargetRatio)
            continue;
        std::vector<double> cut = presentPaces(worker);
        const double present = std::inner_product(added.begin(), added.end(), cut.begin(), 0.0);
        limitPaces(added, present * cutOverTarget(model, serving), cut);
        std::transform(paces.begin(), paces.end(), cut.begin(), paces.begin(),
                       [](double a, double b) { return std::min(a, b); });
    }
    return paces;
}

// Rounds a pace down to the steps in which paces change.
int toPercent(double pace)
{
    const int percent = int(pace * 100) / paceStepPercent * paceStepPercent;
    return percent < minPacePercent ? 0 : percent;
}

void sendPace(scheduler_state &state, const worker_record &worker, const task_name &name,
              task_state &task, int percent)
{
    if (task.phase != task_phase::running || task.pacePercent == percent)
        return;
    task.pacePercent = percent;
    ++state.counters.paces;
    state.ports.pace({worker.info.id, name, task.lastRun, percent, state.epoch});
}

void setPace(scheduler_state &state, const worker_record &worker, const std::string &image,
             best_effort_image &bestEffort, int percent)
{
    if (bestEffort.pacePercent == percent)
        return;
    state.logDetail("pace", [&] {
        return fmt::format("worker={} image={} from={} to={} used_share={:.2f} pressure={:.2f}",
                           worker.info.id.value, image, bestEffort.pacePercent, percent,
                           bestEffort.usedShare, bestEffortPressure(worker));
    });
    if (bestEffort.pacePercent > slowPacePercent && percent <= slowPacePercent)
        bestEffort.slowSince = state.now;
    bestEffort.pacePercent = percent;
}

// Returns the pace of a best-effort run on the worker.
int paceOf(const worker_record &worker, const bound_run &run)
{
    return run.isYielding ? yieldingPace(worker) : run.bestEffort->pacePercent;
}

bool isWorthMoving(const step_spec &step, const task_state &task, int pacePercent)
{
    if (task.phase != task_phase::running)
        return false;
    return step.savesProgress || pacePercent == 0 || task.progressPercent <= maxLostProgressPercent;
}

/// Checks whether runs of one worker can move to another worker. The result is cached for runs with
/// equal requirements, because each choice examines all workers and most runs of an image differ
/// only in their job.
class target_search
{
public:
    target_search(scheduler_state &state, const worker_record &from)
        : m_state(state)
        , m_from(from)
    { }

    /// Returns true if another worker can take the run.
    bool hasTarget(const bound_run &run)
    {
        const auto known = std::find_if(m_answers.begin(), m_answers.end(),
                                        [&](const answer &a) { return isSameKind(*a.run, run); });
        if (known != m_answers.end())
            return known->hasTarget;
        const worker_record *target = choose(run);
        m_answers.push_back({&run, target != nullptr && target != &m_from});
        return m_answers.back().hasTarget;
    }

private:
    // Starts may be held back now, and a run that is stopped to be moved could then not start.
    const worker_record *choose(const bound_run &run)
    {
        if (areWorkersOutdated(m_state))
            return nullptr;
        return refreshedChooser(m_state).choose(
            {run.step, run.job->policy.service, nullptr, rack_id(), 1});
    }

    struct answer
    {
        const bound_run *run;
        bool hasTarget;
    };

    // Returns true if both runs have the same requirements for the choice of a worker.
    static bool isSameKind(const bound_run &a, const bound_run &b)
    {
        return a.step == b.step
            || (a.bestEffort == b.bestEffort && a.serving == b.serving
                && a.step->size == b.step->size && a.step->requiredLabel == b.step->requiredLabel
                && a.job->policy.service == b.job->policy.service);
    }

    scheduler_state &m_state;
    const worker_record &m_from;
    std::vector<answer> m_answers;
};

void logMove(scheduler_state &state, const worker_record &worker, const task_name &name,
             const bound_run &run)
{
    state.logDetail("move", [&] {
        return fmt::format("job={} task={} from={} pace={} progress={}", name.job.value,
                           toString(name), worker.info.id.value, run.bestEffort->pacePercent,
                           run.task->progressPercent);
    });
}

// Stops best-effort runs that have been slow for too long and can move to another worker. They
// resume from their checkpoint.
void moveSlowRuns(scheduler_state &state, worker_record &worker)
{
    target_search search(state, worker);
    disruption_budget budget(state);
    int moves = 0;
    for (const auto &[name, run] : worker.runs) {
        if (run.bestEffort == nullptr || run.isYielding || moves >= maxMovesPerReport)
            continue;
        const best_effort_image &bestEffort = *run.bestEffort;
        task_state &task = *run.task;
        const bool isSlow = bestEffort.pacePercent <= slowPacePercent
            && state.now - bestEffort.slowSince >= slowLimit;
        if (!isSlow || !isWorthMoving(*run.step, task, bestEffort.pacePercent)
            || !search.hasTarget(run) || !budget.take(name, run))
            continue;
        logMove(state, worker, name, run);
        sendStop(state, name, task);
        ++moves;
    }
}

void sendPaces(scheduler_state &state, const worker_record &worker)
{
    for (const auto &[name, run] : worker.runs) {
        if (run.bestEffort != nullptr)
            sendPace(state, worker, name, *run.task, paceOf(worker, run));
    }
}

// Lowers the paces of the worker to what the model says is sustainable with a run that has begun
// since the latest report. Only a report raises paces.
void lowerPaces(scheduler_state &state, worker_record &worker)
{
    if (worker.serving.empty())
        return;
    updateExpectedLoads(state, worker);
    const std::vector<double> paces = sustainablePaces(state.interference, worker);
    auto pace = paces.begin();
    for (auto &[image, bestEffort] : worker.bestEffort)
        setPace(state, worker, image, bestEffort,
                std::min(bestEffort.pacePercent, toPercent(*pace++)));
    sendPaces(state, worker);
}

} // namespace

bool mayInterfere(const worker_record &worker)
{
    return !worker.serving.empty() && worker.bestEffortMilliCores > 0;
}

bool isNearLatencyTarget(const worker_record &worker)
{
    const bool isPaced
        = std::any_of(worker.bestEffort.begin(), worker.bestEffort.end(),
                      [](const auto &entry) { return entry.second.pacePercent < 100; });
    const bool isNear
        = std::any_of(worker.serving.begin(), worker.serving.end(), [](const auto &entry) {
              return entry.second.latencyRatio > nearTargetRatio;
          });
    return isPaced || isNear || bestEffortPressure(worker) > nearTargetPressure;
}

double bestEffortPressure(const worker_record &worker)
{
    double highest = 0;
    for (const interference_budget &budget : worker.budgets)
        highest = std::max(highest, budget.addedUtilisation / budget.headroom);
    return highest;
}

double bestEffortPressure(const worker_record &worker, const std::vector<double> &coefficients,
                          std::int64_t milliCores)
{
    const double share = double(milliCores) / capacityOf(worker);
    double highest = 0;
    for (const interference_budget &budget : worker.budgets) {
        const double addedUtilisation
            = budget.addedUtilisation + coefficients[std::size_t(budget.serving)] * share;
        highest = std::max(highest, addedUtilisation / budget.headroom);
    }
    return highest;
}

void updateBudgets(scheduler_state &state, worker_record &worker)
{
    worker.budgets.clear();
    if (worker.serving.empty())
        return;
    updateExpectedLoads(state, worker);
    const auto &shares = wantedShares(state, worker);
    for (const auto &[image, serving] : worker.serving) {
        worker.budgets.push_back({serving.image,
                                  state.interference.addedUtilisation(serving.image, shares),
                                  headroom(state.interference, serving, serving.loadLater)});
    }
}

void controlPace(scheduler_state &state, worker_record &worker)
{
    aggregateMeasurements(worker);
    learn(state, worker);
    updateBudgets(state, worker);
    noteTimeOverTarget(state, worker);
    if (worker.bestEffort.empty())
        return;
    const std::vector<double> paces = sustainablePaces(state.interference, worker);
    auto pace = paces.begin();
    for (auto &[image, bestEffort] : worker.bestEffort)
        setPace(state, worker, image, bestEffort, toPercent(*pace++));
    sendPaces(state, worker);
    moveSlowRuns(state, worker);
}

void handlePaceResult(scheduler_state &state, const pace_command &command,
                      const command_result &result)
{
    if (result.outcome == command_outcome::done)
        return;
    if (result.outcome == command_outcome::no_answer)
        state.ports.fenceEarlierCommands(command.worker);
    task_state *task = state.findTask(command.task);
    if (task != nullptr && task->lastRun == command.run)
        task->pacePercent = unknownPace;
}

void onRunConfirmed(scheduler_state &state, worker_record &worker, const task_name &name,
                    task_state &task)
{
    const bound_run &run = worker.runs.at(name);
    if (run.bestEffort == nullptr)
        return;
    lowerPaces(state, worker);
    sendPace(state, worker, name, task, paceOf(worker, run));
}

} // namespace crocuswind::scheduler
