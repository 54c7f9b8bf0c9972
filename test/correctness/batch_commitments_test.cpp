// Guards against overcommitted workers (I1) and against an index that disagrees with the book.

#include "batch/batch.h"
#include "batch/commitments.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

using namespace crocuswind;

RC_GTEST_PROP(CommitmentBook, NeverExceedsASizeAndKeepsTheIndexExact, (std::uint64_t seed))
{
    seeded_random random(seed);
    commitment_book book;
    const auto worker = [&] { return worker_id{"worker-" + std::to_string(random.below(6))}; };
    const auto task = [&] {
        return task_key{{team_id{"lab"}, "job-" + std::to_string(random.below(20))}, 0};
    };
    for (int step = 0; step < 200; ++step) {
        switch (random.below(5)) {
        case 0:
            // Sizes only grow here: shrinking is covered by the next test.
            if (const worker_id w = worker(); book.find(w) == nullptr)
                book.setWorker(w, rack_id{"r1"}, {4000, 8000, std::int64_t(random.below(2))});
            break;
        case 1:
            book.setEligible(worker(), random.below(4) != 0);
            break;
        case 2:
            (void)book.release(task());
            break;
        case 3:
            (void)book.removeWorker(worker());
            break;
        default:
            (void)book.commit(worker(), task(),
                              {std::int64_t(1 + random.below(3000)),
                               std::int64_t(random.below(6000)), std::int64_t(random.below(2))});
        }
        std::size_t eligible = 0;
        for (const auto &[id, number] : book.workers()) {
            const worker_slot &slot = book.slot(number);
            resources sum;
            for (const auto &[key, size] : slot.tasks) {
                sum = sum + size;
                RC_ASSERT(book.workerOf(key) == id);
            }
            RC_ASSERT(sum == slot.committed);
            RC_ASSERT(fitsInto(slot.committed, slot.capacity));
            eligible += slot.isEligible ? 1 : 0;
        }
        RC_ASSERT(book.plainWorkers().size() + book.acceleratedWorkers().size() == eligible);
        for (const auto &[free, number] : book.plainWorkers())
            RC_ASSERT(book.slot(number).free().milliCores == free);
    }
}

TEST(CommitmentBook, RefusesASecondCommitmentOfOneTask)
{
    commitment_book book;
    book.setWorker(worker_id{"a"}, rack_id{"r"}, {4000, 100, 0});
    book.setWorker(worker_id{"b"}, rack_id{"r"}, {4000, 100, 0});
    const task_key task{{team_id{"lab"}, "cert"}, 0};
    EXPECT_TRUE(book.commit(worker_id{"a"}, task, {1000, 10, 0}));
    EXPECT_FALSE(book.commit(worker_id{"b"}, task, {1000, 10, 0}));
    EXPECT_FALSE(book.commit(worker_id{"c"}, {{team_id{"lab"}, "x"}, 0}, {1, 1, 0}));
    book.setWorker(worker_id{"a"}, rack_id{"r"}, {500, 100, 0});
    EXPECT_TRUE(book.isOvercommitted(worker_id{"a"}));
    EXPECT_FALSE(book.commit(worker_id{"a"}, {{team_id{"lab"}, "y"}, 0}, {0, 0, 0}));
}
