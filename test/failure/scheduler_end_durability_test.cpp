// Guards against an end that a worker is told to forget before what it changed is durable: a later
// owner would run the task again. The test answers all orders, polls and commits itself.

#include "correctness/job_submission.h"

#include <algorithm>
#include <gtest/gtest.h>
#include <map>

using namespace crocuswind;
using namespace crocuswind::scheduler;

namespace {

class end_durability : public testing::Test, public scheduler_ports
{
public:
    void start(const start_command &order) override { starts.push_back(order); }
    void stop(const stop_command &) override { }
    void pace(const pace_command &) override { }
    void poll(const poll_command &order) override { polls[order.worker] = order; }
    void commit(commit_batch) override { isCommitting = true; }
    void answer(const job_reply &) override { }
    void log(const std::string &, const std::string &) override { }
    bool shouldLogDetail() override { return true; }
    void logDetail(const std::string &, const std::string &) override { }

protected:
    end_durability()
        : core(scheduler_settings(), *this)
    {
        queue_policy policy;
        policy.queue.value = "q";
        policy.service.value = "pool";
        policy.attemptLimit = 1;
        core.setQueues(now, {policy});
        core.setAuthority(now, now + 1000s, now + 1000s);
        core.takeOver(now, 0, 1, {}, now);
        core.onWorkersSynchronized(now, now + 1000s);
        for (const worker_id &id : {one, two, three}) {
            worker_info info;
            info.id = id;
            info.service.value = "pool";
            info.capacity = {id == three ? 0 : 1000, 1000, 0};
            core.onWorker(now, info);
        }
        pass(300ms);
        for (const worker_id &id : {one, two, three})
            report(id);
    }

    void pass(duration d)
    {
        for (const instant until = now + d; now < until;) {
            now += 10ms;
            if (isStoreUp)
                finishCommit();
            core.tick(now, 0);
        }
    }

    void finishCommit()
    {
        if (std::exchange(isCommitting, false))
            core.onCommitted(now);
    }

    // Starts a job of two tasks, one on each worker, and takes the store away.
    void runJob()
    {
        step_spec step;
        step.count = 2;
        step.size = {1000, 100, 0};
        core.call(now, 0, submissionOf("job", step));
        pass(100ms);
        ASSERT_EQ(starts.size(), 2u);
        for (const start_command &order : std::vector<start_command>(starts))
            core.onStartResult(now, order, {command_outcome::done, clockMs()});
        pass(300ms);
        isStoreUp = false;
    }

    std::int64_t clockMs() const
    {
        return std::chrono::duration_cast<std::chrono::milliseconds>(now.time_since_epoch())
            .count();
    }

    const start_command &startOn(const worker_id &worker) const
    {
        return *std::find_if(starts.begin(), starts.end(),
                             [&](const start_command &order) { return order.worker == worker; });
    }

    void report(const worker_id &id, std::vector<completion_report> completedRuns = {})
    {
        poll_result result;
        result.outcome = command_outcome::done;
        result.report = {clockMs(), 1, {}, std::move(completedRuns)};
        for (const start_command &order : starts) {
            if (order.worker == id && result.report.completedRuns.empty())
                result.report.running.push_back({order.task, order.run, "", 0, 0});
        }
        core.onPollResult(now, polls.at(id), result);
    }

    completion_report endOf(const worker_id &worker, std::int64_t number,
                            completion_reason reason) const
    {
        const start_command &order = startOn(worker);
        return {number, order.task, order.run, reason, ""};
    }

    void cancelJob()
    {
        job_call call;
        call.kind = job_call_kind::cancel;
        call.name.value = "job";
        call.queue.value = "q";
        core.call(now, 0, call);
    }

    // Returns up to which number the worker was told to forget its ends, by a poll sent now.
    std::int64_t ackedCompletions(const worker_id &worker)
    {
        pass(2500ms);
        return polls.at(worker).ackedCompletions;
    }

    const worker_id one{"one"};
    const worker_id two{"two"};
    const worker_id three{"three"}; ///< Has no room for a task.
    instant now{1000s};
    std::vector<start_command> starts;
    std::map<worker_id, poll_command> polls; ///< The last of each worker.
    bool isCommitting = false;
    bool isStoreUp = true;
    scheduler_core core;
};

} // namespace

// A job was cancelled during an outage of the store; its owner had the ends of its tasks forgotten
// and was replaced. The next owner knew neither of the cancellation nor of the ends.
TEST_F(end_durability, EndsOfACancelledJobWaitForTheCancellation)
{
    runJob();
    cancelJob();
    report(one, {endOf(one, 1, completion_reason::done)});
    EXPECT_EQ(ackedCompletions(one), 0);
    report(one, {endOf(one, 1, completion_reason::done)});
    isStoreUp = true;
    EXPECT_EQ(ackedCompletions(one), 1);
}

TEST_F(end_durability, EndsOfAFailedJobWaitForTheFailure)
{
    runJob();
    report(one, {endOf(one, 1, completion_reason::failed)});
    report(two, {endOf(two, 1, completion_reason::done)});
    EXPECT_EQ(ackedCompletions(two), 0);
    report(two, {endOf(two, 1, completion_reason::done)});
    isStoreUp = true;
    EXPECT_EQ(ackedCompletions(two), 1);
}

// A second run of the task, which had been given up, has done it as well.
TEST_F(end_durability, ASecondSuccessWaitsForTheFirst)
{
    runJob();
    report(one, {endOf(one, 1, completion_reason::done)});
    report(three, {endOf(one, 1, completion_reason::done)});
    EXPECT_EQ(ackedCompletions(three), 0);
    report(three, {endOf(one, 1, completion_reason::done)});
    isStoreUp = true;
    EXPECT_EQ(ackedCompletions(three), 1);
}

// All tasks are done, so that the job is over and its tasks are forgotten.
TEST_F(end_durability, EndsOfForgottenTasksWaitForTheRecordOfTheJob)
{
    runJob();
    report(one, {endOf(one, 1, completion_reason::done)});
    report(two, {endOf(two, 1, completion_reason::done)});
    report(three, {endOf(one, 1, completion_reason::done)});
    EXPECT_EQ(ackedCompletions(three), 0);
    report(three, {endOf(one, 1, completion_reason::done)});
    isStoreUp = true;
    EXPECT_EQ(ackedCompletions(three), 1);
}

// The record that is on its way to the store holds the end already; no further one is written.
TEST_F(end_durability, EndsWaitForTheRecordUnderWayOnly)
{
    runJob();
    cancelJob();
    ASSERT_TRUE(isCommitting);
    report(one, {endOf(one, 1, completion_reason::done)});
    finishCommit();
    pass(500ms);
    EXPECT_FALSE(isCommitting);
    EXPECT_EQ(ackedCompletions(one), 1);
}
