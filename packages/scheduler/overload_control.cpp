#include "overload_control.h"

#include "run_times.h"
#include "scheduler_state.h"
#include "worker_choice.h"

#include <algorithm>
#include <fmt/format.h>
#include <set>
#include <utility>
#include <vector>

namespace crocuswind::scheduler {

namespace {

constexpr duration triageInterval = 200ms;

/// A new owner decides nothing for load before this time, because it has not observed the room.
constexpr duration learningTime = 2s;

/// Room counts as at least this share of the processors of the workers that may take tasks.
constexpr double minShareOfCapacity = 0.05;

/// Jobs that are to be in time are chosen for this share of the room, because run times vary.
constexpr double shareInTime = 0.8;

/// An overload ends when all waiting work can be in time for so long.
constexpr duration quietTime = 1s;

/// For how long, and of how many jobs, refusals are remembered.
constexpr duration refusalMemory = 120s;
constexpr std::size_t maxRefusals = 10'000;

/// The estimate of a critical path counts this many times.
constexpr double pathMargin = 1.2;

std::int64_t toMs(duration d)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(d).count();
}

bool isContinuous(const job_spec &spec)
{
    return std::any_of(spec.steps.begin(), spec.steps.end(),
                       [](const step_spec &step) { return step.isContinuous; });
}

room_kind kindOf(const job_spec &spec, const queue_policy &policy)
{
    return {policy.service, !spec.steps.empty() && spec.steps.front().isBestEffort};
}

room_load &loadOf(scheduler_state &state, const room_kind &kind)
{
    return state.roomLoads.try_emplace(kind, state.now).first->second;
}

double workOfTask(const scheduler_state &state, const job_spec &spec, const step_spec &step)
{
    return double(step.size.milliCores) * usualRunMs(state, spec.queue, step);
}

double workOfJob(const scheduler_state &state, const job_spec &spec)
{
    double work = 0;
    for (const step_spec &step : spec.steps)
        work += double(step.count) * workOfTask(state, spec, step);
    return work;
}

/// An occurrence with work that has not started.
struct waiting_occurrence
{
    const job_record *job = nullptr;
    occurrence_state *occurrence = nullptr;
    double work = 0;
    duration criticalPath = duration::zero(); ///< Of the work that has not started.
    bool hasBegun = false;
};

waiting_occurrence summarise(const scheduler_state &state, const job_record &job,
                             occurrence_state &occurrence)
{
    waiting_occurrence summary{&job, &occurrence};
    std::int64_t criticalPathMs = 0;
    for (std::size_t step = 0; step < occurrence.steps.size(); ++step) {
        const auto &tasks = occurrence.steps[step];
        const auto left = std::count_if(tasks.begin(), tasks.end(), [](const task_state &task) {
            return task.phase == task_phase::waiting || task.phase == task_phase::blocked;
        });
        summary.hasBegun = summary.hasBegun || std::size_t(left) < tasks.size();
        summary.work += double(left) * workOfTask(state, job.spec, job.spec.steps[step]);
        if (left > 0)
            criticalPathMs = std::max(criticalPathMs, job.criticalPathsMs[step]);
    }
    summary.criticalPath = duration(std::int64_t(1000 * pathMargin * double(criticalPathMs)));
    return summary;
}

// Returns the occurrences of the kind with work that has not started.
std::vector<waiting_occurrence> waitingOccurrences(scheduler_state &state, const room_kind &kind)
{
    std::vector<waiting_occurrence> waiting;
    for (auto &[name, job] : state.jobs) {
        if (job->isOver() || job->policy.service != kind.service || isContinuous(job->spec)
            || kindOf(job->spec, job->policy).isBestEffort != kind.isBestEffort)
            continue;
        for (auto &[number, occurrence] : job->occurrences) {
            if (!occurrence.isReleased)
                continue;
            const waiting_occurrence summary = summarise(state, *job, occurrence);
            if (summary.work > 0)
                waiting.push_back(summary);
        }
    }
    std::sort(waiting.begin(), waiting.end(), [](const auto &a, const auto &b) {
        return std::make_pair(a.job->number, a.occurrence->number)
            < std::make_pair(b.job->number, b.occurrence->number);
    });
    return waiting;
}

// Returns the estimated work per time that the workers do which may take tasks.
double roomFor(const scheduler_state &state, const room_kind &kind, const room_load &load)
{
    double used = 0;
    double capacity = 0;
    for (const auto &[id, worker] : state.workers) {
        if (worker.info.service != kind.service || !isEligible(state, worker))
            continue;
        capacity += double(worker.info.capacity.milliCores);
        used += double(kind.isBestEffort ? worker.bestEffortMilliCores
                                         : worker.finiteCommitted.milliCores);
    }
    return std::max(used, minShareOfCapacity * capacity) * load.rate.efficiency();
}

/// One decision on the waiting work of a kind of room.
class triage_pass
{
public:
    triage_pass(const scheduler_state &state, room_load &load,
                std::vector<waiting_occurrence> waiting)
        : m_state(state)
        , m_load(load)
        , m_waiting(std::move(waiting))
    { }

    void run()
    {
        decideInTime();
        decideLate();
        double work = 0;
        for (const waiting_occurrence &w : m_waiting)
            work += w.work;
        m_load.meanWork = m_waiting.empty() ? 0 : work / double(m_waiting.size());
    }

private:
    // Chooses the jobs that can be in time.
    void decideInTime()
    {
        std::vector<waiting_occurrence *> candidates;
        for (waiting_occurrence &w : m_waiting) {
            const instant end = m_state.now + w.criticalPath;
            if (end <= objectiveOf(*w.job, *w.occurrence).at)
                candidates.push_back(&w);
            else
                m_late.push_back(&w);
        }
        const auto decision = decide(candidates, job_prospect::in_time,
                                     {m_state.now, shareInTime * m_load.milliCores, 0});
        m_load.workInTime = decision.keptWork;
        for (std::size_t i = 0; i < candidates.size(); ++i) {
            set(*candidates[i], decision.isKept[i] ? job_prospect::in_time : job_prospect::late);
            if (!decision.isKept[i])
                m_late.push_back(candidates[i]);
        }
        m_load.givenUp = m_late.size();
        if (decision.givenUp > 0) {
            m_load.isOverloaded = true;
            m_load.overloadedUntil = m_state.now + quietTime;
        }
    }

    // Chooses, of the others, those that can end while they are of use.
    void decideLate()
    {
        const auto decision
            = decide(m_late, job_prospect::late,
                     {m_state.now + policy::timeFor(m_load.workInTime, m_load.milliCores),
                      m_load.milliCores, 0});
        m_load.workInUse = m_load.workInTime;
        for (std::size_t i = 0; i < m_late.size(); ++i) {
            const waiting_occurrence &w = *m_late[i];
            set(w, decision.isKept[i] ? job_prospect::late : job_prospect::useless);
            const instant end = m_state.now + w.criticalPath;
            if (end <= objectiveOf(*w.job, *w.occurrence).lateUntil)
                m_load.workInUse += w.work;
        }
    }

    policy::triage_decision decide(const std::vector<waiting_occurrence *> &candidates,
                                   job_prospect aim, const policy::triage_room &room)
    {
        std::vector<policy::triage_job> jobs;
        jobs.reserve(candidates.size());
        for (const waiting_occurrence *w : candidates) {
            const job_objective objective = objectiveOf(*w->job, *w->occurrence);
            policy::triage_job job;
            job.priority = w->job->policy.priority;
            job.queue
                = m_queues.try_emplace(w->job->spec.queue, int(m_queues.size())).first->second;
            job.latestStart = (aim == job_prospect::in_time ? objective.at : objective.lateUntil)
                - w->criticalPath;
            job.work = w->work;
            job.size = workOfJob(m_state, w->job->spec);
            job.hasBegun = w->hasBegun;
            job.wasGivenUp = w->occurrence->prospect > aim;
            jobs.push_back(job);
        }
        return policy::triageOverload(jobs, room);
    }

    static void set(const waiting_occurrence &w, job_prospect prospect)
    {
        w.occurrence->prospect = prospect;
        if (!w.occurrence->firstProspect)
            w.occurrence->firstProspect = prospect;
    }

    const scheduler_state &m_state;
    room_load &m_load;
    std::vector<waiting_occurrence> m_waiting;
    std::vector<waiting_occurrence *> m_late; ///< Not expected to be in time.
    std::map<queue_id, int> m_queues;
};

// Returns the kinds of room for which a step found no worker in the last pass.
std::set<room_kind> kindsInShortage(const scheduler_state &state)
{
    std::set<room_kind> kinds;
    for (const ready_step &ready : state.ready) {
        if (ready.hasNoWorker && !ready.job->isOver() && !isContinuous(ready.job->spec))
            kinds.insert(kindOf(ready.job->spec, ready.job->policy));
    }
    return kinds;
}

// Returns true if no queue of the service has an earlier priority.
bool isOfEarliestPriority(const scheduler_state &state, const queue_policy &policy)
{
    return std::none_of(state.queues.begin(), state.queues.end(), [&](const auto &entry) {
        return entry.second.service == policy.service && entry.second.priority < policy.priority;
    });
}

// Returns when the last of the work that can be of use begins, in milliseconds from now.
std::int64_t delayMs(const room_load &load)
{
    return std::int64_t(load.workInUse / std::max(1.0, load.milliCores));
}

void logChange(const scheduler_state &state, const room_kind &kind, const room_load &load)
{
    state.ports.log(
        load.isOverloaded ? "overload_begun" : "overload_ended",
        fmt::format("service={} best_effort={} room_millicores={:.0f} efficiency={:.2f} "
                    "accepted_millicores={:.0f} in_time_ms={:.0f} in_use_ms={:.0f} given_up={}",
                    kind.service.value, kind.isBestEffort, load.milliCores, load.rate.efficiency(),
                    load.rate.acceptedMilliCores(state.now),
                    load.workInTime / std::max(1.0, load.milliCores),
                    load.workInUse / std::max(1.0, load.milliCores), load.givenUp));
}

// Lets all jobs wait in the usual order again.
void endOverload(room_load &load, const std::vector<waiting_occurrence> &waiting)
{
    for (const waiting_occurrence &w : waiting)
        w.occurrence->prospect = job_prospect::in_time;
    load.isOverloaded = false;
}

void triage(scheduler_state &state, const room_kind &kind, bool isShort)
{
    room_load &load = loadOf(state, kind);
    const bool wasOverloaded = load.isOverloaded;
    load.givenUp = 0;
    if (!isShort && !wasOverloaded)
        return;
    load.milliCores = roomFor(state, kind, load);
    if (isShort)
        triage_pass(state, load, waitingOccurrences(state, kind)).run();
    if (load.isOverloaded && state.now >= load.overloadedUntil)
        endOverload(load, waitingOccurrences(state, kind));
    if (load.isOverloaded != wasOverloaded)
        logChange(state, kind, load);
}

} // namespace

void load_refusals::record(const job_name &name, instant now)
{
    if (m_requestedAt.try_emplace(name, now).second)
        m_order.emplace_back(now, name);
    while (!m_order.empty()
           && (m_order.front().first + refusalMemory < now || m_order.size() > maxRefusals)) {
        m_requestedAt.erase(m_order.front().second);
        m_order.pop_front();
    }
}

std::optional<instant> load_refusals::requestedAt(const job_name &name) const
{
    const auto found = m_requestedAt.find(name);
    return found == m_requestedAt.end() ? std::nullopt : std::optional<instant>(found->second);
}

void triageWaitingJobs(scheduler_state &state)
{
    if (state.now < state.nextTriageAt || state.now < state.tookOverAt + learningTime)
        return;
    state.nextTriageAt = state.now + triageInterval;
    const std::set<room_kind> inShortage = kindsInShortage(state);
    for (const room_kind &kind : inShortage)
        triage(state, kind, true);
    state.counters.jobsGivenUp = 0;
    state.counters.forecastDelayMs = 0;
    for (auto &[kind, load] : state.roomLoads) {
        if (inShortage.count(kind) == 0)
            triage(state, kind, false);
        state.counters.jobsGivenUp += std::int64_t(load.givenUp);
        if (load.isOverloaded)
            state.counters.forecastDelayMs
                = std::max(state.counters.forecastDelayMs, delayMs(load));
    }
}

void noteRunEnded(scheduler_state &state, const job_record &job, const task_name &name,
                  const task_state &task, bool isDone)
{
    const step_spec &step = job.spec.steps[std::size_t(name.step)];
    if (step.isContinuous)
        return;
    loadOf(state, kindOf(job.spec, job.policy))
        .rate.recordEnd(state.now, step.size.milliCores, state.now - task.runSince,
                        std::int64_t(usualRunMs(state, job.spec.queue, step)), isDone);
}

void noteAccepted(scheduler_state &state, const job_record &job)
{
    if (isContinuous(job.spec))
        return;
    const double work = workOfJob(state, job.spec);
    room_load &load = loadOf(state, kindOf(job.spec, job.policy));
    load.rate.recordAccepted(state.now, work);
    // Until the next decision, further jobs wait behind this one, too.
    load.workInTime += work;
    load.workInUse += work;
}

std::optional<load_refusal> refusalForLoad(const scheduler_state &state, const job_record &job)
{
    const auto found = state.roomLoads.find(kindOf(job.spec, job.policy));
    if (found == state.roomLoads.end() || !found->second.isOverloaded
        || job.spec.scheduledOccurrences > 0)
        return std::nullopt;
    const room_load &load = found->second;
    const job_objective objective = objectiveOf(job, occurrence_state());
    const std::int64_t pathMs
        = *std::max_element(job.criticalPathsMs.begin(), job.criticalPathsMs.end());
    policy::admission_request request;
    // All sizes are treated like the mean, or else large jobs would be refused first.
    request.work = load.meanWork;
    request.criticalPath = duration(std::int64_t(1000 * pathMargin * double(pathMs)));
    request.isOfEarliestPriority = isOfEarliestPriority(state, job.policy);
    request.isContinuous = isContinuous(job.spec);
    policy::admission_forecast forecast;
    forecast.now = state.now;
    forecast.isKnown = state.now >= state.tookOverAt + learningTime;
    forecast.milliCores = shareInTime * load.milliCores;
    forecast.workAhead = load.workInTime;
    request.usefulUntil = objective.at;
    if (decideAdmission(request, forecast).isAccepted)
        return std::nullopt;
    // Late work goes behind all that is to be in time.
    forecast.now += policy::timeFor(load.workInTime, load.milliCores);
    forecast.milliCores = load.milliCores;
    forecast.workAhead = load.workInUse - load.workInTime;
    request.usefulUntil = objective.lateUntil;
    const policy::admission_decision decision = decideAdmission(request, forecast);
    if (decision.isAccepted)
        return std::nullopt;
    const duration delay = decision.retryAt - forecast.now;
    return load_refusal{
        "too little room to run the job while it is of use",
        fmt::format(" priority={} room_millicores={:.0f} "
                    "in_time_millicore_ms={:.0f} in_use_millicore_ms={:.0f} chain_ms={} "
                    "useful_ms={} expected_ms={}",
                    job.policy.priority, load.milliCores, load.workInTime, load.workInUse, pathMs,
                    toMs(objective.lateUntil - state.now), toMs(decision.expectedEnd - state.now)),
        1000 * policy::spreadRetrySeconds(delay, job.spec.name.value)};
}

void noteOccurrenceDone(scheduler_state &state, const job_record &job,
                        const occurrence_state &occurrence)
{
    if (!occurrence.firstProspect)
        return;
    const bool isInTime = state.now <= objectiveOf(job, occurrence).at;
    if (*occurrence.firstProspect == job_prospect::in_time)
        ++(isInTime ? state.counters.forecastsRight : state.counters.forecastsTooGood);
    else
        ++(isInTime ? state.counters.forecastsTooBad : state.counters.forecastsRight);
}

} // namespace crocuswind::scheduler
