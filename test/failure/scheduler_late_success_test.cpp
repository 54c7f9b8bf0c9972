// Guards against room that is taken for free while a run that was started in vain still uses it.
// The test delivers orders' answers and reports itself, so that they can overtake each other.

#include "correctness/job_submission.h"

#include <deque>
#include <gtest/gtest.h>
#include <map>

using namespace crocuswind;
using namespace crocuswind::scheduler;

namespace {

/// An owner whose orders are kept until the test answers them.
class late_success : public testing::Test, public scheduler_ports
{
public:
    void start(const start_command &order) override { starts.push_back(order); }
    void stop(const stop_command &order) override { stops.push_back(order); }
    void pace(const pace_command &) override { }
    void poll(const poll_command &order) override { polls[order.worker] = order; }
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
        core.takeOver(now, 0, 1, {}, now);
        core.onWorkersSynchronized(now, now + 1000s);
        addWorker(former);
        pass(300ms);
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

    void pass(duration d)
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
        pass(100ms);
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

    // Has the task run on the former worker, and given up there, since nothing is heard of it until
    // its lease has lapsed. It starts on the other worker instead; that start has no answer yet.
    void giveUpOnFormerWorker()
    {
        submit("task");
        ASSERT_EQ(starts.size(), 1u);
        core.onStartResult(now, starts[0], {command_outcome::done, clockMs()});
        addWorker(other);
        pass(300ms);
        report(other);
        for (int i = 0; i < 60; ++i) {
            core.onPollResult(now, polls.at(former), poll_result());
            pass(100ms);
            if (starts.size() < 2)
                report(other);
            pass(100ms);
        }
        ASSERT_EQ(starts.size(), 2u);
        ASSERT_EQ(starts[1].worker, other);
        submit("next"); // Finds no room.
        ASSERT_EQ(starts.size(), 2u);
    }

    // The former worker is back and tells that its run had ended with success. It is leaving, so
    // that only the other worker can take the next job.
    void tellOfSuccess()
    {
        addWorker(former, true);
        pass(300ms);
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
    std::map<worker_id, poll_command> polls; ///< The last of each worker.
    bool isCommitting = false;
    scheduler_core core;
};

} // namespace

TEST_F(late_success, AReportFromBeforeTheStopDoesNotShowThatTheRunIsGone)
{
    giveUpOnFormerWorker();
    core.onStartResult(now, starts[1], {command_outcome::done, clockMs()});
    tellOfSuccess();
    // This poll was sent, and maybe answered, before the run began.
    report(other);
    pass(300ms);
    EXPECT_EQ(starts.size(), 2u);
    report(other, {}, {{1, starts[1].task, starts[1].run, completion_reason::stopped, ""}});
    pass(300ms);
    EXPECT_EQ(starts.size(), 3u);
}

TEST_F(late_success, AStartWithoutAnAnswerMayStillTakeItsRoom)
{
    giveUpOnFormerWorker();
    tellOfSuccess();
    report(other);
    pass(300ms);
    report(other);
    pass(2s);
    EXPECT_EQ(starts.size(), 2u);
    pass(15s);
    EXPECT_EQ(starts.size(), 3u);
}
