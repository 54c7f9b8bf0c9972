#include "learned_interference.h"

#include <algorithm>

namespace crocuswind {

namespace {

/// A latency-critical task that takes a quarter longer than alone is too slow.
constexpr int slowPermille = 1250;
/// Below this a throttle may be released.
constexpr int calmPermille = 1100;
/// How long a worker must be calm before a throttle is released.
constexpr duration calmTime = 30s;
/// A measurement shows the effect of a change only if it was taken this long after it.
constexpr duration settleTime = 2s;
/// The shares of its cores that a task keeps after the first and the second throttling.
constexpr int firstThrottle = 300;
constexpr int secondThrottle = 100;
/// The slowdown beyond 1 up to which a worker is filled.
constexpr double acceptable = 0.2;
/// Half of an error is corrected at once: fast enough for waves of noise, slow enough that one
/// outlier does not evict anything.
constexpr double learningRate = 0.5;
/// Causes with less expected effect than this are not worth a step.
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

void learned_interference::forgetExcess()
{
    // Callers choose the names, so the number of kinds has no other bound.
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
        // With little between them, workers that hold such tasks already are preferred, so that
        // work that interferes finds others. The spread over racks comes before this.
        constexpr std::int64_t fullCores = 8000;
        constexpr double gathering = 0.1;
        return load.pressure
            - gathering * double(std::min(load.latencyCriticalCores, fullCores)) / fullCores;
    }
    if (load.latencyCriticalCores == 0)
        return 0;
    // Harm begins where the slowdown exceeds what is acceptable; below that, work is packed.
    return std::max(0.0, load.pressure + added - acceptable);
}

bool learned_interference::hasBetterPlace(const worker_id &worker, double effect) const
{
    return std::any_of(m_workers.begin(), m_workers.end(), [&](const auto &entry) {
        return entry.first != worker && entry.second.expected + effect < acceptable;
    });
}

void learned_interference::learn(instant now, const observed_worker &worker)
{
    const shares present = sharesOf(worker);
    double norm = 0.01; // keeps small shares from causing large corrections
    for (const auto &[kind, s] : present)
        norm += s * s;
    for (const observed_task &task : worker.tasks) {
        if (task.kind != job_kind::service || !task.usage || task.usage->slowdownPermille <= 0)
            continue;
        const instant measuredAt = now - std::chrono::milliseconds(task.usage->ageMs);
        if (measuredAt < worker.changedAt + settleTime)
            continue; // the measurement may belong to another mixture of tasks
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
    forgetExcess();
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
        const double whole = effect * 1000 / std::max(task.throttlePermille, 1);
        if (whole < minEffect || (best && worth <= bestWorth))
            continue;
        if (task.throttlePermille > firstThrottle)
            best = control_step{control_action::throttle, task.task, firstThrottle};
        else if (task.throttlePermille > secondThrottle)
            best = control_step{control_action::throttle, task.task, secondThrottle};
        else if (hasBetterPlace(worker.worker, whole))
            best = control_step{control_action::move, task.task, 1000};
        else
            continue; // moving it would only move the harm
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
    worker_memory &memory = m_workers[worker.worker];
    memory.expected = 0;
    for (const observed_task &task : worker.tasks) {
        if (task.kind != job_kind::service)
            memory.expected
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
    if (slowdown > calmPermille)
        memory.calmSince.reset();
    else if (!memory.calmSince)
        memory.calmSince = now;
    // The effect of one step, the lag of the measurement included, is awaited before the next. The
    // same holds for any other change of the mixture.
    if (worst != nullptr) {
        const instant measuredAt = now - std::chrono::milliseconds(worst->usage->ageMs);
        const instant changedAt
            = std::max(worker.changedAt, memory.actedAt.value_or(worker.changedAt));
        if (measuredAt < changedAt + settleTime)
            return {};
    }
    std::optional<control_step> step;
    if (slowdown > slowPermille)
        step = chooseStep(worker, worst->workKind);
    else if (memory.calmSince && now - *memory.calmSince >= calmTime)
        step = chooseRelease(worker);
    if (!step)
        return {};
    memory.actedAt = now;
    memory.calmSince.reset();
    return {*step};
}

} // namespace crocuswind
