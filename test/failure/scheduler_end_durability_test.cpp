// Guards against completions that the owner acknowledges before their effect is durable: the worker
// would forget the completion, and a later owner would run the task again. The test answers all
// commands, polls and commits itself.

#include "correctness/job_submission.h"

#include <algorithm>
#include <gtest/gtest.h>
#include <map>

using namespace crocuswind;
using namespace crocuswind::scheduler;

namespace {

class completion_durability : public testing::Test, public scheduler_ports
{
public:
    void start(const start_command &command) override { starts.push_back(command); }
    void stop(const stop_command &) override { }
    void pace(const pace_command &) override { }
    void poll(const poll_command &command) override { polls[command.worker] = command; }
    void fenceEarlierCommands(const worker_id &) override { }
    void commit(commit_batch) override { isCommitting = true; }
    void answer(const job_reply &) override { }
    void log(const std::string &, const std::string &) override { }
    bool shouldLogDetail() override { return true; }
    void logDetail(const std::string &, const std::string &) override { }

protected:
    completion_durability()
        : core(settings(), *this)
    {
        queue_policy policy;
        policy.queue.value = "q";
        policy.service.value = "pool";
        policy.attemptLimit = 1;
        core.setQueues(now, {policy});
        core.setAuthority(now, now + 1000s, now + 1000s);
        core.takeOver(now, 0, 1, {}, {});
        core.onWorkersSynchronized(now, now + 1000s);
        for (const worker_id &id : {one, two, three}) {
            worker_info info;
            info.id = id;
            info.service.value = "pool";
            info.capacity = {id == three ? 0 : 1000, 1000, 0};
            core.onWorker(now, info);
        }
        advanceTime(300ms);
        for (const worker_id &id : {one, two, three})
            report(id);
    }

    // Every commit is about records: none only confirms the ownership.
    static scheduler_settings settings()
    {
        scheduler_settings settings;
        settings.confirmInterval = 1000s;
        return settings;
    }

    void advanceTime(duration d)
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

    // Starts a job of two tasks, one on each worker with capacity, and makes the store unavailable.
    void runJob()
    {
        step_spec step;
        step.count = 2;
        step.size = {1000, 100, 0};
        core.call(now, 0, submissionOf("job", step));
        advanceTime(100ms);
        ASSERT_EQ(starts.size(), 2u);
        for (const start_command &command : std::vector<start_command>(starts))
            core.onStartResult(now, command, {command_outcome::done, clockMs()});
        advanceTime(300ms);
        isStoreUp = false;
    }

    std::int64_t clockMs() const
    {
        return std::chrono::duration_cast<std::chrono::milliseconds>(now.time_since_epoch())
            .count();
    }

    const start_command &startOn(const worker_id &worker) const
    {
        return *std::find_if(starts.begin(), starts.end(), [&](const start_command &command) {
            return command.worker == worker;
        });
    }

    void report(const worker_id &id, std::vector<completion_report> completedRuns = {})
    {
        poll_result result;
        result.outcome = command_outcome::done;
        result.report = {clockMs(), 1, {}, std::move(completedRuns)};
        for (const start_command &command : starts) {
            if (command.worker == id && result.report.completedRuns.empty())
                result.report.running.push_back({command.task, command.run, "", 0, 0});
        }
        core.onPollResult(now, polls.at(id), result);
    }

    completion_report completionOf(const worker_id &worker, std::int64_t number,
                                   completion_reason reason) const
    {
        const start_command &command = startOn(worker);
        return {number, command.task, command.run, reason, ""};
    }

    void cancelJob()
    {
        job_call call;
        call.kind = job_call_kind::cancel;
        call.name.value = "job";
        call.queue.value = "q";
        core.call(now, 0, call);
    }

    // Lets the owner send the next poll, and returns the number of the latest completion that the
    // poll acknowledges.
    std::int64_t ackedCompletions(const worker_id &worker)
    {
        advanceTime(2500ms);
        return polls.at(worker).ackedCompletions;
    }

    const worker_id one{"one"};
    const worker_id two{"two"};
    const worker_id three{"three"}; ///< Has no capacity for a task.
    instant now{1000s};
    std::vector<start_command> starts;
    std::map<worker_id, poll_command> polls; ///< The latest one of each worker.
    bool isCommitting = false;
    bool isStoreUp = true;
    scheduler_core core;
};

} // namespace

// A job was cancelled during a store outage. Its owner acknowledged the completions of its tasks
// and was replaced. The next owner knew neither the cancellation nor the completions.
TEST_F(completion_durability, CompletionsOfACancelledJobWaitForTheCancellation)
{
    runJob();
    cancelJob();
    report(one, {completionOf(one, 1, completion_reason::done)});
    EXPECT_EQ(ackedCompletions(one), 0);
    report(one, {completionOf(one, 1, completion_reason::done)});
    isStoreUp = true;
    EXPECT_EQ(ackedCompletions(one), 1);
}

TEST_F(completion_durability, CompletionsOfAFailedJobWaitForTheFailure)
{
    runJob();
    report(one, {completionOf(one, 1, completion_reason::failed)});
    report(two, {completionOf(two, 1, completion_reason::done)});
    EXPECT_EQ(ackedCompletions(two), 0);
    report(two, {completionOf(two, 1, completion_reason::done)});
    isStoreUp = true;
    EXPECT_EQ(ackedCompletions(two), 1);
}

// A run that the owner had given up succeeds as well, after another run of the same task.
TEST_F(completion_durability, ASecondSuccessWaitsForTheFirst)
{
    runJob();
    report(one, {completionOf(one, 1, completion_reason::done)});
    report(three, {completionOf(one, 1, completion_reason::done)});
    EXPECT_EQ(ackedCompletions(three), 0);
    report(three, {completionOf(one, 1, completion_reason::done)});
    isStoreUp = true;
    EXPECT_EQ(ackedCompletions(three), 1);
}

// All tasks have succeeded, so that the job has ended and the owner drops the state of its tasks.
TEST_F(completion_durability, CompletionsOfDroppedTasksWaitForTheRecordOfTheJob)
{
    runJob();
    report(one, {completionOf(one, 1, completion_reason::done)});
    report(two, {completionOf(two, 1, completion_reason::done)});
    report(three, {completionOf(one, 1, completion_reason::done)});
    EXPECT_EQ(ackedCompletions(three), 0);
    report(three, {completionOf(one, 1, completion_reason::done)});
    isStoreUp = true;
    EXPECT_EQ(ackedCompletions(three), 1);
}

// The record in the commit in flight already contains the completion, so that no further record is
// written.
TEST_F(completion_durability, CompletionsWaitOnlyForTheCommitInFlight)
{
    runJob();
    cancelJob();
    ASSERT_TRUE(isCommitting);
    report(one, {completionOf(one, 1, completion_reason::done)});
    finishCommit();
    advanceTime(500ms);
    EXPECT_FALSE(isCommitting);
    EXPECT_EQ(ackedCompletions(one), 1);
}
