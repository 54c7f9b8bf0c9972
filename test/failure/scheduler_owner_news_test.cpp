// Guards against hosts that the store does not serve and that go on sending calls to a former
// owner, since they do not learn of the next one.

#include "failure/scheduler_candidate.h"

#include <gtest/gtest.h>

using namespace crocuswind;
using namespace crocuswind::scheduler;

namespace {

struct owner_news : testing::Test
{
    owner_news()
        : former(store, "former")
    {
        former.becomeOwner();
        next = {{"next"}, "127.0.0.1:2", former.election.epoch() + 1};
    }

    memory_store store;
    candidate former;
    owner_info next;
};

} // namespace

TEST_F(owner_news, OfALaterEpochDeposesAnOwnerThatTheStoreDoesNotServe)
{
    EXPECT_TRUE(former.election.onOwnerNews(former.now, next));
    EXPECT_EQ(former.deposed, 1);
    EXPECT_EQ(former.owner, next);
}

TEST_F(owner_news, OfTheSameOrAnEarlierEpochIsNone)
{
    next.epoch = former.election.epoch();
    EXPECT_FALSE(former.election.onOwnerNews(former.now, next));
    EXPECT_TRUE(former.election.isOwner());
    next.epoch += 2;
    EXPECT_TRUE(former.election.onOwnerNews(former.now, next));
    EXPECT_FALSE(former.election.onOwnerNews(former.now, next)) << "it would circulate";
    --next.epoch;
    EXPECT_FALSE(former.election.onOwnerNews(former.now, next));
}

// Otherwise a host that heard of an owner that has ended since would never stand for election.
TEST_F(owner_news, GiveWayToWhatTheStoreShows)
{
    ASSERT_TRUE(former.election.onOwnerNews(former.now, next));
    store.endLease(store.lastLease);
    former.readOwnerKey();
    EXPECT_EQ(former.owner, std::nullopt);
    former.advanceTime(1s);
    former.serve();
    EXPECT_TRUE(former.election.isOwner());
}
