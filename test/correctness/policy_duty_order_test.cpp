// Guards against an owner of a large fleet whose polls of idle workers, or first polls after a
// takeover, leave no processor time for the renewal of leases.

#include "policy/policy.h"

#include <gtest/gtest.h>

using namespace crocuswind;
using namespace crocuswind::policy;

TEST(DutyOrder, AHostOfUnknownSizeIsNotBounded)
{
    EXPECT_EQ(idlePollInterval({0, 100000}, 1200ms), 1200ms);
    EXPECT_GT(allowedPolls({0, 100000}, {50000, 50000, 50000}, 50000).idle, 1000000);
}

TEST(DutyOrder, IdleWorkersArePolledLessOftenOnlyInFleetsTooLargeForTheOwner)
{
    EXPECT_EQ(idlePollInterval({100, 300}, 1200ms), 1200ms);
    EXPECT_EQ(idlePollInterval({500, 1100}, 1200ms), 1200ms);
    EXPECT_EQ(idlePollInterval({100, 1000}, 1200ms), 4s);
    EXPECT_EQ(idlePollInterval({100, 3000}, 1200ms), 12s);
    EXPECT_EQ(idlePollInterval({500, 3000}, 1200ms), 2400ms);
}

TEST(DutyOrder, FirstPollsGoBeforeRetriesAndIdlePolls)
{
    const owner_size size{100, 3000};
    const poll_counts none = allowedPolls(size, {}, 0);
    EXPECT_EQ(none.first, 100);
    EXPECT_EQ(none.retry, 25);
    EXPECT_EQ(none.idle, 50);
    const poll_counts busy = allowedPolls(size, {60, 20, 0}, 0);
    EXPECT_EQ(busy.first, 20);
    EXPECT_EQ(busy.retry, 5);
    EXPECT_EQ(busy.idle, 0);
    const poll_counts full = allowedPolls(size, {100, 0, 0}, 0);
    EXPECT_EQ(full.first + full.retry + full.idle, 0);
    EXPECT_GT(allowedPolls({1, 3000}, {}, 0).first, 0) << "the smallest host polls too";
}

TEST(DutyOrder, PollsOfWorkersThatAreCutOffLeaveRoomToOthersUpToABound)
{
    const owner_size size{100, 3000};
    EXPECT_EQ(allowedPolls(size, {}, 300).first, 100);
    EXPECT_EQ(allowedPolls(size, {50, 0, 0}, 340).first, 10);
    EXPECT_EQ(allowedPolls(size, {}, 400).first, 0);
}

TEST(DutyOrder, StartsAreHeldBackWhileARoundOfDutiesIsLate)
{
    EXPECT_EQ(allowedStarts(200, 100ms), 200);
    EXPECT_EQ(allowedStarts(200, 350ms), 200);
    EXPECT_EQ(allowedStarts(200, 925ms), 100);
    EXPECT_EQ(allowedStarts(200, 1500ms), 0);
    EXPECT_EQ(allowedStarts(200, 5s), 0);
}

TEST(DutyOrder, LooksAtAllWorkersBecomeRarerAsTheFleetGrows)
{
    EXPECT_LE(fullScanInterval(300), 10ms) << "each dispatch pass looks at all workers";
    EXPECT_EQ(fullScanInterval(3000), 100ms);
}
