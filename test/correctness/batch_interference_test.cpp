// Guards the learned policy against throttling a task that is not the cause, against acting again
// before the effect of the last step is measurable, and against moving a task to a worker where it
// causes the same interference.

#include "batch/interference.h"

#include <gtest/gtest.h>

using namespace crocuswind;

namespace {

observed_task taskOf(const std::string &name, job_kind kind, std::int64_t milliCores)
{
    return {{{team_id{"lab"}, name}, 0},
            workKindOf({team_id{"lab"}, name}),
            kind,
            job_urgency::normal,
            milliCores,
            1000,
            false,
            std::nullopt};
}

/// Returns a worker with one latency-critical task that is slowed down by `scan` tasks but not by
/// `cert` tasks.
observed_worker workerWith(int scans, int certs, instant changedAt)
{
    observed_worker worker{worker_id{"worker-1"}, 16000, changedAt, {}};
    worker.tasks.push_back(taskOf("shop", job_kind::service, 2000));
    worker.tasks.back().usage = task_usage{1000, 100, 1000 + scans * 400, 1000};
    for (int i = 0; i < scans; ++i)
        worker.tasks.push_back(taskOf("scan-" + std::to_string(i), job_kind::finite, 2000));
    for (int i = 0; i < certs; ++i)
        worker.tasks.push_back(taskOf("cert-" + std::to_string(i), job_kind::finite, 2000));
    return worker;
}

std::unique_ptr<interference_policy> learnedFromMixtures()
{
    auto policy = makeInterferencePolicy(interference_control::learned);
    for (int i = 0; i < 60; ++i) {
        const instant now = instant() + 10s * (i + 1);
        observed_worker worker = workerWith(i % 3 == 0 ? 1 : 0, 1 + i % 3, now - 9s);
        worker.worker.value = "worker-" + std::to_string(2 + i % 5);
        (void)policy->observe(now, worker);
    }
    return policy;
}

} // namespace

TEST(WorkKind, OmitsTheJobNumber)
{
    EXPECT_EQ(workKindOf({team_id{"lab"}, "cert-17"}), "lab/cert");
    EXPECT_EQ(workKindOf({team_id{"lab"}, "v2-cert-2026-12.04"}), "lab/v2-cert");
    EXPECT_EQ(workKindOf({team_id{"lab"}, "17"}), "lab/17");
}

TEST(LearnedInterference, IdentifiesTheKindThatCausesTheSlowdown)
{
    const auto policy = learnedFromMixtures();
    EXPECT_GT(policy->pressureOf("lab/scan"), 2.0);
    EXPECT_LT(policy->pressureOf("lab/cert"), 0.5);
}

TEST(LearnedInterference, ThrottlesTheCauseAndWaitsForTheEffect)
{
    const auto policy = learnedFromMixtures();
    instant now = instant() + 1000s;
    observed_worker worker = workerWith(1, 4, now - 60s);
    const auto first = policy->observe(now, worker);
    ASSERT_EQ(first.size(), 1U);
    EXPECT_EQ(first[0].action, control_action::throttle);
    EXPECT_EQ(first[0].task.job.name, "scan-0");
    // The measurements of the next 3 s were taken before the effect of the step.
    for (int i = 0; i < 3; ++i) {
        now += 900ms;
        EXPECT_TRUE(policy->observe(now, worker).empty());
    }
    now += 400ms;
    worker.tasks[1].throttlePermille = first[0].permille;
    const auto second = policy->observe(now, worker);
    ASSERT_EQ(second.size(), 1U);
    EXPECT_LT(second[0].permille, first[0].permille);
}

TEST(LearnedInterference, MovesATaskOnlyIfAnotherWorkerExpectsLessInterference)
{
    for (const bool hasCalmWorker : {false, true}) {
        const auto policy = learnedFromMixtures();
        instant now = instant() + 1000s;
        for (int i = 2; i < 7; ++i) {
            observed_worker other = workerWith(hasCalmWorker && i == 2 ? 0 : 2, 0, now - 60s);
            other.worker.value = "worker-" + std::to_string(i);
            (void)policy->observe(now, other);
        }
        observed_worker worker = workerWith(1, 0, now - 60s);
        worker.tasks[1].milliCores = 500;
        worker.tasks[1].throttlePermille = 100;
        worker.tasks[0].usage->slowdownPermille = 3000;
        std::size_t moves = 0;
        for (int i = 0; i < 5; ++i) {
            now += 10s;
            for (const control_step &step : policy->observe(now, worker))
                moves += step.action == control_action::move ? 1 : 0;
        }
        EXPECT_EQ(moves > 0, hasCalmWorker);
    }
}
