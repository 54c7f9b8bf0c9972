// Guards against a shard that loses or duplicates work without any faults: submission,
// acknowledgement after the commit, cancellation, rejection of jobs that can never run,
// explanations, and draining.

#include "batch_world.h"

#include <gtest/gtest.h>

using namespace crocuswind;

namespace {

std::size_t awaitOwner(world &w)
{
    w.runFor(5s);
    EXPECT_TRUE(w.owner().has_value());
    return w.owner().value_or(0);
}

} // namespace

TEST(Shard, RunsAFiniteJobToCompletionExactlyOnce)
{
    world w{world_options()};
    const std::size_t i = awaitOwner(w);
    const caller_token caller = w.submit(i, finiteJob("cert-1"), 8s);
    EXPECT_TRUE(w.outcomes.empty()) << "acknowledged before the commit";
    w.runFor(1s);
    EXPECT_EQ(w.replies[caller].second.outcome, job_outcome::accepted);
    w.runFor(20s);
    const auto view = w.view(finiteJob("cert-1").id);
    ASSERT_TRUE(view);
    EXPECT_EQ(view->state, job_state::done);
    EXPECT_EQ(view->record.tasks[0].result, "ok");
    EXPECT_EQ(w.ledger.truths.at(finiteJob("cert-1").id).completions, 1);
    EXPECT_EQ(w.ledger.violations, std::vector<std::string>());
}

TEST(Shard, AnswersARepeatedSubmissionWithTheExistingJob)
{
    world w{world_options()};
    const std::size_t i = awaitOwner(w);
    w.submit(i, finiteJob("cert-1"), 8s);
    const caller_token early = w.submit(i, finiteJob("cert-1"), 8s);
    w.runFor(2s);
    const caller_token late = w.submit(i, finiteJob("cert-1"), 8s);
    const caller_token other = w.submit(i, finiteJob("cert-1", 2000), 8s);
    w.runFor(2s);
    EXPECT_EQ(w.replies[early].second.outcome, job_outcome::exists);
    EXPECT_EQ(w.replies[late].second.outcome, job_outcome::exists);
    EXPECT_EQ(w.replies[other].second.outcome, job_outcome::conflict);
}

TEST(Shard, RefusesAJobThatCanNeverRunAndNamesTheNearestWorker)
{
    world w{world_options()};
    w.workers[2]->info.capacity = {8000, 8000, 0};
    const std::size_t i = awaitOwner(w);
    const caller_token caller = w.submit(i, finiteJob("huge", 9000), 8s);
    const job_reply &reply = w.replies[caller].second;
    EXPECT_EQ(reply.outcome, job_outcome::never_fits);
    EXPECT_NE(reply.reason.find("worker-2 comes nearest"), std::string::npos) << reply.reason;
}

TEST(Shard, AJobThatNoLongerFitsBlocksNoOtherJobAndIsExplained)
{
    world w{world_options()};
    const std::size_t i = awaitOwner(w);
    w.submit(i, finiteJob("fill-0", 4000), 300s);
    w.submit(i, finiteJob("fill-1", 4000), 300s);
    w.submit(i, finiteJob("fill-2", 4000), 300s);
    w.submit(i, finiteJob("fill-3", 4000), 300s);
    w.runFor(3s);
    w.submit(i, finiteJob("large", 4000), 10s);
    w.runFor(2s);
    for (const auto &worker : w.workers)
        worker->info.capacity.milliCores = 3000;
    w.runFor(20s);
    w.submit(i, finiteJob("small"), 5s);
    w.runFor(30s);
    EXPECT_EQ(w.view(finiteJob("small").id)->state, job_state::done);
    const std::string why = w.view(finiteJob("large").id)->explanation;
    EXPECT_NE(why.find("can ever hold"), std::string::npos) << why;
    EXPECT_EQ(w.ledger.violations, std::vector<std::string>());
}

TEST(Shard, CancelsManyJobsInFewCommitsAndStopsTheirTasks)
{
    world w{world_options()};
    const std::size_t i = awaitOwner(w);
    for (int k = 0; k < 60; ++k) {
        job_spec spec = finiteJob("watch-" + std::to_string(k));
        spec.kind = job_kind::continuous;
        w.submit(i, spec, 0s);
    }
    w.runFor(10s);
    EXPECT_EQ(w.hosts[i].core->status().claimedTasks, 16U);
    const std::int64_t before = w.store.writes;
    for (int k = 0; k < 60; ++k)
        w.cancel(i, finiteJob("watch-" + std::to_string(k)).id);
    w.runFor(5s);
    EXPECT_EQ(w.hosts[i].core->status().claimedTasks, 0U);
    EXPECT_LE(w.store.writes - before, 4);
    for (const auto &worker : w.workers) {
        for (const auto &[id, task] : worker->tasks)
            EXPECT_NE(task.state, reported_state::running) << toString(id);
    }
    EXPECT_EQ(w.view(finiteJob("watch-7").id)->state, job_state::cancelled);
}

TEST(Shard, StartsLatencyCriticalTasksWithin1400MsUnderLoadAndSpreadsThemOverRacks)
{
    world w{world_options()};
    const std::size_t i = awaitOwner(w);
    // A stream of other submissions keeps the commits at their interval of 1 s. It lasts until
    // every worker has a confirmed start.
    for (int k = 0; k < 150; ++k) {
        w.at(w.now + 100ms * k,
             [&w, i, k] { w.submit(i, finiteJob("load-" + std::to_string(k)), 9s); });
    }
    w.runFor(14s);
    job_spec spec = finiteJob("web", 500);
    spec.kind = job_kind::service;
    spec.replicas = 2;
    w.submit(i, spec, 0s);
    w.runFor(1400ms);
    std::set<rack_id> racks;
    for (const auto &worker : w.workers) {
        for (const auto &[id, task] : worker->tasks) {
            if (id.job == spec.id)
                racks.insert(worker->info.rack);
        }
    }
    EXPECT_EQ(racks.size(), 2U);
    w.runFor(30s);
    EXPECT_EQ(w.ledger.violations, std::vector<std::string>());
}

TEST(Shard, HandsOverByDrainingWithoutInterruptingTasks)
{
    world w{world_options()};
    const std::size_t i = awaitOwner(w);
    w.submit(i, finiteJob("cert-1"), 20s);
    w.runFor(4s);
    w.deliver(i, w.hosts[i].incarnationNumber, shard_drain{});
    w.runFor(4s);
    EXPECT_FALSE(w.hosts[i].core) << "did not drain";
    ASSERT_TRUE(w.owner());
    EXPECT_NE(*w.owner(), i);
    w.runFor(20s);
    EXPECT_EQ(w.view(finiteJob("cert-1").id)->state, job_state::done);
    EXPECT_EQ(w.ledger.truths.at(finiteJob("cert-1").id).startedAttempts.size(), 1U);
}

TEST(Shard, IsDeterministic)
{
    std::vector<std::string> first;
    for (int run = 0; run < 2; ++run) {
        world w{world_options()};
        w.lossRate = 0.1;
        const std::size_t i = awaitOwner(w);
        for (int k = 0; k < 30; ++k)
            w.submit(i, finiteJob("cert-" + std::to_string(k)), 5s);
        w.runFor(30s);
        std::vector<std::string> seen = w.logs;
        for (const auto &worker : w.workers) {
            for (const auto &[id, truth] : w.ledger.truths) {
                for (const task_id &task : truth.startedAttempts)
                    seen.push_back(toString(task));
            }
            seen.push_back(std::to_string(worker->starts));
        }
        if (run == 0)
            first = seen;
        else
            EXPECT_EQ(seen, first);
    }
}
