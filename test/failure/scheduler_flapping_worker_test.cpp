// Guards against continuous tasks that wait for the lease of a worker whose new entry has already
// shown that its former life, and all their runs, are gone.

#include "scheduler_departed_worker.h"

using namespace crocuswind;
using namespace crocuswind::scheduler;

namespace {

struct flapping_worker : departed_worker
{
    // The worker crashes, is back after \p downFor, and is lost for good after its first check-in,
    // before anybody reaches it.
    void crashTwice(fake_worker &worker, duration downFor)
    {
        worker.isUp = false;
        world.run(downFor - checkInDelay);
        first.unreachableWorkers = {worker.info.id};
        world.restartWorker(worker);
        world.run(checkInDelay);
        worker.isUp = false;
    }
};

} // namespace

TEST_F(flapping_worker, DoesNotHoldBackItsContinuousTasksWithTheLeaseOfAnotherLife)
{
    const job_spec spec = submit(first, "a", 3, true);
    world.run(3s);
    ASSERT_EQ(runCount(spec), 3U);
    fake_worker &lost = firstBusyWorker();
    const std::size_t runs = lost.runs.size();
    ASSERT_GT(runs, 0U);
    const instant lostAt = world.now;
    crashTwice(lost, 3500ms);
    while (runCount(spec) < 3 && world.now < lostAt + 20s)
        world.run(100ms);
    EXPECT_LE(toMs(world.now - lostAt), toMs(continuousRestartLimit));
    EXPECT_EQ(world.violations, std::vector<std::string>());
}
