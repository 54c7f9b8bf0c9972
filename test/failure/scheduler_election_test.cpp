// Guards against two simultaneous owners, against writes of a former owner, and against an
// ownership that is never regained after the store has lost keys or responses.

#include "failure/scheduler_candidate.h"

#include <gtest/gtest.h>

using namespace crocuswind;
using namespace crocuswind::scheduler;

TEST(Election, OneOfTwoCandidatesWins)
{
    memory_store store;
    candidate a(store, "a");
    candidate b(store, "b");
    for (candidate *c : {&a, &b}) {
        c->election.setEligible(c->now, true);
        c->readOwnerKey();
        c->advanceTime(1ms);
    }
    a.serve();
    b.serve();
    EXPECT_TRUE(a.election.isOwner());
    EXPECT_FALSE(b.election.isOwner());
    b.readOwnerKey();
    ASSERT_TRUE(b.owner.has_value());
    EXPECT_EQ(b.owner->host.value, "a");
}

TEST(Election, EpochsIncreaseAndAFormerOwnerCannotWrite)
{
    memory_store store;
    candidate a(store, "a");
    candidate b(store, "b");
    a.becomeOwner();
    a.election.commit(a.now, batchOf("cw/job/1", "of a"));
    const auto delayed = a.waiting;
    a.waiting.clear();
    store.endLease(1);
    b.becomeOwner();
    EXPECT_EQ(b.elected, std::vector<std::int64_t>{2});
    b.election.commit(b.now, batchOf("cw/job/1", "of b"));
    b.serve();
    for (const auto &[token, operation] : delayed)
        a.election.onStoreResult(a.now, token, store.apply(operation));
    EXPECT_EQ(store.items.at("cw/job/1").value, "of b");
    EXPECT_EQ(a.deposed, 1);
    EXPECT_EQ(a.committed, 0);
}

TEST(Election, ALostOwnerKeyIsRewrittenUnderTheSameEpoch)
{
    memory_store store;
    candidate a(store, "a");
    a.becomeOwner();
    store.endLease(1);
    a.readOwnerKey();
    a.serve();
    EXPECT_TRUE(a.election.isOwner());
    EXPECT_EQ(a.elected, std::vector<std::int64_t>{1});
    EXPECT_EQ(store.items.count("cw/owner"), 1u);
    a.election.commit(a.now, batchOf("cw/job/1", "x"));
    a.serve();
    EXPECT_EQ(a.committed, 1);
}

TEST(Election, AResignationAllowsAnElectionAtOnce)
{
    memory_store store;
    candidate a(store, "a");
    candidate b(store, "b");
    a.becomeOwner();
    b.election.setEligible(b.now, true);
    b.readOwnerKey();
    a.election.resign(a.now);
    a.serve();
    EXPECT_EQ(a.deposed, 1);
    b.readOwnerKey();
    b.advanceTime(1ms);
    b.serve();
    EXPECT_TRUE(b.election.isOwner());
}

// An owner that was cut off from the store resigned when a worker showed it a later epoch. It was
// never a candidate again, and after the loss of the other hosts nobody owned the jobs.
TEST(Election, AnOwnerThatResignedIsElectedAgain)
{
    memory_store store;
    candidate a(store, "a");
    candidate b(store, "b");
    a.becomeOwner();
    store.endLease(store.lastLease);
    b.becomeOwner();
    a.election.resign(a.now);
    a.serve();
    a.readOwnerKey();
    store.endLease(store.lastLease);
    a.readOwnerKey();
    a.advanceTime(1ms);
    a.serve();
    EXPECT_TRUE(a.election.isOwner());
    EXPECT_EQ(a.elected, (std::vector<std::int64_t>{1, 3}));
}

TEST(Election, AnOwnerThatResignsForGoodIsNoCandidate)
{
    memory_store store;
    candidate a(store, "a");
    a.becomeOwner();
    a.election.setEligible(a.now, false);
    a.election.resign(a.now);
    a.serve();
    a.readOwnerKey();
    a.advanceTime(1s);
    a.serve();
    EXPECT_FALSE(a.election.isOwner());
}

// The lease runs from its grant, but the sole ownership was counted from the later write of the
// key.
TEST(Election, SoleOwnershipIsCountedFromTheGrantOfTheLease)
{
    memory_store store;
    candidate a(store, "a");
    a.election.setEligible(a.now, true);
    a.readOwnerKey();
    a.advanceTime(1ms);
    const instant grantSentAt = a.now;
    a.now += 300ms;
    a.executeFirst();
    a.now += 300ms;
    a.serve();
    ASSERT_TRUE(a.election.isOwner());
    EXPECT_LE(a.exclusiveUntil, grantSentAt + 1s);
}

TEST(Election, SoleOwnershipEndsWithTheLease)
{
    memory_store store;
    candidate a(store, "a");
    a.becomeOwner();
    const instant first = a.exclusiveUntil;
    EXPECT_LE(first, a.now + 1s);
    a.advanceTime(400ms);
    a.serve();
    EXPECT_EQ(a.exclusiveUntil, a.now + 1s);
    EXPECT_GT(a.exclusiveUntil, first);
}
