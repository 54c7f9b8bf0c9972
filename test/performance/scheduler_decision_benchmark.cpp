// Measures the cost of the scheduler's decisions for the owner. "sizes" measures fleets up to the
// expected size: processor time per start including its completion, and memory per job. "burst"
// measures a burst of tasks that exceeds the capacity, most of them best effort. Prints results and
// asserts nothing. For reproducible instruction counts, run the burst alone under
// valgrind --tool=callgrind.
// Usage: scheduler_decision_benchmark [SECONDS-OF-WORK [sizes|burst]]

#include "correctness/job_submission.h"

#include <algorithm>
#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <deque>
#include <fmt/format.h>
#include <malloc.h>

using namespace crocuswind;
using namespace crocuswind::scheduler;

namespace {

/// Queues commands so that the fleet answers them in order, without a network.
class instant_ports final : public scheduler_ports
{
public:
    void start(const start_command &command) override { starts.push_back(command); }
    void stop(const stop_command &) override { }
    void pace(const pace_command &) override { }
    void poll(const poll_command &command) override
    {
        polls.emplace_back(now + std::chrono::milliseconds(command.waitMs), command);
    }
    void fenceEarlierCommands(const worker_id &) override { }
    void commit(commit_batch batch) override
    {
        isCommitting = true;
        for (const store_put &put : batch.puts)
            bytes += put.value.size();
        ++commits;
    }
    void answer(const job_reply &) override { }
    void log(const std::string &, const std::string &) override { }
    bool shouldLogDetail() override { return true; }
    void logDetail(const std::string &, const std::string &) override { }

    std::deque<start_command> starts;
    std::deque<std::pair<instant, poll_command>> polls; ///< With the end of their wait time.
    instant now;
    bool isCommitting = false;
    std::size_t bytes = 0;
    std::size_t commits = 0;
};

/// A run on a simulated worker.
struct fake_run
{
    task_name task;
    int run = 0;
    instant endsAt;
    bool isContinuous = false;
};

/// An owner and simulated workers.
struct fleet
{
    explicit fleet(int workers, resources capacity, duration finiteRunTime)
        : core(scheduler_settings(), ports)
        , runTime(finiteRunTime)
    {
        queue_policy policy;
        policy.queue.value = "q";
        policy.service.value = "pool";
        core.setQueues(now, {policy});
        core.setAuthority(now, now + 1000000s, now + 1000000s);
        core.takeOver(now, 0, 1, {}, {});
        for (int i = 0; i < workers; ++i) {
            worker_info info;
            info.id.value = fmt::format("w{:04}", i);
            info.service = policy.service;
            info.capacity = capacity;
            core.onWorker(now, info);
        }
        settle();
    }

    void settleFor(duration d)
    {
        for (const instant until = now + d; now < until;)
            settle();
    }

    void submit(const std::string &name, const step_spec &step)
    {
        job_call call = submissionOf(name, step);
        call.spec->payload = std::string(1200, 'x');
        core.call(now, 0, call);
    }

    // Advances time by 10 ms and executes all commands: confirms starts, and reports the runs that
    // are over in response to the next poll of their worker.
    void settle()
    {
        now += 10ms;
        ports.now = now;
        core.onWorkersSynchronized(now, now);
        if (std::exchange(ports.isCommitting, false))
            core.onCommitted(now);
        while (!ports.starts.empty()) {
            const start_command command = ports.starts.front();
            ports.starts.pop_front();
            const bool isContinuous = command.task.job.value.rfind("lasting", 0) == 0;
            running[command.worker].push_back(
                {command.task, command.run, now + runTime, isContinuous});
            core.onStartResult(now, command, {command_outcome::done, clockMs()});
            ++confirmedStarts;
        }
        std::deque<std::pair<instant, poll_command>> polls;
        polls.swap(ports.polls);
        for (const auto &[waitsUntil, command] : polls) {
            if (now < waitsUntil && !hasCompletions(command.worker)) {
                ports.polls.emplace_back(waitsUntil, command);
                continue;
            }
            poll_result result;
            result.outcome = command_outcome::done;
            result.report.clockMs = clockMs();
            result.report.incarnationStartUnixMs = 1;
            auto &here = running[command.worker];
            std::vector<fake_run> staying;
            for (const fake_run &run : here) {
                if (isOver(run)) {
                    result.report.completedRuns.push_back({++lastCompletion[command.worker],
                                                           run.task, run.run,
                                                           completion_reason::done, ""});
                    continue;
                }
                result.report.running.push_back({run.task, run.run, "", 100, latencyMs});
                staying.push_back(run);
            }
            here = staying;
            core.onPollResult(now, command, result);
        }
        core.tick(now, 0);
    }

    bool isOver(const fake_run &run) const { return !run.isContinuous && run.endsAt <= now; }

    bool hasCompletions(const worker_id &worker)
    {
        const auto &here = running[worker];
        return std::any_of(here.begin(), here.end(),
                           [this](const fake_run &run) { return isOver(run); });
    }

    std::int64_t clockMs() const
    {
        return std::chrono::duration_cast<std::chrono::milliseconds>(now.time_since_epoch())
            .count();
    }

    instant now{1000s};
    instant_ports ports;
    scheduler_core core;
    duration runTime;
    std::int64_t latencyMs = 0; ///< Reported for all runs.
    std::map<worker_id, std::vector<fake_run>> running;
    std::map<worker_id, std::int64_t> lastCompletion;
    std::int64_t confirmedStarts = 0;
};

step_spec plainStep(int tasks, bool isContinuous)
{
    step_spec step;
    step.count = tasks;
    step.size = {1500, 6000, 0};
    step.isContinuous = isContinuous;
    return step;
}

void measureSize(int workers, int continuousTasks, int seconds)
{
    const std::size_t heapBefore = mallinfo2().uordblks;
    fleet f(workers, {64000, 512000, 1}, 0ms);
    for (int i = 0; i < continuousTasks / 50; ++i)
        f.submit(fmt::format("lasting-{}", i), plainStep(50, true));
    f.settleFor(4s);
    const std::size_t heapContinuous = mallinfo2().uordblks - heapBefore;
    const std::int64_t before = f.confirmedStarts;
    const auto begin = std::chrono::steady_clock::now();
    int job = 0;
    // 74 jobs of 8 tasks a second are 592 starts a second.
    for (int step = 0; step < seconds * 100; ++step) {
        if (step % 100 < 74)
            f.submit(fmt::format("finite-{}", job++), plainStep(8, false));
        f.settle();
    }
    const double us
        = std::chrono::duration<double, std::micro>(std::chrono::steady_clock::now() - begin)
              .count();
    const double starts = double(f.confirmedStarts - before);
    fmt::print(
        "{:5} workers {:6} continuous tasks: {:7.0f} starts, {:6.1f} us a start with its "
        "completion and polls, {:.3f} of a core at 590 a second, heap {:.1f} MB for continuous "
        "tasks, {:.0f} B a continuous task, {:.1f} commits a second\n",
        workers, continuousTasks, starts, us / starts, us / starts * 590 / 1e6,
        double(heapContinuous) / 1e6, double(heapContinuous) / std::max(1, continuousTasks),
        double(f.ports.commits) / double(f.now.time_since_epoch().count() / 1e6 - 1000));
}

// Returns a step of one of ten images; together they place three tasks of 3 cores on each worker.
step_spec servingStep(int workers, int image)
{
    step_spec step;
    step.count = workers * 3 / 10;
    step.size = {3000, 8000, 0};
    step.isContinuous = true;
    step.image = fmt::format("registry/serving-image-{}", image);
    step.latencyTargetMs = 100;
    step.maxPerWorker = 1;
    return step;
}

// Returns a step of one of 48 kinds: 16 images in three sizes. Every fourth kind reserves
// processors; the others are best effort.
step_spec finiteStep(int kind)
{
    step_spec step;
    step.count = 8 * (1 + kind % 4);
    step.size = {500 * (1 + kind % 3), 2000, 0};
    step.expectedRunMs = 6000;
    step.isBestEffort = kind % 4 != 0;
    step.image = fmt::format("registry/filling-image-{}", kind % 16);
    return step;
}

void measureBurst(int workers, int seconds)
{
    constexpr int kinds = 48;
    // Jobs of 20 tasks on average that exceed the capacity of the fleet.
    const int jobsPerStep = std::max(1, workers / 490);
    fleet f(workers, {16000, 64000, 0}, 6s);
    f.latencyMs = 50;
    for (int image = 0; image < 10; ++image)
        f.submit(fmt::format("lasting-{}", image), servingStep(workers, image));
    f.settleFor(2s);
    const std::int64_t startsBefore = f.confirmedStarts;
    const scheduler_counters before = f.core.counters();
    const auto begin = std::chrono::steady_clock::now();
    double longestMs = 0;
    int job = 0;
    for (int step = 0; step < seconds * 100; ++step) {
        for (int i = 0; i < jobsPerStep; ++i, ++job)
            f.submit(fmt::format("finite-{}", job), finiteStep(job % kinds));
        const auto from = std::chrono::steady_clock::now();
        f.settle();
        longestMs = std::max(
            longestMs,
            std::chrono::duration<double, std::milli>(std::chrono::steady_clock::now() - from)
                .count());
    }
    const double us
        = std::chrono::duration<double, std::micro>(std::chrono::steady_clock::now() - begin)
              .count();
    const double starts = double(f.confirmedStarts - startsBefore);
    const scheduler_counters after = f.core.counters();
    fmt::print(
        "burst on {} workers: {:.0f} starts in {} s, {} tasks wait, {:.1f} us a start with "
        "its completion and polls, {:.1f} workers examined a start, longest turn {:.1f} ms\n",
        workers, starts, seconds, after.tasksWaiting, us / starts,
        double(after.workersExamined - before.workersExamined) / starts, longestMs);
}

} // namespace

int main(int argc, char **argv)
{
    const int seconds = argc > 1 ? std::atoi(argv[1]) : 10;
    const std::string mode = argc > 2 ? argv[2] : "";
    if (mode != "burst") {
        for (const auto &[workers, tasks] : {std::pair(110, 3450), std::pair(220, 6900),
                                             std::pair(445, 13850), std::pair(890, 27700)})
            measureSize(workers, tasks, seconds);
    }
    if (mode != "sizes") {
        for (int workers : {490, 1100, 2200})
            measureBurst(workers, seconds);
    }
    return 0;
}
