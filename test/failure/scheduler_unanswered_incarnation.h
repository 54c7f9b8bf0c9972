/// Fixture with a worker that restarts and carries out a start for its former life, and two hosts,
/// of which the second hears of neither.
#ifndef CROCUSWIND_TEST_SCHEDULER_UNANSWERED_INCARNATION_H
#define CROCUSWIND_TEST_SCHEDULER_UNANSWERED_INCARNATION_H

#include "correctness/scheduler_world.h"

#include <gtest/gtest.h>

namespace crocuswind::scheduler {

/// Time from the loss of an owner until the next one has read the records.
constexpr duration electionTime = 1200ms;

/// An owner with one worker that has been up for a minute, and a host that may succeed it.
struct unanswered_incarnation : testing::Test
{
    unanswered_incarnation()
        : owner(world.addHost("host-1"))
        , next(world.addHost("host-2"))
        , worker(world.addWorker("w0", "rack-1", {8000, 8000, 0}))
    {
        world.runTime = [](const task_name &) { return 1000s; };
        world.holdsCommandsOfDownWorkers = true;
        world.takeOver(owner);
        world.run(60s); // Deadlines on its clock lie far ahead of the clock of a later life.
    }

    // Submits the job to the owner while the worker, which goes dark first, cannot answer.
    void submitWhileDown(const job_spec &spec)
    {
        worker.isUp = false;
        owner.call(job_call_kind::submit, spec.name, &spec);
    }

    // No host reaches the worker any more.
    void cutWorkerOff()
    {
        owner.unreachableWorkers.insert(worker.info.id);
        next.unreachableWorkers.insert(worker.info.id);
    }

    // The worker carries out commands some 11 s after they were sent.
    void executeLate(const std::vector<std::function<void()>> &commands)
    {
        world.at(world.now + 8s, [commands] {
            for (const auto &execute : commands)
                execute();
        });
    }

    // The second host takes over, with another worker that has room.
    void takeOverBesideAnotherWorker()
    {
        world.run(electionTime);
        world.addWorker("w1", "rack-1", {8000, 8000, 0});
        world.takeOver(next);
    }

    // The worker goes dark, is sent a start, and is back as another life, which carries that out.
    // The owner dies before it hears of that life, and the worker is cut off.
    void loseOwnerAndWorker(const job_spec &spec)
    {
        submitWhileDown(spec);
        world.run(400ms);
        world.restartWorker(worker);
        ASSERT_EQ(worker.runs.size(), 1U);
        owner.isDead = true;
        worker.reachesStore = false;
        next.unreachableWorkers.insert(worker.info.id);
        world.addWorker("w1", "rack-1", {8000, 8000, 0});
    }

    scheduler_world world;
    fake_host &owner;
    fake_host &next;
    fake_worker &worker;
};

} // namespace crocuswind::scheduler

#endif
