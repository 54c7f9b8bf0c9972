// Guards against inherited work that waits for workers that have left, when the ownership of the
// jobs changes during a rolling replacement of workers.

#include "correctness/scheduler_world.h"

#include <gtest/gtest.h>

using namespace crocuswind;
using namespace crocuswind::scheduler;

namespace {

/// A lasting task must run again within 6 s after its last run. Of these, up to 3 s pass before a
/// new owner is elected and has read the records.
constexpr duration lastingLimit = 6s;
constexpr duration takeoverTime = 3s;

struct departed_worker : testing::Test
{
    departed_worker()
        : first(world.addOwner("host-1"))
        , second(world.addOwner("host-2"))
    {
        for (int i = 0; i < 4; ++i)
            world.addWorker(fmt::format("w{}", i), "rack-1", {4000, 8000, 0});
        world.takeOver(first);
        world.run(200ms);
    }

    job_spec submit(fake_owner &owner, const std::string &name, int tasks, bool isLasting)
    {
        job_spec spec = plainJob(name, tasks);
        spec.steps[0].isLasting = isLasting;
        owner.call(job_call_kind::submit, spec.name, &spec);
        return spec;
    }

    fake_worker &usedWorker()
    {
        const auto used
            = std::find_if(world.workers.begin(), world.workers.end(),
                           [](const auto &entry) { return !entry.second.runs.empty(); });
        return used->second;
    }

    std::size_t runsOf(const job_spec &spec) const
    {
        std::size_t sum = 0;
        for (const auto &[id, worker] : world.workers) {
            for (const auto &[task, run] : worker.runs)
                sum += worker.isUp && task.job == spec.name ? 1 : 0;
        }
        return sum;
    }

    scheduler_world world;
    fake_owner &first;
    fake_owner &second;
};

} // namespace

TEST_F(departed_worker, ItsLastingTasksRunElsewhereInTime)
{
    world.runTime = [](const task_name &) { return 1000s; };
    const job_spec spec = submit(first, "a", 8, true);
    world.run(500ms);
    ASSERT_EQ(runsOf(spec), 8U);
    first.isDead = true;
    world.leave(usedWorker());
    world.run(takeoverTime);
    world.takeOver(second);
    world.run(lastingLimit - takeoverTime);
    EXPECT_EQ(runsOf(spec), 8U);
    EXPECT_EQ(world.violations, std::vector<std::string>());
}

// The tasks were stopped on a draining worker at the moment of the change; the worker was there,
// and others that had left before held the tasks back.
TEST_F(departed_worker, HoldsNoTaskBackThatWasStoppedOnAnotherWorker)
{
    world.runTime = [](const task_name &) { return 1000s; };
    const job_spec spec = submit(first, "a", 8, true);
    world.run(500ms);
    fake_worker &draining = usedWorker();
    draining.info.isDraining = true;
    first.core.onWorker(world.now, draining.info);
    first.isDead = true;
    for (auto &[id, worker] : world.workers) {
        if (worker.runs.empty()) {
            world.leave(worker);
            break;
        }
    }
    world.addWorker("w4", "rack-1", {4000, 8000, 0});
    world.run(takeoverTime);
    world.takeOver(second);
    world.run(lastingLimit - takeoverTime);
    EXPECT_EQ(runsOf(spec), 8U);
    EXPECT_EQ(world.violations, std::vector<std::string>());
}

TEST_F(departed_worker, HoldsNoWaitingWorkBack)
{
    world.runTime = [](const task_name &) { return 2s; };
    const job_spec running = submit(first, "a", 16, false);
    const job_spec waiting = submit(first, "b", 8, false);
    world.run(500ms);
    ASSERT_EQ(runsOf(running), 16U);
    ASSERT_EQ(runsOf(waiting), 0U);
    first.isDead = true;
    world.leave(world.workers.at({"w0"}));
    world.run(takeoverTime);
    world.takeOver(second);
    world.run(lastingLimit - takeoverTime);
    EXPECT_GE(world.starts.size(), running.steps[0].count + waiting.steps[0].count);
    EXPECT_EQ(world.violations, std::vector<std::string>());
}

// A worker that is only cut off runs on until its lease has lapsed.
TEST_F(departed_worker, AWorkerThatDoesNotAnswerStillHoldsItsTasks)
{
    world.runTime = [](const task_name &) { return 1000s; };
    const job_spec spec = submit(first, "a", 8, true);
    world.run(500ms);
    second.cutFrom = {usedWorker().info.id};
    first.isDead = true;
    world.run(1s);
    world.takeOver(second);
    world.run(12s);
    EXPECT_EQ(runsOf(spec), 8U);
    EXPECT_EQ(world.violations, std::vector<std::string>());
}

// A departed machine need not refuse connections: it may be off. What a draining worker may have is
// on record, so that only this waits for it.
TEST_F(departed_worker, ASilentWorkerThatHadDrainedHoldsNothingBack)
{
    world.runTime = [](const task_name &) { return 1000s; };
    const job_spec spec = submit(first, "a", 8, true);
    world.run(500ms);
    fake_worker &leaving = usedWorker();
    leaving.info.isDraining = true;
    first.core.onWorker(world.now, leaving.info);
    first.wake();
    world.run(2s);
    ASSERT_TRUE(leaving.runs.empty());
    first.isDead = true;
    world.leave(leaving);
    leaving.isRefusing = false;
    // These end with the crash of another worker, which is back before the takeover.
    fake_worker &crashed = usedWorker();
    crashed.isUp = false;
    world.run(2s);
    world.restartWorker(crashed);
    world.run(takeoverTime - 2s);
    world.takeOver(second);
    world.run(lastingLimit - takeoverTime);
    EXPECT_EQ(runsOf(spec), 8U);
    EXPECT_EQ(world.violations, std::vector<std::string>());
}

TEST_F(departed_worker, ADrainingWorkerThatIsCutOffHoldsWhatItRuns)
{
    world.runTime = [](const task_name &) { return 4s; };
    const job_spec spec = submit(first, "a", 16, false);
    world.run(500ms);
    fake_worker &draining = usedWorker();
    draining.info.isDraining = true;
    first.core.onWorker(world.now, draining.info);
    first.wake();
    world.run(500ms);
    first.isDead = true;
    second.cutFrom = {draining.info.id};
    world.run(1s);
    world.takeOver(second);
    world.run(4s);
    second.cutFrom.clear();
    world.run(3s);
    for (const auto &[task, starts] : world.starts)
        EXPECT_EQ(starts, 1) << toString(task);
    EXPECT_EQ(world.violations, std::vector<std::string>());
}

TEST_F(departed_worker, AWorkerBackFromDrainingHoldsWhatItWasGivenSince)
{
    world.runTime = [](const task_name &) { return 5s; };
    fake_worker &worker = world.workers.at({"w0"});
    for (const bool isDraining : {true, false}) {
        worker.info.isDraining = isDraining;
        first.core.onWorker(world.now, worker.info);
        first.wake();
        world.run(500ms);
    }
    const job_spec spec = submit(first, "a", 16, false);
    world.run(500ms);
    ASSERT_EQ(worker.runs.size(), 4U);
    first.isDead = true;
    second.cutFrom = {worker.info.id};
    world.run(1s);
    world.takeOver(second);
    world.run(3s);
    EXPECT_EQ(world.violations, std::vector<std::string>());
    for (const auto &[task, starts] : world.starts)
        EXPECT_EQ(starts, 1) << toString(task);
}

// A host that was elected again took workers for listed that had left under another owner. It wrote
// them into the list of workers, and the next owner waited for them.
TEST_F(departed_worker, IsForgottenByAnOwnerThatIsElectedAgain)
{
    first.core.giveUp(world.now);
    world.takeOver(second);
    world.run(500ms);
    world.leave(world.workers.at({"w0"}));
    world.run(1s);
    second.isDead = true;
    world.takeOver(first);
    world.run(1s);
    EXPECT_EQ(world.store.at("cw/workers").find("w0 "), std::string::npos);
    EXPECT_NE(world.store.at("cw/workers").find("w1 "), std::string::npos);
}

// The worker runs on at the address on record; an entry of discovery from before its last start
// names another one, where nothing listens.
TEST_F(departed_worker, ARefusalAtAnotherAddressProvesNothing)
{
    world.runTime = [](const task_name &) { return 4s; };
    submit(first, "a", 8, false);
    world.run(500ms);
    first.isDead = true;
    world.run(1s);
    world.takeOver(second);
    worker_info former = usedWorker().info;
    former.address = "at-a-former-address";
    second.core.onWorker(world.now, former);
    second.wake();
    world.run(3s);
    for (const auto &[task, starts] : world.starts)
        EXPECT_EQ(starts, 1) << toString(task);
    EXPECT_EQ(world.violations, std::vector<std::string>());
}

// An owner of a version without such records left one behind that was not true any more.
TEST_F(departed_worker, ARecordOfAnEarlierOwnerThanTheLastLimitsNothing)
{
    world.runTime = [](const task_name &) { return 5s; };
    submit(first, "a", 8, false);
    world.run(500ms);
    const worker_id used = usedWorker().info.id;
    world.store["cw/leaving/" + used.value] = "0\n";
    first.isDead = true;
    second.cutFrom = {used};
    world.run(1s);
    world.takeOver(second);
    world.run(2s);
    EXPECT_EQ(world.violations, std::vector<std::string>());
}

// Discovery missed a worker for a moment, and the owner took it off the list before the ends that
// it had listed were durable; the next owner did not wait for it.
TEST_F(departed_worker, StaysOnTheListWhileItsEndsAreNotDurable)
{
    fake_worker &large = world.addWorker("large", "rack-1", {90000, 80000, 0});
    first.core.onWorker(world.now, large.info);
    first.wake();
    world.run(200ms);
    for (int i = 0; i < 4; ++i)
        first.core.onWorkerGone(world.now, world.workers.at({fmt::format("w{}", i)}).info.id);
    world.runTime = [](const task_name &) { return 3s; };
    for (int i = 0; i < 90; ++i)
        submit(first, fmt::format("j{}", i), 1, false);
    world.run(2s);
    ASSERT_EQ(large.runs.size(), 90U);
    for (auto &[task, run] : large.runs)
        run.endsAt = world.now + 100ms;
    large.isListed = false;
    first.core.onWorkerGone(world.now, large.info.id);
    first.wake();
    world.isStoreDown = true; // The ends of many jobs wait, more than one batch takes.
    world.run(500ms);
    world.isStoreDown = false;
    const auto isOnList
        = [this] { return world.store["cw/workers"].find("large") != std::string::npos; };
    for (int i = 0; i < 400 && isOnList(); ++i)
        world.run(1ms);
    first.isDead = true;
    world.run(1s);
    world.takeOver(second);
    world.run(300ms);
    large.isListed = true;
    second.core.onWorker(world.now, large.info);
    second.wake();
    world.run(5s);
    for (const auto &[task, starts] : world.starts)
        EXPECT_EQ(starts, 1) << toString(task);
    EXPECT_EQ(world.violations, std::vector<std::string>());
}
