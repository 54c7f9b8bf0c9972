// Guards against accepted jobs that stand still, or lose their limit of attempts, because their
// queue was removed from the configuration before another host took over.

#include "scheduler_departed_worker.h"

#include <nlohmann/json.hpp>

using namespace crocuswind;
using namespace crocuswind::scheduler;
using nlohmann::json;

namespace {

constexpr int tasksOfStep = 4;

queue_policy policyOf(const std::string &queue)
{
    queue_policy policy;
    policy.queue.value = queue;
    policy.service.value = "pool";
    return policy;
}

struct removed_queue : departed_worker
{
    // Submits a job of two steps and waits until the first one runs.
    job_spec startTwoSteps()
    {
        job_spec spec = plainJob("a", tasksOfStep);
        spec.steps.push_back(spec.steps[0]);
        spec.steps[1].after = {0};
        first.call(job_call_kind::submit, spec.name, &spec);
        world.run(300ms);
        return spec;
    }

    // The operators replace the configuration; both hosts read it.
    void configure(const std::vector<queue_policy> &queues)
    {
        world.queues = queues;
        for (fake_host *host : {&first, &second})
            host->core.setQueues(world.now, queues);
    }

    void changeOwner()
    {
        first.isDead = true;
        world.run(2s);
        world.takeOver(second);
    }

    job_status status(const job_spec &spec)
    {
        return second.replies.at(second.call(job_call_kind::query, spec.name)).status;
    }

    // Replaces the acceptance record by one of a build that did not store the policy.
    void removeStoredPolicy(const job_spec &spec)
    {
        std::string &record = world.store.at("cw/job/" + spec.name.value);
        json fields = json::from_cbor(record);
        fields.erase(fields.begin() + 2, fields.end());
        record.clear();
        json::to_cbor(fields, record);
    }
};

} // namespace

// The new owner knew no service for the job, so that no worker was eligible for its second step.
TEST_F(removed_queue, LaterStepsRunWithAnotherOwner)
{
    const job_spec spec = startTwoSteps();
    configure({policyOf("other")});
    changeOwner();
    world.run(5s);
    EXPECT_EQ(status(spec), job_status::completed);
    EXPECT_EQ(world.starts.size(), 2U * tasksOfStep);
    EXPECT_EQ(world.violations, std::vector<std::string>());
}

// A configuration without queues is not the same as one that is not known yet.
TEST_F(removed_queue, LaterStepsRunIfNoQueueIsLeft)
{
    const job_spec spec = startTwoSteps();
    configure({});
    changeOwner();
    world.run(5s);
    EXPECT_EQ(status(spec), job_status::completed);
    EXPECT_EQ(world.violations, std::vector<std::string>());
}

// A host that reads the configuration after its election finds that the queue is gone.
TEST_F(removed_queue, LaterStepsRunIfTheConfigurationIsReadAfterTheTakeover)
{
    const job_spec spec = startTwoSteps();
    world.queues.clear();
    changeOwner();
    world.run(1s);
    second.core.setQueues(world.now, {policyOf("other")});
    world.run(5s);
    EXPECT_EQ(status(spec), job_status::completed);
    EXPECT_EQ(world.violations, std::vector<std::string>());
}

// The limit of attempts stayed unknown, so that the job could not fail.
TEST_F(removed_queue, TheLimitOfAttemptsHolds)
{
    const job_spec spec = startTwoSteps();
    world.shouldFail = [](const task_name &task, int) { return task.step == 1; };
    configure({policyOf("other")});
    changeOwner();
    world.run(20s);
    EXPECT_EQ(status(spec), job_status::failed);
    for (const auto &[task, runs] : world.failedRuns)
        EXPECT_LE(runs.size(), 3U) << toString(task);
    EXPECT_EQ(world.violations, std::vector<std::string>());
}

// The present policy of a queue goes before the one at acceptance.
TEST_F(removed_queue, APresentQueueKeepsItsPresentPolicy)
{
    const job_spec spec = startTwoSteps();
    fake_worker &moved = world.addWorker("w4", "rack-1", {4000, 8000, 0});
    moved.info.service.value = "new-pool";
    queue_policy policy = policyOf("builds");
    policy.service = moved.info.service;
    configure({policy});
    changeOwner();
    world.run(5s);
    EXPECT_EQ(status(spec), job_status::completed);
    EXPECT_EQ(std::size_t(moved.lastCompletion), std::size_t(tasksOfStep));
}

// Records of builds that did not store the policy must be readable.
TEST_F(removed_queue, AJobOfAnOlderRecordRunsWithThePresentQueue)
{
    const job_spec spec = startTwoSteps();
    removeStoredPolicy(spec);
    changeOwner();
    world.run(5s);
    EXPECT_EQ(status(spec), job_status::completed);
    EXPECT_EQ(world.violations, std::vector<std::string>());
}

// Without a stored policy, the job waits for its queue and must not fail or run anywhere.
TEST_F(removed_queue, AJobOfAnOlderRecordWaitsForItsQueue)
{
    const job_spec spec = startTwoSteps();
    removeStoredPolicy(spec);
    const auto queues = world.queues;
    configure({policyOf("other")});
    changeOwner();
    world.run(5s);
    EXPECT_EQ(status(spec), job_status::running);
    EXPECT_EQ(world.starts.size(), std::size_t(tasksOfStep));
    second.core.setQueues(world.now, queues);
    world.run(3s);
    EXPECT_EQ(status(spec), job_status::completed);
    EXPECT_EQ(world.violations, std::vector<std::string>());
}

// All jobs are written to the store, so the policy must not add much to each record.
TEST(AcceptedPolicy, AddsFewBytesToTheRecord)
{
    job_record job;
    job.spec = plainJob("0123456789abcdef", tasksOfStep);
    job.acceptedUnixMs = 1700001000000;
    const std::size_t without = encodeAcceptance(job).size();
    job.acceptedPolicy = policyOf("builds");
    job.acceptedPolicy->attemptLimit = 3;
    job.acceptedPolicy->stretch = 2.5;
    job.acceptedPolicy->objectiveSlackMs = 30000;
    const std::size_t added = encodeAcceptance(job).size() - without;
    RecordProperty("without", int(without));
    RecordProperty("added", int(added));
    EXPECT_LE(added, job.acceptedPolicy->service.value.size() + 20);
}
