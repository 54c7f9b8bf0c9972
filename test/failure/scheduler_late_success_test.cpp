// Guards against resources that are considered free while a redundant run still uses them: the task
// of the run has already succeeded on another worker. The test delivers the responses to commands
// and the reports itself, so that they can overtake each other.

#include "correctness/job_submission.h"

#include <deque>
#include <gtest/gtest.h>
#include <map>

using namespace crocuswind;
using namespace crocuswind::scheduler;

namespace {

/// An owner whose commands are queued until the test answers them.
class late_success : public testing::Test, public scheduler_ports
{
public:
    void start(const start_command &command) override { starts.push_back(command); }
    void stop(const stop_command &command) override { stops.push_back(command); }
    void pace(const pace_command &) override { }
    void poll(const poll_command &command) override { polls[command.worker] = command; }
    void fenceEarlierCommands(const worker_id &) override { }
    void commit(commit_batch) override { isCommitting = true; }
    void answer(const job_reply &) override { }
    void log(const std::string &, const std::string &) override { }
    bool shouldLogDetail() override { return true; }
    void logDetail(const std::string &, const std::string &) override { }

protected:
    late_success()
        : core(scheduler_settings(), *this)
    {
        queue_policy policy;
        policy.queue.value = "q";
        policy.service.value = "pool";
        core.setQueues(now, {policy});
        core.setAuthority(now, now + 1000s, now + 1000s);
        core.takeOver(now, 0, 1, {}, {});
        core.onWorkersSynchronized(now, now + 1000s);
        addWorker(former);
        advanceTime(300ms);
        report(former);
    }

    void addWorker(const worker_id &id, bool isDraining = false)
    {
        worker_info info;
        info.id = id;
        info.service.value = "pool";
        info.capacity = {1000, 1000, 0};
        info.isDraining = isDraining;
        core.onWorker(now, info);
    }

    void advanceTime(duration d)
    {
        for (const instant until = now + d; now < until;) {
            now += 10ms;
            if (std::exchange(isCommitting, false))
                core.onCommitted(now);
            core.tick(now, 0);
        }
    }

    void submit(const std::string &name)
    {
        step_spec step;
        step.count = 1;
        step.size = {1000, 100, 0};
        core.call(now, 0, submissionOf(name, step));
        advanceTime(100ms);
    }

    std::int64_t clockMs() const
    {
        return std::chrono::duration_cast<std::chrono::milliseconds>(now.time_since_epoch())
            .count();
    }

    void report(const worker_id &id, std::vector<running_report> running = {},
                std::vector<completion_report> completedRuns = {})
    {
        poll_result result;
        result.outcome = command_outcome::done;
        result.report = {clockMs(), 1, std::move(running), std::move(completedRuns)};
        core.onPollResult(now, polls.at(id), result);
    }

    // Starts the task on the former worker, which then stops responding until its lease has
    // expired. The owner gives up the run and starts the task on the other worker. That start is
    // unanswered.
    void giveUpOnFormerWorker()
    {
        submit("task");
        ASSERT_EQ(starts.size(), 1u);
        core.onStartResult(now, starts[0], {command_outcome::done, clockMs()});
        addWorker(other);
        advanceTime(300ms);
        report(other);
        for (int i = 0; i < 60; ++i) {
            core.onPollResult(now, polls.at(former), poll_result());
            advanceTime(100ms);
            if (starts.size() < 2)
                report(other);
            advanceTime(100ms);
        }
        ASSERT_EQ(starts.size(), 2u);
        ASSERT_EQ(starts[1].worker, other);
        submit("next"); // No worker has capacity for it.
        ASSERT_EQ(starts.size(), 2u);
    }

    // The former worker responds again and reports that its run has succeeded. It is draining, so
    // that only the other worker can take the next job.
    void reportSuccess()
    {
        addWorker(former, true);
        advanceTime(300ms);
        report(former, {}, {{1, starts[0].task, starts[0].run, completion_reason::done, ""}});
        ASSERT_EQ(stops.size(), 1u);
        EXPECT_EQ(stops[0].worker, other);
        EXPECT_EQ(stops[0].run, starts[1].run);
    }

    const worker_id former{"former"};
    const worker_id other{"other"};
    instant now{1000s};
    std::vector<start_command> starts;
    std::vector<stop_command> stops;
    std::map<worker_id, poll_command> polls; ///< The latest one of each worker.
    bool isCommitting = false;
    scheduler_core core;
};

} // namespace

TEST_F(late_success, AReportFromBeforeTheStopDoesNotShowThatTheRunHasEnded)
{
    giveUpOnFormerWorker();
    core.onStartResult(now, starts[1], {command_outcome::done, clockMs()});
    reportSuccess();
    // This poll was sent, and may have been answered, before the run started.
    report(other);
    advanceTime(300ms);
    EXPECT_EQ(starts.size(), 2u);
    report(other, {}, {{1, starts[1].task, starts[1].run, completion_reason::stopped, ""}});
    advanceTime(300ms);
    report(other); // Nothing starts before the worker has forgotten that completion.
    advanceTime(20ms);
    EXPECT_EQ(starts.size(), 3u);
}

TEST_F(late_success, AnUnansweredStartMayStillUseItsResources)
{
    giveUpOnFormerWorker();
    reportSuccess();
    report(other);
    advanceTime(300ms);
    report(other);
    advanceTime(2s);
    EXPECT_EQ(starts.size(), 2u);
    advanceTime(15s);
    EXPECT_EQ(starts.size(), 3u);
}
