// Measures what the scheduler's decisions cost the owner at sizes up to the expected one: processor
// time for a start with its end, and state for each job; and under a burst of work in idle room
// that does not fit. Prints figures; asserts nothing. For instructions that repeat, run the burst
// alone under valgrind --tool=callgrind. Usage: scheduler_decision_benchmark [SECONDS-OF-WORK
// [sizes|burst]]

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

/// Answers every order at once, in order, without a network.
class instant_ports final : public scheduler_ports
{
public:
    void start(const start_command &order) override { starts.push_back(order); }
    void stop(const stop_command &) override { }
    void pace(const pace_command &) override { }
    void poll(const poll_command &order) override
    {
        polls.emplace_back(now + std::chrono::milliseconds(order.waitMs), order);
    }
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
    std::deque<std::pair<instant, poll_command>> polls; ///< With the time until which each waits.
    instant now;
    bool isCommitting = false;
    std::size_t bytes = 0;
    std::size_t commits = 0;
};

/// A run on a worker.
struct fake_run
{
    task_name task;
    int run = 0;
    instant endsAt;
    bool isContinuous = false;
};

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
        core.takeOver(now, 0, 1, {}, now);
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

    // Carries out what was ordered: starts are confirmed, and end with the next poll of the worker.
    void settle()
    {
        now += 10ms;
        ports.now = now;
        if (std::exchange(ports.isCommitting, false))
            core.onCommitted(now);
        while (!ports.starts.empty()) {
            const start_command order = ports.starts.front();
            ports.starts.pop_front();
            const bool isContinuous = order.task.job.value.rfind("lasting", 0) == 0;
            running[order.worker].push_back({order.task, order.run, now + runTime, isContinuous});
            core.onStartResult(now, order, {command_outcome::done, clockMs()});
            ++startsSeen;
        }
        std::deque<std::pair<instant, poll_command>> polls;
        polls.swap(ports.polls);
        for (const auto &[waitsUntil, order] : polls) {
            if (now < waitsUntil && !hasEnds(order.worker)) {
                ports.polls.emplace_back(waitsUntil, order);
                continue;
            }
            poll_result result;
            result.outcome = command_outcome::done;
            result.report.clockMs = clockMs();
            result.report.incarnationStartUnixMs = 1;
            auto &here = running[order.worker];
            std::vector<fake_run> staying;
            for (const fake_run &run : here) {
                if (isOver(run)) {
                    result.report.completedRuns.push_back(
                        {++lastEnd[order.worker], run.task, run.run, completion_reason::done, ""});
                    continue;
                }
                result.report.running.push_back({run.task, run.run, "", 100, latencyMs});
                staying.push_back(run);
            }
            here = staying;
            core.onPollResult(now, order, result);
        }
        core.tick(now, 0);
    }

    bool isOver(const fake_run &run) const { return !run.isContinuous && run.endsAt <= now; }

    bool hasEnds(const worker_id &worker)
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
    std::int64_t latencyMs = 0; ///< Of all tasks with a latency target.
    std::map<worker_id, std::vector<fake_run>> running;
    std::map<worker_id, std::int64_t> lastEnd;
    std::int64_t startsSeen = 0;
};

step_spec plainStep(int tasks, bool isContinuous)
{
    step_spec step;
    step.count = tasks;
    step.size = {1500, 6000, 0};
    step.isContinuous = isContinuous;
    return step;
}

void measureSize(int workers, int lastingTasks, int seconds)
{
    const std::size_t heapBefore = mallinfo2().uordblks;
    fleet f(workers, {64000, 512000, 1}, 0ms);
    for (int i = 0; i < lastingTasks / 50; ++i)
        f.submit(fmt::format("lasting-{}", i), plainStep(50, true));
    f.settleFor(4s);
    const std::size_t heapLasting = mallinfo2().uordblks - heapBefore;
    const std::int64_t before = f.startsSeen;
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
    const double starts = double(f.startsSeen - before);
    fmt::print(
        "{:5} workers {:6} lasting tasks: {:7.0f} starts, {:6.1f} us a start with its end and "
        "polls, {:.3f} of a core at 590 a second, heap {:.1f} MB for lasting tasks, {:.0f} B "
        "a lasting task, {:.1f} commits a second\n",
        workers, lastingTasks, starts, us / starts, us / starts * 590 / 1e6,
        double(heapLasting) / 1e6, double(heapLasting) / std::max(1, lastingTasks),
        double(f.ports.commits) / double(f.now.time_since_epoch().count() / 1e6 - 1000));
}

// Three tasks of 3 cores on each worker, of ten images.
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

// Of 48 kinds: 16 images in three sizes. Every fourth reserves its processors.
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

void measureBurst(int seconds)
{
    constexpr int workers = 490;
    constexpr int kinds = 48;
    fleet f(workers, {16000, 64000, 0}, 6s);
    f.latencyMs = 50;
    for (int image = 0; image < 10; ++image)
        f.submit(fmt::format("lasting-{}", image), servingStep(workers, image));
    f.settleFor(2s);
    const std::int64_t startsBefore = f.startsSeen;
    const scheduler_counters before = f.core.counters();
    const auto begin = std::chrono::steady_clock::now();
    double latest = 0;
    int job = 0;
    // 100 jobs of 20 tasks a second ask for more than the site has.
    for (int step = 0; step < seconds * 100; ++step) {
        f.submit(fmt::format("finite-{}", job), finiteStep(job % kinds));
        ++job;
        const auto from = std::chrono::steady_clock::now();
        f.settle();
        latest = std::max(
            latest,
            std::chrono::duration<double, std::milli>(std::chrono::steady_clock::now() - from)
                .count());
    }
    const double us
        = std::chrono::duration<double, std::micro>(std::chrono::steady_clock::now() - begin)
              .count();
    const double starts = double(f.startsSeen - startsBefore);
    const scheduler_counters after = f.core.counters();
    fmt::print("burst on {} workers: {:.0f} starts in {} s, {} tasks wait, {:.1f} us a start with "
               "its end and polls, {:.1f} workers examined a start, longest turn {:.1f} ms\n",
               workers, starts, seconds, after.tasksWaiting, us / starts,
               double(after.workersExamined - before.workersExamined) / starts, latest);
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
    if (mode != "sizes")
        measureBurst(seconds);
    return 0;
}
