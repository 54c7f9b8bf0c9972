#include "learned_interference.h"

#include <algorithm>

namespace crocuswind {

namespace {

/// A latency-critical task that takes more than a quarter longer than when running alone is too
/// slow.
constexpr int slowPermille = 1250;
/// A throttle may be released at or below this slowdown.
constexpr int releasePermille = 1100;
/// How long the slowdown must stay at or below `releasePermille` before a throttle is released.
constexpr duration releaseDelay = 30s;
/// A measurement reflects a change only if it was taken at least this long after it.
constexpr duration settleTime = 2s;
/// Share of its cores, in permille, that a task keeps after the first and the second throttling
/// step.
constexpr int firstThrottle = 300;
constexpr int secondThrottle = 100;
/// Slowdown beyond 1 up to which batch tasks are placed on a worker without a penalty.
constexpr double acceptableSlowdown = 0.2;
/// Fraction of the prediction error that is corrected per measurement: high enough to follow bursts
/// of interfering work, low enough that a single outlier evicts nothing.
constexpr double learningRate = 0.5;
/// Tasks with a smaller expected effect are neither throttled nor moved.
constexpr double minEffect = 0.02;

double share(const observed_task &task, std::int64_t milliCores)
{
    return double(task.milliCores) * task.throttlePermille / 1000 / double(milliCores);
}

std::int64_t moveCost(const observed_task &task)
{
    return (task.kind == job_kind::finite ? 2 : 1) * (1 + int(task.urgency));
}

} // namespace

learned_interference::shares learned_interference::sharesOf(const observed_worker &worker)
{
    shares result;
    for (const observed_task &task : worker.tasks) {
        if (task.kind != job_kind::service)
            result[task.workKind] += share(task, worker.milliCores);
    }
    return result;
}

double learned_interference::factor(const std::string &slowed, const std::string &cause) const
{
    const auto at = m_causes.find(cause);
    if (at == m_causes.end())
        return 0;
    const auto known = at->second.bySlowedKind.find(slowed);
    return known == at->second.bySlowedKind.end() ? at->second.mean : known->second;
}

double learned_interference::pressureOf(const std::string &workKind) const
{
    const auto at = m_causes.find(workKind);
    return at == m_causes.end() ? 0 : at->second.mean;
}

void learned_interference::trimCauses()
{
    // Callers choose the job names, so the number of kinds would otherwise be unbounded.
    constexpr std::size_t maxCauses = 1000;
    while (m_causes.size() > maxCauses) {
        m_causes.erase(
            std::min_element(m_causes.begin(), m_causes.end(), [](const auto &a, const auto &b) {
                return a.second.mean < b.second.mean;
            }));
    }
}

double learned_interference::penalty(const worker_id & /*worker*/, const worker_load &load,
                                     bool isLatencyCritical, double added) const
{
    if (isLatencyCritical) {
        // Among workers with similar pressure, prefers those that already run latency-critical
        // tasks, so that interfering work finds other workers. Spreading over racks takes
        // precedence.
        constexpr std::int64_t fullCores = 8000;
        constexpr double consolidationWeight = 0.1;
        return load.pressure
            - consolidationWeight * double(std::min(load.latencyCriticalCores, fullCores))
            / fullCores;
    }
    if (load.latencyCriticalCores == 0)
        return 0;
    // Only slowdown above the acceptable level is penalised; below it, tasks are packed densely.
    return std::max(0.0, load.pressure + added - acceptableSlowdown);
}

bool learned_interference::hasBetterWorker(const worker_id &worker, double effect) const
{
    return std::any_of(m_workers.begin(), m_workers.end(), [&](const auto &entry) {
        return entry.first != worker && entry.second.expected + effect < acceptableSlowdown;
    });
}

void learned_interference::learn(instant now, const observed_worker &worker)
{
    const shares present = sharesOf(worker);
    double norm = 0.01; // Keeps small shares from causing large corrections.
    for (const auto &[kind, s] : present)
        norm += s * s;
    for (const observed_task &task : worker.tasks) {
        if (task.kind != job_kind::service || !task.usage || task.usage->slowdownPermille <= 0)
            continue;
        const instant measuredAt = now - std::chrono::milliseconds(task.usage->ageMs);
        if (measuredAt < worker.changedAt + settleTime)
            continue; // The measurement may belong to another mixture of tasks.
        double expected = 0;
        for (const auto &[kind, s] : present)
            expected += factor(task.workKind, kind) * s;
        const double error = double(task.usage->slowdownPermille) / 1000 - 1 - expected;
        for (const auto &[kind, s] : present) {
            double &f = m_causes[kind]
                            .bySlowedKind.try_emplace(task.workKind, factor(task.workKind, kind))
                            .first->second;
            f = std::max(0.0, f + learningRate * error * s / norm);
        }
    }
    for (const auto &[kind, s] : present) {
        const auto at = m_causes.find(kind);
        if (at == m_causes.end())
            continue;
        double sum = 0;
        for (const auto &[slowed, f] : at->second.bySlowedKind)
            sum += f;
        at->second.mean = sum / double(at->second.bySlowedKind.size());
    }
    trimCauses();
}

std::optional<control_step> learned_interference::chooseStep(const observed_worker &worker,
                                                             const std::string &slowed) const
{
    std::optional<control_step> best;
    double bestWorth = 0;
    for (const observed_task &task : worker.tasks) {
        if (task.kind == job_kind::service || task.isLeaving)
            continue;
        const double effect = factor(slowed, task.workKind) * share(task, worker.milliCores);
        const double worth = effect / double(moveCost(task));
        const double unthrottledEffect = effect * 1000 / std::max(task.throttlePermille, 1);
        if (unthrottledEffect < minEffect || (best && worth <= bestWorth))
            continue;
        if (task.throttlePermille > firstThrottle)
            best = control_step{control_action::throttle, task.task, firstThrottle};
        else if (task.throttlePermille > secondThrottle)
            best = control_step{control_action::throttle, task.task, secondThrottle};
        else if (hasBetterWorker(worker.worker, unthrottledEffect))
            best = control_step{control_action::move, task.task, 1000};
        else
            continue; // Moving the task would cause the same interference elsewhere.
        bestWorth = worth;
    }
    return best;
}

std::optional<control_step> learned_interference::chooseRelease(const observed_worker &worker) const
{
    double expected = 0;
    std::string slowed;
    for (const observed_task &task : worker.tasks) {
        if (task.kind == job_kind::service)
            slowed = task.workKind;
    }
    for (const auto &[kind, s] : sharesOf(worker))
        expected += factor(slowed, kind) * s;
    for (const observed_task &task : worker.tasks) {
        if (task.throttlePermille >= 1000 || task.isLeaving)
            continue;
        const double more = factor(slowed, task.workKind) * double(task.milliCores)
            * (1000 - task.throttlePermille) / 1000 / double(worker.milliCores);
        if (slowed.empty() || expected + more < double(slowPermille - 1000) / 1000)
            return control_step{control_action::throttle, task.task, 1000};
    }
    return std::nullopt;
}

std::vector<control_step> learned_interference::observe(instant now, const observed_worker &worker)
{
    learn(now, worker);
    worker_history &history = m_workers[worker.worker];
    history.expected = 0;
    for (const observed_task &task : worker.tasks) {
        if (task.kind != job_kind::service)
            history.expected
                += pressureOf(task.workKind) * double(task.milliCores) / double(worker.milliCores);
    }
    const observed_task *worst = nullptr;
    for (const observed_task &task : worker.tasks) {
        const bool isWorse = task.kind == job_kind::service && task.usage
            && (worst == nullptr || task.usage->slowdownPermille > worst->usage->slowdownPermille);
        if (isWorse)
            worst = &task;
    }
    const int slowdown = worst == nullptr ? 0 : worst->usage->slowdownPermille;
    if (slowdown > releasePermille)
        history.lowSince.reset();
    else if (!history.lowSince)
        history.lowSince = now;
    // Waits until a measurement reflects the last step or any other change of the task mixture,
    // including the delay of the measurement, before the next step.
    if (worst != nullptr) {
        const instant measuredAt = now - std::chrono::milliseconds(worst->usage->ageMs);
        const instant changedAt
            = std::max(worker.changedAt, history.actedAt.value_or(worker.changedAt));
        if (measuredAt < changedAt + settleTime)
            return {};
    }
    std::optional<control_step> step;
    if (slowdown > slowPermille)
        step = chooseStep(worker, worst->workKind);
    else if (history.lowSince && now - *history.lowSince >= releaseDelay)
        step = chooseRelease(worker);
    if (!step)
        return {};
    history.actedAt = now;
    history.lowSince.reset();
    return {*step};
}

} // namespace crocuswind
