// Checks that the stand-in for workers follows the protocol on which the scheduler's safety
// depends. Failures guarded against: an expired lease is revived, commands with stale epochs or
// attempts are executed, delayed syncs start tasks, and checkpoints lose work or add work that was
// not done.

#include "standin/worker_model.h"

#include <gtest/gtest.h>

using namespace crocuswind;
using namespace crocuswind::standin;

namespace {

const shard_id shard{data_centre_id{"dakar-1"}, 0};

task_id taskOf(const std::string &name, int attempt)
{
    return {job_id{team_id{"lab"}, name}, 0, attempt};
}

/// A worker and an owner that numbers its syncs as the protocol requires.
class owned_worker
{
public:
    owned_worker()
        : model(settings(), audit)
    { }

    static worker_settings settings()
    {
        worker_settings s;
        s.worker.value = "worker-1";
        s.capacity = {8000, 16000, 0};
        return s;
    }

    sync_request next()
    {
        sync_request r;
        r.shard = shard;
        r.epoch = m_epoch;
        r.sequence = ++m_sequence;
        r.basis = m_basis;
        r.leaseMs = 15000;
        return r;
    }

    sync_report send(int ms, const sync_request &request)
    {
        const auto report = model.handle(at(ms), request);
        if (!report)
            return {};
        m_basis = report->sequence;
        return *report;
    }

    sync_report start(int ms, const std::string &name, int attempt, std::int64_t runMs,
                      const checkpoint &from = {})
    {
        sync_request r = next();
        r.start = {{taskOf(name, attempt), {2000, 1000, 0}, runMs, from, ""}};
        return send(ms, r);
    }

    static instant at(int ms) { return instant{} + std::chrono::milliseconds(ms); }

    void takeOver(std::int64_t epoch)
    {
        m_epoch = epoch;
        m_sequence = 0;
        m_basis = 0;
    }

    task_audit audit;
    worker_model model;

private:
    std::int64_t m_epoch = 5;
    std::int64_t m_sequence = 0;
    std::int64_t m_basis = 0;
};

} // namespace

TEST(StandinWorker, RunsATaskToCompletionOnce)
{
    owned_worker w;
    w.send(0, w.next());
    w.start(1000, "build", 1, 3000);
    w.start(2000, "build", 1, 3000);
    EXPECT_EQ(w.send(3999, w.next()).tasks[0].state, reported_state::running);
    EXPECT_EQ(w.send(4000, w.next()).tasks[0].state, reported_state::done);
    // An ended attempt is reported until the owner forgets it, and cannot be started again.
    sync_request forget = w.next();
    forget.forget = {taskOf("build", 1)};
    EXPECT_TRUE(w.send(5000, forget).tasks.empty());
    EXPECT_TRUE(w.start(6000, "build", 1, 3000).tasks.empty());
    EXPECT_EQ(w.audit.history({team_id{"lab"}, "build"}, 0).starts, 1);
    EXPECT_EQ(w.model.committed(), resources{});
}

TEST(StandinWorker, ExpiredLeaseIsNotRevived)
{
    owned_worker w;
    w.send(0, w.next());
    w.start(1000, "build", 1, 100000);
    EXPECT_EQ(w.send(15999, w.next()).tasks[0].state, reported_state::running);
    // The lease of 15 s runs from the receipt of the sync above, so it expires exactly when the
    // next sync arrives.
    const sync_report late = w.send(30999, w.next());
    EXPECT_EQ(late.tasks[0].state, reported_state::stopped);
    EXPECT_EQ(w.audit.history({team_id{"lab"}, "build"}, 0).leaseExpired, 1);
}

TEST(StandinWorker, DelayedSyncNeitherRenewsNorStarts)
{
    owned_worker w;
    w.send(0, w.next());
    w.start(1000, "build", 1, 100000);
    sync_request delayed = w.next();
    delayed.start = {{taskOf("late", 1), {1000, 1000, 0}, 1000, {}, ""}};
    const auto report = w.model.handle(owned_worker::at(17000), delayed);
    ASSERT_TRUE(report);
    ASSERT_EQ(report->tasks.size(), 1u);
    EXPECT_EQ(report->tasks[0].state, reported_state::stopped);
    EXPECT_EQ(w.audit.history({team_id{"lab"}, "late"}, 0).starts, 0);
}

TEST(StandinWorker, FencesEpochsAttemptsAndSequences)
{
    owned_worker w;
    w.send(0, w.next());
    const sync_request old = w.next();
    w.takeOver(9);
    w.send(100, w.next());
    EXPECT_EQ(w.model.handle(owned_worker::at(200), old), tl::unexpected(std::int64_t(9)));
    // Stopping an attempt that the worker does not know fences that attempt and all earlier ones.
    sync_request stop = w.next();
    stop.stop = {taskOf("build", 3)};
    EXPECT_EQ(w.send(300, stop).tasks[0].state, reported_state::stopped);
    w.start(400, "build", 2, 1000);
    EXPECT_EQ(w.model.refusedStarts(), 1);
    EXPECT_EQ(w.audit.history({team_id{"lab"}, "build"}, 0).starts, 0);
    sync_request repeated = w.next();
    w.send(500, repeated);
    repeated.start = {{taskOf("other", 1), {1000, 1000, 0}, 1000, {}, ""}};
    w.send(600, repeated);
    EXPECT_EQ(w.audit.history({team_id{"lab"}, "other"}, 0).starts, 0);
}

TEST(StandinWorker, RestartForgetsEverythingUnderAHigherIncarnation)
{
    owned_worker w;
    const worker_incarnation before = w.send(0, w.next()).incarnationNumber;
    w.start(100, "build", 1, 100000);
    w.model.restart(owned_worker::at(200));
    const sync_report after = w.send(300, w.next());
    EXPECT_GT(after.incarnationNumber, before);
    EXPECT_TRUE(after.tasks.empty());
    EXPECT_EQ(w.audit.history({team_id{"lab"}, "build"}, 0).running, 0);
}

TEST(StandinWorker, ResumesFromACheckpoint)
{
    owned_worker w;
    w.send(0, w.next());
    w.start(0, "build", 1, 10000);
    sync_request save = w.next();
    save.checkpoint = {taskOf("build", 1)};
    const sync_report saved = w.send(6000, save);
    ASSERT_EQ(saved.tasks[0].lastCheckpoint.number, 1);
    sync_request stop = w.next();
    stop.stop = {taskOf("build", 1)};
    w.send(7000, stop);
    w.start(8000, "build", 2, 10000, saved.tasks[0].lastCheckpoint);
    // The checkpoint covers 6 s of the 10 s of work; the second attempt runs the remaining 4 s.
    EXPECT_EQ(w.send(11999, w.next()).tasks[1].state, reported_state::running);
    EXPECT_EQ(w.send(12000, w.next()).tasks[1].state, reported_state::done);
    EXPECT_EQ(w.audit.history({team_id{"lab"}, "build"}, 0).resumesBelowCheckpoint, 0);
}

TEST(StandinWorker, PausedWorkerMakesNoProgressAndLosesItsLeases)
{
    owned_worker w;
    w.send(0, w.next());
    w.start(0, "build", 1, 10000);
    w.model.pause(owned_worker::at(1000), owned_worker::at(9000));
    EXPECT_EQ(w.send(14000, w.next()).tasks[0].state, reported_state::running);
    EXPECT_EQ(w.send(18000, w.next()).tasks[0].state, reported_state::done);
    w.start(18000, "long", 1, 100000);
    w.model.pause(owned_worker::at(19000), owned_worker::at(60000));
    EXPECT_EQ(w.send(60000, w.next()).tasks[1].state, reported_state::stopped);
}

TEST(StandinWorker, AppliesThrottleAndInjectedFailures)
{
    owned_worker w;
    w.send(0, w.next());
    w.start(0, "build", 1, 4000);
    sync_request throttle = w.next();
    throttle.throttle = {{taskOf("build", 1), 500}};
    w.send(2000, throttle);
    EXPECT_EQ(w.send(5999, w.next()).tasks[0].state, reported_state::running);
    EXPECT_EQ(w.send(6000, w.next()).tasks[0].state, reported_state::done);
    w.model.setFailsEverything(true);
    w.start(7000, "other", 1, 4000);
    EXPECT_EQ(w.send(7050, w.next()).tasks[1].state, reported_state::failed);
}

TEST(StandinWorker, CountsOvercommitmentAndConcurrentAttempts)
{
    owned_worker a;
    worker_model b(owned_worker::settings(), a.audit);
    a.send(0, a.next());
    for (int i = 0; i < 5; ++i)
        a.start(1, "job-" + std::to_string(i), 1, 1000);
    EXPECT_EQ(a.model.overcommitments(), 1);
    sync_request r = a.next();
    ASSERT_TRUE(b.handle(owned_worker::at(1), r));
    r.basis = r.sequence++;
    r.start = {{taskOf("job-0", 2), {1000, 1000, 0}, 1000, {}, ""}};
    ASSERT_TRUE(b.handle(owned_worker::at(2), r));
    EXPECT_EQ(a.audit.history({team_id{"lab"}, "job-0"}, 0).highestRunning, 2);
}
