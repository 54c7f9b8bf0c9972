// Guards against tasks that run twice because a life of a worker that no owner has heard of carries
// out a start many seconds after it was sent.

#include "scheduler_unanswered_incarnation.h"

using namespace crocuswind;
using namespace crocuswind::scheduler;

// A held start is carried out seconds later, when no former owner has authority any more.
TEST_F(unanswered_incarnation, AStartThatItCarriesOutLateIsAwaitedByTheNextOwner)
{
    worker.isUp = false;
    const job_spec spec = plainJob("a", 1);
    owner.call(job_call_kind::submit, spec.name, &spec);
    world.run(400ms);
    owner.isDead = true;
    next.unreachableWorkers.insert(worker.info.id);
    worker.reachesStore = false;
    world.addWorker("w1", "rack-1", {8000, 8000, 0});
    world.at(world.now + 8s, [this] { world.restartWorker(worker); });
    world.run(electionTime);
    world.takeOver(next);
    world.run(40s);
    EXPECT_EQ((world.starts[{{"a"}, 0, 0, 0}]), 2);
    EXPECT_EQ(world.violations, std::vector<std::string>());
}
