// Guards against commits of an owner that are reported as durable, or as refused, although they are
// not, if responses are lost, late or of another write.

#include "failure/scheduler_candidate.h"

#include <gtest/gtest.h>

using namespace crocuswind;
using namespace crocuswind::scheduler;

namespace {

/// An owner whose first commit has been sent.
struct sent_commit : testing::Test
{
    sent_commit()
        : a(store, "a")
    {
        a.becomeOwner();
        a.election.commit(a.now, batchOf("cw/job/1", "x"));
    }

    memory_store store;
    candidate a;
};

} // namespace

TEST_F(sent_commit, IsConfirmedLaterIfTheResponseWasLost)
{
    a.loseAnswer();
    EXPECT_EQ(a.committed, 0);
    EXPECT_FALSE(a.storeAvailable);
    a.advanceTime(200ms);
    a.serve();
    EXPECT_EQ(a.committed, 1);
    EXPECT_TRUE(a.storeAvailable);
    EXPECT_TRUE(a.election.isOwner());
}

// After the store had refused the commit of a job, the job was kept for a retry, and its callers
// waited until their deadlines.
TEST_F(sent_commit, IsReportedAsRefusedIfTheStoreRefusesIt)
{
    a.refuse();
    EXPECT_EQ(a.commitsRefused, 1);
    EXPECT_FALSE(a.storeAvailable);
    a.election.commit(a.now, batchOf("cw/job/2", "y"));
    a.serve();
    EXPECT_EQ(a.committed, 1);
    EXPECT_EQ(store.items.count("cw/job/1"), 0U);
    EXPECT_EQ(store.items.at("cw/job/2").value, "y");
}

// The first attempt, whose response was lost, may have taken effect. Callers must not be told that
// it has not.
TEST_F(sent_commit, IsNotReportedAsRefusedIfItMayHaveTakenEffect)
{
    a.loseAnswer();
    a.advanceTime(200ms);
    a.refuse();
    EXPECT_EQ(a.commitsRefused, 0);
    a.advanceTime(200ms);
    a.serve();
    EXPECT_EQ(a.committed, 1);
}

// The response to a commit of a former epoch was mistaken for the response to the commit in flight,
// which was reported as refused although it took effect.
TEST_F(sent_commit, OfAFormerEpochDoesNotDecideALaterOne)
{
    const std::uint64_t formerToken = a.waiting.front().first;
    a.waiting.clear();
    store.endLease(store.lastLease);
    candidate b(store, "b");
    b.becomeOwner();
    a.readOwnerKey();
    ASSERT_EQ(a.deposed, 1);
    store.endLease(store.lastLease);
    a.becomeOwner();
    ASSERT_TRUE(a.election.isOwner());
    a.election.commit(a.now, batchOf("cw/job/2", "y"));
    a.election.onStoreResult(a.now, formerToken, tl::unexpected(store_error::refused));
    EXPECT_EQ(a.commitsRefused, 0);
    a.serve();
    EXPECT_EQ(a.committed, 1);
}

// The owner rewrote its key, but the response was lost. The next commit failed its comparison, as
// the key had changed, found the number of that write in the store, mistook it for its own and was
// reported as durable.
TEST(Election, AKeyRewrittenWithoutAResponseIsNotMistakenForTheNextCommit)
{
    memory_store store;
    candidate a(store, "a");
    a.becomeOwner();
    store.endLease(store.lastLease);
    a.readOwnerKey();
    a.executeFirst(); // The grant of a new lease.
    a.loseAnswer();
    a.election.commit(a.now, batchOf("cw/job/1", "x"));
    a.serve();
    EXPECT_EQ(a.committed, int(store.items.count("cw/job/1")));
    a.advanceTime(10ms);
    a.serve();
    EXPECT_EQ(a.committed, 1);
    EXPECT_EQ(store.items.count("cw/job/1"), 1U);
    EXPECT_EQ(a.deposed, 0);
}
