/// An owner and workers that are filled with serving tasks and best-effort tasks. Tests send their
/// reports one by one to measure what a single report costs the owner.
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

/// Records the owner's commands and a digest of all its commands, commits and log lines.
class command_recorder final : public scheduler_ports
{
public:
    void start(const start_command &command) override
    {
        addToDigest("start", command.worker, command.task, command.run);
        starts.push_back(command);
    }
    void stop(const stop_command &command) override
    {
        addToDigest("stop", command.worker, command.task, command.run);
        ++stops;
    }
    void pace(const pace_command &command) override
    {
        addToDigest("pace", command.worker, command.task, command.percent);
        ++paces;
    }
    void poll(const poll_command &command) override { polls[command.worker] = command; }
    void fenceEarlierCommands(const worker_id &) override { }
    void commit(commit_batch batch) override
    {
        isCommitting = true;
        for (const store_put &put : batch.puts)
            addToDigest(put.key + put.value);
    }
    void answer(const job_reply &) override { }
    void log(const std::string &event, const std::string &fields) override
    {
        addToDigest(event + fields);
    }
    bool shouldLogDetail() override { return acceptsDetail; }
    void logDetail(const std::string &event, const std::string &fields) override
    {
        ++details;
        addToDigest(event + fields);
    }

    std::vector<start_command> starts;
    std::map<worker_id, poll_command> polls; ///< The latest one of each worker.
    bool isCommitting = false;
    int stops = 0;
    int paces = 0;
    int details = 0;
    bool acceptsDetail = true; ///< The log accepts detailed lines.
    bool isDigesting = true;
    std::uint64_t digest = 0;

private:
    void addToDigest(const std::string &text)
    {
        if (isDigesting)
            digest = digest * 1099511628211U + std::hash<std::string>()(text);
    }
    void addToDigest(const char *kind, const worker_id &worker, const task_name &task, int number)
    {
        if (isDigesting)
            addToDigest(fmt::format("{} {} {} {}", kind, worker.value, toString(task), number));
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
        core.takeOver(now, clockMs(), 1, {}, {});
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

    /// Submits continuous tasks with a latency target.
    void submitServing(const std::string &image, int tasks)
    {
        step_spec step;
        step.size = {4000, 8000, 0};
        step.latencyTargetMs = 100;
        submit(image, step, tasks);
    }

    /// Submits continuous best-effort tasks.
    void submitBestEffort(const std::string &image, int tasks)
    {
        step_spec step;
        step.size = {1000, 4000, 0};
        step.isBestEffort = true;
        submit(image, step, tasks);
    }

    /// Confirms commands until all submitted tasks run.
    void startAllTasks()
    {
        for (int i = 0; i < 1000 && (i < 50 || core.counters().tasksWaiting > 0); ++i)
            settle();
    }

    /// Returns the worker's latest poll and a response that lists all its runs. Serving tasks
    /// report \p latencyMs as their tail latency.
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

    /// Advances time by 10 ms, confirms all commits and starts, and answers all polls.
    void settle()
    {
        now += 10ms;
        if (std::exchange(ports.isCommitting, false))
            core.onCommitted(now);
        for (const start_command &command : std::exchange(ports.starts, {})) {
            running[command.worker].push_back({command.task, command.run});
            core.onStartResult(now, command, {command_outcome::done, clockMs()});
        }
        for (const worker_id &worker : ids) {
            if (ports.polls.count(worker) == 0)
                continue;
            const auto [command, result] = reportOf(worker, defaultLatencyMs);
            core.onPollResult(now, command, result);
        }
        core.tick(now, clockMs());
    }

    std::int64_t clockMs() const
    {
        return std::chrono::duration_cast<std::chrono::milliseconds>(now.time_since_epoch())
            .count();
    }

    static constexpr std::int64_t defaultLatencyMs = 50;

    instant now{1000s};
    command_recorder ports;
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
            // Real job names are this long, too long for the small-string optimisation, so that
            // each copy of one allocates.
            const char kind = step.isBestEffort ? 'f' : 's';
            core.call(now, clockMs(),
                      submissionOf(fmt::format("{}{:015x}", kind, ++m_lastJob), step));
        }
    }

    int m_lastJob = 0;
};

} // namespace crocuswind::scheduler

#endif
