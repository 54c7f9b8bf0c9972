/// Defines a stand-in for a worker that follows the rules of `worker_sync.h`, and a ledger that
/// observes all workers and records every violation of the invariants: no overcommitment (I1), no
/// finite job in two places (I2), no attempt started twice or resumed from an outdated checkpoint
/// (I3).
#ifndef CROCUSWIND_TEST_BATCH_FAKE_WORKER_H
#define CROCUSWIND_TEST_BATCH_FAKE_WORKER_H

#include "batch/batch.h"

#include <fmt/format.h>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <tl/expected.hpp>
#include <vector>

namespace crocuswind {

/// The actual state of a job, independent of what hosts and workers have been told.
struct job_ground_truth
{
    job_spec spec;
    duration length{}; ///< Actual run time of a finite job.
    bool alwaysFails = false;
    /// Number of completions. It may exceed 1 under faults: an outcome that was lost with its
    /// worker, or could not be reported before the leases expired, is produced again from the last
    /// checkpoint.
    int completions = 0;
    std::set<task_id> startedAttempts;
    std::map<int, std::int64_t> lastFrom; ///< Highest checkpoint resumed from, by replica.
};

/// One running or ended attempt on a fake worker.
struct fake_task
{
    resources size;
    reported_state state = reported_state::running;
    instant startedAt;
    instant leaseUntil;
    /// Progress including that of the initial checkpoint; slower while throttled.
    duration progress{};
    instant advancedAt;
    int throttlePermille = 1000;
    checkpoint latestCheckpoint;
    std::string result;
};

class fake_worker;

/// Observes the whole fleet and records violations with their time.
struct fleet_ledger
{
    std::map<job_id, job_ground_truth> truths;
    std::vector<fake_worker *> workers;
    std::vector<std::string> violations;
    /// Reads the record of a task from the store; returns nothing if the store has none.
    std::function<std::optional<task_record>(const task_id &)> stored;

    void recordViolation(instant now, const std::string &what)
    {
        violations.push_back(fmt::format("{} ms: {}", now.time_since_epoch().count() / 1000, what));
    }
};

class fake_worker
{
public:
    worker_info info;
    worker_incarnation incarnationNumber = 1;
    bool isAlive = true;
    bool failsEverything = false;
    instant pausedUntil;
    double clockRate = 1.0; ///< Above 1, the clock is slow and leases last longer.
    std::int64_t starts = 0;
    std::map<task_id, fake_task> tasks;
    /// Returns the usage of a task; set by tests that model interference.
    std::function<std::optional<task_usage>(const task_id &)> usageOf;

    explicit fake_worker(fleet_ledger &ledger)
        : m_ledger(ledger)
    {
        ledger.workers.push_back(this);
    }

    void restart()
    {
        tasks.clear();
        m_highestSeenAttempts.clear();
        m_answeredAt.clear();
        m_epoch = 0;
        m_applied = 0;
        ++incarnationNumber;
        isAlive = true;
    }

    bool isRunning(const task_id &id, instant now) const
    {
        const auto at = tasks.find(id);
        return isAlive && at != tasks.end() && at->second.state == reported_state::running
            && at->second.leaseUntil > now && !isComplete(at->first, at->second, now);
    }

    tl::expected<sync_report, sync_error> sync(const sync_request &request, instant now)
    {
        advance(now);
        if (request.epoch < m_epoch)
            return tl::unexpected(sync_error{sync_error::reason::stale_epoch, m_epoch});
        if (request.epoch > m_epoch) {
            m_epoch = request.epoch;
            m_applied = 0;
            m_answeredAt.clear();
        }
        if (request.sequence > m_applied) {
            m_applied = request.sequence;
            apply(request, now);
        }
        m_answeredAt[request.sequence] = now;
        sync_report report{info.worker, incarnationNumber, request.epoch, request.sequence, {}};
        for (const auto &[id, task] : tasks) {
            report.tasks.push_back({id, task.state, task.latestCheckpoint,
                                    usageOf ? usageOf(id) : std::nullopt, task.result});
        }
        return report;
    }

    /// Advances all tasks to \p now: saves checkpoints and ends tasks that are complete or whose
    /// lease has expired.
    void advance(instant now)
    {
        for (auto &[id, task] : tasks) {
            if (task.state != reported_state::running)
                continue;
            const job_ground_truth &truth = m_ledger.truths.at(id.job);
            const instant until = std::min(now, task.leaseUntil);
            task.progress = progressAt(task, until);
            task.advancedAt = std::max(task.advancedAt, until);
            // A task saves a checkpoint after every 5 s of progress.
            task.latestCheckpoint.number
                = std::max<std::int64_t>(task.latestCheckpoint.number, task.progress / 5s);
            task.latestCheckpoint.reference = std::to_string(task.latestCheckpoint.number);
            if (failsEverything || truth.alwaysFails) {
                if (until > task.startedAt + 200ms)
                    end(task, reported_state::failed, "failed");
            } else if (truth.spec.kind == job_kind::finite && task.progress >= truth.length) {
                end(task, reported_state::done, "ok");
                ++m_ledger.truths.at(id.job).completions;
            } else if (now >= task.leaseUntil) {
                end(task, reported_state::stopped, "lease expired");
            }
        }
    }

private:
    static duration progressAt(const fake_task &task, instant when)
    {
        return task.progress
            + std::max(when - task.advancedAt, duration::zero()) * task.throttlePermille / 1000;
    }

    bool isComplete(const task_id &id, const fake_task &task, instant now) const
    {
        const job_ground_truth &truth = m_ledger.truths.at(id.job);
        return truth.spec.kind == job_kind::finite && progressAt(task, now) >= truth.length;
    }

    static void end(fake_task &task, reported_state state, const char *result)
    {
        task.state = state;
        task.result = result;
    }

    void checkAgainstStore(const start_command &start, instant now)
    {
        const auto record = m_ledger.stored(start.task);
        const bool isNamed = record && record->state == task_state::claimed
            && record->worker == info.worker && record->attempt == start.task.attempt;
        if (!isNamed)
            m_ledger.recordViolation(
                now, "started without a claim in the store: " + toString(start.task));
        else if (start.from.number < record->lastCheckpoint.number)
            m_ledger.recordViolation(
                now, "I3: not started from its last checkpoint: " + toString(start.task));
    }

    void apply(const sync_request &request, instant now)
    {
        const auto basis = m_answeredAt.find(request.basis);
        const bool isFresh = request.leaseMs > 0 && basis != m_answeredAt.end()
            && now - basis->second < std::chrono::milliseconds(request.leaseMs);
        for (const task_id &id : request.stop) {
            highestSeenAttempt(id) = std::max(highestSeenAttempt(id), id.attempt);
            const auto [at, isNew] = tasks.try_emplace(id);
            if (isNew)
                end(at->second, reported_state::stopped, "stopped before its start");
            else if (at->second.state == reported_state::running)
                end(at->second, reported_state::stopped, "stopped");
        }
        for (const task_id &id : request.checkpoint) {
            const auto at = tasks.find(id);
            if (at != tasks.end() && at->second.state == reported_state::running)
                ++at->second.latestCheckpoint.number;
        }
        for (const task_id &id : request.forget) {
            const auto at = tasks.find(id);
            if (at != tasks.end() && at->second.state != reported_state::running)
                tasks.erase(at);
        }
        for (auto &[id, task] : tasks)
            task.throttlePermille = 1000;
        for (const throttle_command &throttle : request.throttle) {
            const auto at = tasks.find(throttle.task);
            if (at != tasks.end())
                at->second.throttlePermille = throttle.permille;
        }
        if (!isFresh)
            return;
        const auto length = duration(std::int64_t(double(request.leaseMs) * 1000 * clockRate));
        for (auto &[id, task] : tasks) {
            if (task.state == reported_state::running)
                task.leaseUntil = std::max(task.leaseUntil, now + length);
        }
        for (const start_command &start : request.start) {
            if (start.task.attempt <= highestSeenAttempt(start.task))
                continue;
            highestSeenAttempt(start.task) = start.task.attempt;
            begin(start, now, now + length);
        }
    }

    int &highestSeenAttempt(const task_id &id)
    {
        return m_highestSeenAttempts[{id.job, id.replica}];
    }

    void begin(const start_command &start, instant now, instant leaseUntil)
    {
        ++starts;
        job_ground_truth &truth = m_ledger.truths.at(start.task.job);
        resources sum = start.size;
        for (const auto &[id, task] : tasks) {
            if (task.state == reported_state::running)
                sum = sum + task.size;
        }
        if (!fitsInto(sum, info.capacity))
            m_ledger.recordViolation(now, "I1: overcommitted " + info.worker.value);
        if (truth.spec.kind == job_kind::finite) {
            for (const fake_worker *other : m_ledger.workers) {
                for (const auto &[id, task] : other->tasks) {
                    if (id.job == start.task.job && other->isRunning(id, now))
                        m_ledger.recordViolation(now,
                                                 "I2: runs in two places: " + toString(start.task)
                                                     + " and " + toString(id) + " on "
                                                     + other->info.worker.value);
                }
            }
            checkAgainstStore(start, now);
        }
        if (!truth.startedAttempts.insert(start.task).second)
            m_ledger.recordViolation(now, "I3: an attempt started twice: " + toString(start.task));
        std::int64_t &last = truth.lastFrom[start.task.replica];
        if (start.from.number < last)
            m_ledger.recordViolation(
                now, "I3: resumed from an outdated checkpoint: " + toString(start.task));
        last = std::max(last, start.from.number);
        fake_task task;
        task.size = start.size;
        task.startedAt = now;
        task.leaseUntil = leaseUntil;
        task.progress = start.from.number * 5s;
        task.advancedAt = now;
        task.latestCheckpoint = start.from;
        tasks[start.task] = task;
    }

    fleet_ledger &m_ledger;
    std::map<std::pair<job_id, int>, int> m_highestSeenAttempts;
    std::int64_t m_epoch = 0;
    std::int64_t m_applied = 0;
    std::map<std::int64_t, instant> m_answeredAt;
};

} // namespace crocuswind

#endif
