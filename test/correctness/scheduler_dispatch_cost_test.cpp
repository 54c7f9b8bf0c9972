// Guards against a dispatch cost proportional to the number of workers times the number of waiting
// tasks. In a burst of submissions, an owner spent half of its processor time on choosing workers
// and lost its lease. The tests count how many workers are examined.

#include "correctness/job_submission.h"

#include <algorithm>
#include <deque>
#include <fmt/format.h>
#include <gtest/gtest.h>

using namespace crocuswind;
using namespace crocuswind::scheduler;

namespace {

constexpr int workerCount = 490;

/// Number of kinds of steps; steps of one kind have the same size, image and other requirements.
constexpr int kindCount = 12;

/// Upper limit for the starts that the core issues while it handles one event, which keeps the
/// event loop responsive.
constexpr std::size_t maxStartsPerEvent = 256;

/// Records commands; the fixture answers them.
class recording_ports final : public scheduler_ports
{
public:
    void start(const start_command &command) override { starts.push_back(command); }
    void stop(const stop_command &) override { }
    void pace(const pace_command &) override { }
    void poll(const poll_command &command) override { polls.push_back(command); }
    void fenceEarlierCommands(const worker_id &) override { }
    void commit(commit_batch) override { isCommitting = true; }
    void answer(const job_reply &) override { }
    void log(const std::string &, const std::string &) override { }
    bool shouldLogDetail() override { return true; }
    void logDetail(const std::string &, const std::string &) override { }

    std::vector<start_command> starts;
    std::deque<poll_command> polls;
    bool isCommitting = false;
};

/// An owner whose workers run serving tasks of several images.
struct dispatch_cost : testing::Test
{
    dispatch_cost()
        : core(scheduler_settings(), ports)
    {
        for (const auto &[name, priority] : {std::pair("q", 1), std::pair("urgent", 0)}) {
            queue_policy policy;
            policy.queue.value = name;
            policy.service.value = "pool";
            policy.priority = priority;
            policy.stretch = 10; // Keeps the burst in time, however much has started.
            policies.push_back(policy);
        }
        core.setQueues(now, policies);
        core.takeOver(now, 0, 1, {}, {});
        for (int i = 0; i < workerCount; ++i) {
            worker_info info;
            info.id.value = fmt::format("w{:03}", i);
            info.service.value = "pool";
            info.capacity = {16000, 64000, 0};
            core.onWorker(now, info);
        }
        allowStarts();
        settle(100ms);
        for (int image = 0; image < 5; ++image)
            submit("q", fmt::format("serving-{}", image), servingStep(image));
        settle(500ms);
    }

    void allowStarts()
    {
        core.setAuthority(now, now + 1000s, now + 1000s);
        core.onWorkersSynchronized(now, now + 1000s);
    }

    // The owner starts nothing without a confirmed lease.
    void blockStarts() { core.setAuthority(now, now, now); }

    static step_spec servingStep(int image)
    {
        step_spec step;
        step.count = 2 * workerCount / 5;
        step.size = {4000, 4000, 0};
        step.isContinuous = true;
        step.image = fmt::format("serving-image-number-{}", image);
        step.latencyTargetMs = 100;
        step.maxPerWorker = 1;
        return step;
    }

    // Returns a step of one of `kindCount` kinds. Every fourth kind reserves processors; the others
    // are best effort.
    static step_spec finiteStep(int kind)
    {
        step_spec step;
        step.count = 8;
        step.size = {200 + 100 * (kind % 3), 500, 0};
        step.expectedRunMs = 2000;
        step.isBestEffort = kind % 4 != 0;
        step.image = fmt::format("filling-image-number-{}", kind);
        return step;
    }

    void submit(const std::string &queue, const std::string &name, const step_spec &step)
    {
        job_call call = submissionOf(name, step);
        call.queue.value = queue;
        call.spec->queue = call.queue;
        handle([&] { core.call(now, 0, call); });
    }

    // Submits the jobs while starts are blocked, and returns when all are stored and waiting. The
    // urgent jobs are submitted last.
    void submitBlockedBurst(int jobs, int urgentJobs)
    {
        blockStarts();
        for (int i = 0; i < jobs + urgentJobs; ++i)
            submit(i < jobs ? "q" : "urgent", fmt::format("job-{:04}", i),
                   finiteStep(i % kindCount));
        for (int i = 0; i < 100; ++i) {
            now += 10ms;
            commitAndTick();
        }
    }

    // Handles one event and tracks the maximum number of starts that one event issues.
    template <class event>
    void handle(event e)
    {
        const std::size_t before = ports.starts.size();
        e();
        maxObservedStartsPerEvent
            = std::max(maxObservedStartsPerEvent, ports.starts.size() - before);
    }

    // Ticks the core at the times that it requests, without any other event, until \p starts starts
    // have been issued in total. Returns the elapsed time; gives up after one second.
    duration tickUntil(std::size_t starts)
    {
        const instant begin = now;
        while (ports.starts.size() < starts && now < begin + 1s) {
            now = std::max(now, core.nextWake());
            handle([&] { core.tick(now, 0); });
        }
        return now - begin;
    }

    void commitAndTick()
    {
        if (std::exchange(ports.isCommitting, false))
            handle([&] { core.onCommitted(now); });
        handle([&] { core.tick(now, 0); });
    }

    void answerPolls()
    {
        for (std::size_t left = ports.polls.size(); left > 0; --left) {
            const poll_command command = ports.polls.front();
            ports.polls.pop_front();
            poll_result result;
            result.outcome = command_outcome::done;
            result.report.clockMs
                = std::chrono::duration_cast<std::chrono::milliseconds>(now.time_since_epoch())
                      .count();
            result.report.incarnationStartUnixMs = 1;
            for (const start_command &start : confirmed[command.worker])
                result.report.running.push_back({start.task, start.run, "", 100, 0});
            handle([&] { core.onPollResult(now, command, result); });
        }
    }

    void answerStarts()
    {
        for (; answeredStarts < ports.starts.size(); ++answeredStarts) {
            const start_command command = ports.starts[answeredStarts];
            confirmed[command.worker].push_back(command);
            handle([&] {
                core.onStartResult(now, command, {command_outcome::done, std::nullopt});
            });
        }
    }

    void settle(duration d)
    {
        for (const instant until = now + d; now < until;) {
            now += 10ms;
            commitAndTick();
            answerPolls();
            answerStarts();
        }
    }

    instant now{1000s};
    recording_ports ports;
    std::vector<queue_policy> policies;
    scheduler_core core;
    std::map<worker_id, std::vector<start_command>> confirmed;
    std::size_t answeredStarts = 0;
    std::size_t maxObservedStartsPerEvent = 0;
};

} // namespace

// The owner examined all 490 workers for each of 3,000 waiting tasks.
TEST_F(dispatch_cost, ExaminesWorkersOncePerKindOfStepInsteadOfOncePerTask)
{
    submitBlockedBurst(375, 0);
    const scheduler_counters before = core.counters();
    allowStarts();
    settle(300ms);
    const std::int64_t starts = core.counters().starts - before.starts;
    const std::int64_t examined = core.counters().workersExamined - before.workersExamined;
    EXPECT_EQ(starts, 3000);
    // A pass issues at most 200 starts and examines each worker once for each kind. A start on a
    // worker makes each kind examine that worker again. An examination has up to two stages.
    const std::int64_t bound = 2 * kindCount * (workerCount / 200 + 1 + 1);
    EXPECT_LE(examined, bound * starts);
}

// While the waiting tasks exceeded the capacity, each pass examined all workers for every waiting
// step.
TEST_F(dispatch_cost, ExaminesWorkersOncePerKindAndPassWhileNothingFits)
{
    submitBlockedBurst(400, 0);
    allowStarts();
    for (int i = 0; i < 2000; ++i)
        submit("q", fmt::format("more-{:04}", i), finiteStep(i % kindCount));
    settle(8s);
    ASSERT_GT(core.counters().tasksWaiting, 3000);
    const scheduler_counters before = core.counters();
    settle(1s);
    const std::int64_t starts = core.counters().starts - before.starts;
    const std::int64_t examined = core.counters().workersExamined - before.workersExamined;
    EXPECT_LE(starts, 100);
    EXPECT_LE(examined, 100 * kindCount * workerCount);
}

// After a takeover, the owner issued all delayed starts while it handled a single event. This took
// longer than its lease.
TEST_F(dispatch_cost, IssuesABoundedNumberOfStartsPerEvent)
{
    submitBlockedBurst(375, 0);
    allowStarts();
    settle(500ms);
    EXPECT_EQ(core.counters().tasksWaiting, 0);
    EXPECT_LE(maxObservedStartsPerEvent, maxStartsPerEvent);
}

TEST_F(dispatch_cost, StartsTheRestOfABurstWithoutFurtherEvents)
{
    submitBlockedBurst(375, 0);
    const std::size_t before = ports.starts.size();
    allowStarts();
    EXPECT_LE(tickUntil(before + 3000), 200ms);
    EXPECT_EQ(ports.starts.size(), before + 3000);
    EXPECT_LE(maxObservedStartsPerEvent, maxStartsPerEvent);
}

TEST_F(dispatch_cost, StartsUrgentJobsFirstWhenABurstTakesSeveralPasses)
{
    submitBlockedBurst(250, 125);
    const std::size_t before = ports.starts.size();
    allowStarts();
    tickUntil(before + 3000);
    ASSERT_EQ(ports.starts.size(), before + 3000);
    for (std::size_t i = 0; i < 1000; ++i)
        ASSERT_GE(ports.starts[before + i].task.job.value, "job-0250") << i;
}

// A continuous task that was interrupted waited for 14 s behind thousands of new tasks that were in
// time, although there was room for it.
TEST_F(dispatch_cost, StartsInterruptedContinuousTasksBeforeABurst)
{
    blockStarts();
    std::vector<start_command> &runs = confirmed.begin()->second;
    ASSERT_FALSE(runs.empty());
    const task_name interrupted = runs.front().task;
    runs.erase(runs.begin());
    settle(2s);
    submitBlockedBurst(250, 125);
    const std::size_t before = ports.starts.size();
    allowStarts();
    tickUntil(before + 3000);
    ASSERT_GT(ports.starts.size(), before);
    EXPECT_EQ(ports.starts[before].task, interrupted);
}

// Each pass examined all workers again for each kind of waiting task, so that the cost of a pass
// grew with the fleet. A worker is examined again only when it has changed.
TEST_F(dispatch_cost, ExaminesUnchangedWorkersOnceInManyPasses)
{
    submitBlockedBurst(400, 0);
    allowStarts();
    for (int i = 0; i < 2000; ++i)
        submit("q", fmt::format("more-{:04}", i), finiteStep(i % kindCount));
    settle(8s);
    ASSERT_GT(core.counters().tasksWaiting, 3000);
    const scheduler_counters before = core.counters();
    constexpr int passes = 50;
    for (int i = 0; i < passes; ++i) {
        now += 10ms;
        core.setQueues(now, policies);
        core.tick(now, 0);
    }
    EXPECT_EQ(core.counters().starts, before.starts);
    // The first pass takes over earlier changes, and the choice is rebuilt at most once within half
    // a second. Examinations have up to two stages.
    EXPECT_LE(core.counters().workersExamined - before.workersExamined,
              2 * 2 * kindCount * workerCount);
}

// While the start window was full, passes followed each other without a pause, because one start
// was kept for a job that no worker can take.
TEST_F(dispatch_cost, WaitsForAnswersWhileAJobThatFitsNowhereIsStarved)
{
    step_spec labelled = finiteStep(1);
    labelled.requiredLabel = "absent";
    labelled.expectedRunMs = 1;
    submit("q", "labelled", labelled);
    settle(3s);
    submitBlockedBurst(600, 0);
    const std::size_t before = ports.starts.size();
    allowStarts();
    constexpr int maxTicks = 1000;
    int ticks = 0;
    for (const instant until = now + 100ms; now < until && ticks < maxTicks; ++ticks) {
        now = std::max(now, core.nextWake());
        commitAndTick();
    }
    EXPECT_GE(ports.starts.size(), before + 3990);
    EXPECT_LT(ticks, 100);
}

// Work that is in time takes all starts of the window; a starved job starts nevertheless.
TEST_F(dispatch_cost, StartsAStarvedJobWhileOtherWorkTakesAllStarts)
{
    submitBlockedBurst(600, 0);
    step_spec late = finiteStep(1);
    late.expectedRunMs = 1;
    submit("q", "late", late);
    for (int i = 0; i < 300; ++i) {
        now += 10ms;
        commitAndTick();
    }
    const auto hasStarted = [&] {
        return std::any_of(
            ports.starts.begin(), ports.starts.end(),
            [](const start_command &start) { return start.task.job.value == "late"; });
    };
    ASSERT_FALSE(hasStarted());
    const std::size_t before = ports.starts.size();
    allowStarts();
    tickUntil(before + 1);
    EXPECT_LE(ports.starts.size(), before + 200);
    EXPECT_TRUE(hasStarted());
}
