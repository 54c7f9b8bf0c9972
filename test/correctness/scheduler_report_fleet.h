/// Workers that are full of serving tasks and of work in idle room and report on them at will, for
/// what a single report costs the owner.
#ifndef CROCUSWIND_TEST_SCHEDULER_REPORT_FLEET_H
#define CROCUSWIND_TEST_SCHEDULER_REPORT_FLEET_H

#include "correctness/job_submission.h"

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <fmt/format.h>
#include <functional>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace crocuswind::scheduler {

/// Keeps the orders of the owner, and a digest of all that it ever asked for.
class kept_orders final : public scheduler_ports
{
public:
    void start(const start_command &order) override
    {
        note("start", order.worker, order.task, order.run);
        starts.push_back(order);
    }
    void stop(const stop_command &order) override
    {
        note("stop", order.worker, order.task, order.run);
        ++stops;
    }
    void pace(const pace_command &order) override
    {
        note("pace", order.worker, order.task, order.percent);
        ++paces;
    }
    void poll(const poll_command &order) override { polls[order.worker] = order; }
    void commit(commit_batch batch) override
    {
        isCommitting = true;
        for (const store_put &put : batch.puts)
            note(put.key + put.value);
    }
    void answer(const job_reply &) override { }
    void log(const std::string &event, const std::string &fields) override { note(event + fields); }
    bool shouldLogDetail() override { return hasLogRoom; }
    void logDetail(const std::string &event, const std::string &fields) override
    {
        ++details;
        note(event + fields);
    }

    std::vector<start_command> starts;
    std::map<worker_id, poll_command> polls; ///< The last one of each worker.
    bool isCommitting = false;
    int stops = 0;
    int paces = 0;
    int details = 0;
    bool hasLogRoom = true;
    bool isDigesting = true;
    std::uint64_t digest = 0;

private:
    void note(const std::string &text)
    {
        if (isDigesting)
            digest = digest * 1099511628211U + std::hash<std::string>()(text);
    }
    void note(const char *kind, const worker_id &worker, const task_name &task, int number)
    {
        if (isDigesting)
            note(fmt::format("{} {} {} {}", kind, worker.value, toString(task), number));
    }
};

/// An owner and its workers.
class report_fleet
{
public:
    explicit report_fleet(int workers)
        : core(scheduler_settings(), ports)
    {
        queue_policy policy;
        policy.queue.value = "q";
        policy.service.value = "pool";
        core.setQueues(now, {policy});
        core.setAuthority(now, now + 1000000s, now + 1000000s);
        core.takeOver(now, clockMs(), 1, {}, now);
        core.onWorkersSynchronized(now, now + 1000000s);
        for (int i = 0; i < workers; ++i) {
            worker_info info;
            info.id.value = fmt::format("i-{:010x}", i);
            info.service = policy.service;
            info.capacity = {64000, 512000, 0};
            core.onWorker(now, info);
            ids.push_back(info.id);
        }
        settle();
    }

    /// Submits lasting tasks that serve users.
    void serve(const std::string &image, int tasks)
    {
        step_spec step;
        step.size = {4000, 8000, 0};
        step.latencyTargetMs = 100;
        submit(image, step, tasks);
    }

    /// Submits work in idle room that does not end.
    void fill(const std::string &image, int tasks)
    {
        step_spec step;
        step.size = {1000, 4000, 0};
        step.isBestEffort = true;
        submit(image, step, tasks);
    }

    /// Carries out what was ordered until all submitted tasks run.
    void placeAll()
    {
        for (int i = 0; i < 1000 && (i < 50 || core.counters().tasksWaiting > 0); ++i)
            settle();
    }

    /// Returns a report of all that runs on the worker, with the figures of the serving tasks at
    /// \p latencyMs, and the answered poll.
    std::pair<poll_command, poll_result> reportOf(const worker_id &worker, std::int64_t latencyMs)
    {
        poll_result result;
        result.outcome = command_outcome::done;
        result.report.clockMs = clockMs();
        result.report.incarnationStartUnixMs = 1;
        for (const auto &[task, run] : running[worker]) {
            const bool isServing = task.job.value[0] == 's';
            result.report.running.push_back({task, run, "", 100, isServing ? latencyMs : 800});
        }
        return {ports.polls.at(worker), result};
    }

    /// Lets 10 ms pass; starts are confirmed and all polls answered.
    void settle()
    {
        now += 10ms;
        if (std::exchange(ports.isCommitting, false))
            core.onCommitted(now);
        for (const start_command &order : std::exchange(ports.starts, {})) {
            running[order.worker].push_back({order.task, order.run});
            core.onStartResult(now, order, {command_outcome::done, clockMs()});
        }
        for (const worker_id &worker : ids) {
            if (ports.polls.count(worker) == 0)
                continue;
            const auto [order, result] = reportOf(worker, usualLatencyMs);
            core.onPollResult(now, order, result);
        }
        core.tick(now, clockMs());
    }

    std::int64_t clockMs() const
    {
        return std::chrono::duration_cast<std::chrono::milliseconds>(now.time_since_epoch())
            .count();
    }

    static constexpr std::int64_t usualLatencyMs = 50;

    instant now{1000s};
    kept_orders ports;
    scheduler_core core;
    std::vector<worker_id> ids;
    std::map<worker_id, std::vector<std::pair<task_name, int>>> running;

private:
    void submit(const std::string &image, step_spec step, int tasks)
    {
        step.image = image;
        step.isContinuous = true;
        while (tasks > 0) {
            step.count = std::min(tasks, maxTasksOfStep);
            tasks -= step.count;
            // As long as callers' names are, which is too long to be kept without an allocation.
            const char kind = step.isBestEffort ? 'f' : 's';
            core.call(now, clockMs(),
                      submissionOf(fmt::format("{}{:015x}", kind, ++m_lastJob), step));
        }
    }

    int m_lastJob = 0;
};

} // namespace crocuswind::scheduler

#endif
