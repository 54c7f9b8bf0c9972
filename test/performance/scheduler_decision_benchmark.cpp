// Measures what the scheduler's decisions cost the owner at sizes up to the expected one: processor
// time for a start with its end, and state for each job. Prints figures; asserts nothing.
// Usage: scheduler_decision_benchmark [SECONDS-OF-WORK]

#include "correctness/job_submission.h"

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
    void start(const start_order &order) override { starts.push_back(order); }
    void stop(const stop_order &) override { }
    void pace(const pace_order &) override { }
    void poll(const poll_order &order) override
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
    bool wantsDetail() override { return true; }
    void logDetail(const std::string &, const std::string &) override { }

    std::deque<start_order> starts;
    std::deque<std::pair<instant, poll_order>> polls; ///< With the time until which each waits.
    instant now;
    bool isCommitting = false;
    std::size_t bytes = 0;
    std::size_t commits = 0;
};

struct fleet
{
    explicit fleet(int workers, int lastingTasks)
        : core(scheduler_settings(), ports)
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
            info.capacity = {64000, 512000, 1};
            core.onWorker(now, info);
        }
        settle();
        for (int i = 0; i < lastingTasks / 50; ++i)
            submit(fmt::format("lasting-{}", i), 50, true);
        for (int i = 0; i < 400; ++i)
            settle();
    }

    void submit(const std::string &name, int tasks, bool isLasting)
    {
        step_spec step;
        step.count = tasks;
        step.size = {1500, 6000, 0};
        step.isLasting = isLasting;
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
            const start_order order = ports.starts.front();
            ports.starts.pop_front();
            running[order.worker].push_back({order.task, order.run});
            core.onStartResult(now, order, {order_outcome::done, clockMs()});
            ++startsSeen;
        }
        std::deque<std::pair<instant, poll_order>> polls;
        polls.swap(ports.polls);
        for (const auto &[waitsUntil, order] : polls) {
            if (now < waitsUntil && !hasEnds(order.worker)) {
                ports.polls.emplace_back(waitsUntil, order);
                continue;
            }
            poll_result result;
            result.outcome = order_outcome::done;
            result.report.clockMs = clockMs();
            result.report.bornUnixMs = 1;
            auto &here = running[order.worker];
            std::vector<std::pair<task_name, int>> staying;
            for (const auto &[task, run] : here) {
                if (task.job.value.rfind("lasting", 0) == 0) {
                    result.report.running.push_back({task, run, "", 100, 0});
                    staying.emplace_back(task, run);
                } else {
                    result.report.ended.push_back(
                        {++lastEnd[order.worker], task, run, end_reason::done, ""});
                }
            }
            here = staying;
            core.onPollResult(now, order, result);
        }
        core.tick(now, 0);
    }

    bool hasEnds(const worker_id &worker)
    {
        for (const auto &[task, run] : running[worker]) {
            if (task.job.value.rfind("lasting", 0) != 0)
                return true;
        }
        return false;
    }

    std::int64_t clockMs() const
    {
        return std::chrono::duration_cast<std::chrono::milliseconds>(now.time_since_epoch())
            .count();
    }

    instant now{1000s};
    instant_ports ports;
    scheduler_core core;
    std::map<worker_id, std::vector<std::pair<task_name, int>>> running;
    std::map<worker_id, std::int64_t> lastEnd;
    std::int64_t startsSeen = 0;
};

void measure(int workers, int lastingTasks, int seconds)
{
    const std::size_t heapBefore = mallinfo2().uordblks;
    fleet f(workers, lastingTasks);
    const std::size_t heapLasting = mallinfo2().uordblks - heapBefore;
    const std::int64_t before = f.startsSeen;
    const auto begin = std::chrono::steady_clock::now();
    int job = 0;
    // 74 jobs of 8 tasks a second are 592 starts a second.
    for (int step = 0; step < seconds * 100; ++step) {
        if (step % 100 < 74)
            f.submit(fmt::format("finite-{}", job++), 8, false);
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

} // namespace

int main(int argc, char **argv)
{
    const int seconds = argc > 1 ? std::atoi(argv[1]) : 10;
    for (const auto &[workers, tasks] :
         {std::pair(110, 3450), std::pair(220, 6900), std::pair(445, 13850), std::pair(890, 27700)})
        measure(workers, tasks, seconds);
    return 0;
}
