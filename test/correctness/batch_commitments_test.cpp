// Guards against overcommitted workers (I1) and against an index that is inconsistent with the
// accounting.

#include "batch/batch.h"
#include "batch/resource_accounting.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

using namespace crocuswind;

RC_GTEST_PROP(ResourceAccounting, NeverExceedsACapacityAndKeepsTheIndexConsistent,
              (std::uint64_t seed))
{
    seeded_random random(seed);
    resource_accounting accounting;
    const auto worker = [&] { return worker_id{"worker-" + std::to_string(random.below(6))}; };
    const auto task = [&] {
        return task_key{{team_id{"lab"}, "job-" + std::to_string(random.below(20))}, 0};
    };
    for (int step = 0; step < 200; ++step) {
        switch (random.below(5)) {
        case 0:
            // Capacities do not shrink here; the next test covers that.
            if (const worker_id w = worker(); accounting.find(w) == nullptr)
                accounting.setWorker(w, rack_id{"r1"}, {4000, 8000, std::int64_t(random.below(2))});
            break;
        case 1:
            accounting.setEligible(worker(), random.below(4) != 0);
            break;
        case 2:
            (void)accounting.release(task());
            break;
        case 3:
            (void)accounting.removeWorker(worker());
            break;
        default:
            (void)accounting.commit(worker(), task(),
                                    {std::int64_t(1 + random.below(3000)),
                                     std::int64_t(random.below(6000)),
                                     std::int64_t(random.below(2))});
        }
        std::size_t eligible = 0;
        for (const auto &[id, number] : accounting.workers()) {
            const worker_slot &slot = accounting.slot(number);
            resources sum;
            for (const auto &[key, size] : slot.tasks) {
                sum = sum + size;
                RC_ASSERT(accounting.workerOf(key) == id);
            }
            RC_ASSERT(sum == slot.committed);
            RC_ASSERT(fitsInto(slot.committed, slot.capacity));
            eligible += slot.isEligible ? 1 : 0;
        }
        RC_ASSERT(accounting.plainWorkers().size() + accounting.acceleratedWorkers().size()
                  == eligible);
        for (const auto &[free, number] : accounting.plainWorkers())
            RC_ASSERT(accounting.slot(number).free().milliCores == free);
    }
}

TEST(ResourceAccounting, RefusesASecondCommitmentOfOneTask)
{
    resource_accounting accounting;
    accounting.setWorker(worker_id{"a"}, rack_id{"r"}, {4000, 100, 0});
    accounting.setWorker(worker_id{"b"}, rack_id{"r"}, {4000, 100, 0});
    const task_key task{{team_id{"lab"}, "cert"}, 0};
    EXPECT_TRUE(accounting.commit(worker_id{"a"}, task, {1000, 10, 0}));
    EXPECT_FALSE(accounting.commit(worker_id{"b"}, task, {1000, 10, 0}));
    EXPECT_FALSE(accounting.commit(worker_id{"c"}, {{team_id{"lab"}, "x"}, 0}, {1, 1, 0}));
    accounting.setWorker(worker_id{"a"}, rack_id{"r"}, {500, 100, 0});
    EXPECT_TRUE(accounting.isOvercommitted(worker_id{"a"}));
    EXPECT_FALSE(accounting.commit(worker_id{"a"}, {{team_id{"lab"}, "y"}, 0}, {0, 0, 0}));
}
