// Guards against a host that becomes the owner although it may not, or without the key, and against
// a key that a stopped candidate leaves behind, so that nobody owns the jobs until its lease
// expires.

#include "failure/scheduler_candidate.h"

#include <gtest/gtest.h>

using namespace crocuswind;
using namespace crocuswind::scheduler;

namespace {

/// A host that has sent its acquisition.
struct sent_acquisition : testing::Test
{
    sent_acquisition()
        : a(store, "a")
    {
        a.election.setEligible(a.now, true);
        a.readOwnerKey();
        a.advanceTime(1ms);
        a.executeFirst(); // The grant of the lease.
        a.executeFirst(); // The read of the epoch.
        acquisition = a.waiting.front();
    }

    // The call is in flight until a test executes it and delivers the answer.
    store_result executeAcquisition() { return store.apply(acquisition.second); }

    void stop()
    {
        a.waiting.clear();
        a.election.setEligible(a.now, false);
    }

    bool hasOwnerKey() const { return store.items.count("cw/owner") != 0; }

    // Another host becomes the owner without waiting for a lease to expire.
    void expectSuccessor()
    {
        EXPECT_FALSE(hasOwnerKey());
        candidate b(store, "b");
        b.becomeOwner();
        EXPECT_TRUE(b.election.isOwner());
    }

    memory_store store;
    candidate a;
    std::pair<std::uint64_t, store_operation> acquisition;
};

} // namespace

TEST(Election, NoHostIsACandidateWhileTheOwnerIsUnknown)
{
    memory_store store;
    candidate a(store, "a");
    a.election.setEligible(a.now, true);
    a.advanceTime(5s);
    EXPECT_TRUE(a.waiting.empty());
    a.readOwnerKey();
    a.election.onOwnerKeyUnknown(a.now);
    a.advanceTime(5s);
    EXPECT_TRUE(a.waiting.empty());
}

// A host that was stopped during its candidacy still became the owner, and kept the ownership until
// its process ended, without acting as the owner.
TEST(Election, AHostThatIsStoppedDuringItsCandidacyDoesNotBecomeTheOwner)
{
    for (int answeredCalls = 0; answeredCalls < 3; ++answeredCalls) {
        memory_store store;
        candidate a(store, "a");
        a.election.setEligible(a.now, true);
        a.readOwnerKey();
        a.advanceTime(1ms);
        for (int i = 0; i < answeredCalls; ++i)
            a.executeFirst();
        a.election.setEligible(a.now, false);
        a.serve();
        EXPECT_TRUE(a.elected.empty()) << answeredCalls;
        EXPECT_EQ(store.items.count("cw/owner"), 0U) << answeredCalls;
        EXPECT_TRUE(store.leases.empty()) << answeredCalls;
    }
}

// A host that was stopped released its key only when the answer to its acquisition had arrived, or
// had been given up.
TEST_F(sent_acquisition, IsReleasedWithoutItsAnswerByAHostThatIsStopped)
{
    const store_result answer = executeAcquisition();
    stop();
    a.serve();
    expectSuccessor();
    a.election.onStoreResult(a.now, acquisition.first, answer);
    EXPECT_TRUE(a.elected.empty());
}

TEST_F(sent_acquisition, IsReleasedIfOnlyTheWatchHasShownIt)
{
    executeAcquisition();
    a.readOwnerKey();
    stop();
    a.serve();
    expectSuccessor();
    a.election.onStoreResult(a.now, acquisition.first, tl::unexpected(store_error::no_answer));
    EXPECT_TRUE(a.waiting.empty());
    EXPECT_TRUE(a.elected.empty());
}

TEST_F(sent_acquisition, HasNoEffectAfterTheHostWasStopped)
{
    stop();
    a.serve();
    const store_result answer = executeAcquisition();
    expectSuccessor();
    a.election.onStoreResult(a.now, acquisition.first, answer);
    EXPECT_TRUE(a.elected.empty());
    EXPECT_EQ(store.items.count("cw/owner"), 1U);
}

// The key remained until its lease expired, and nobody owned the jobs meanwhile.
TEST_F(sent_acquisition, IsReleasedIfItsAnswerIsLost)
{
    a.loseAnswer();
    a.serve();
    expectSuccessor();
    EXPECT_TRUE(a.elected.empty());
}

TEST_F(sent_acquisition, IsReleasedByAHostThatIsStoppedAfterItsAnswerWasLost)
{
    a.loseAnswer();
    a.election.setEligible(a.now, false);
    a.serve();
    expectSuccessor();
    EXPECT_TRUE(a.elected.empty());
}

// The process of a stopped host ended before the release of its key was answered.
TEST_F(sent_acquisition, MayHoldTheKeyUntilItsReleaseIsAnswered)
{
    EXPECT_TRUE(a.election.mayHoldKey());
    executeAcquisition();
    stop();
    EXPECT_TRUE(a.election.mayHoldKey());
    a.serve();
    EXPECT_FALSE(a.election.mayHoldKey());
}

TEST_F(sent_acquisition, MayHoldTheKeyOfAnOwnerUntilItsReleaseIsAnswered)
{
    EXPECT_TRUE(a.election.mayHoldKey());
    a.serve();
    ASSERT_TRUE(a.election.isOwner());
    a.election.setEligible(a.now, false);
    EXPECT_TRUE(a.election.mayHoldKey());
    a.election.resign(a.now);
    EXPECT_FALSE(a.election.isOwner());
    EXPECT_TRUE(a.election.mayHoldKey());
    a.serve();
    EXPECT_FALSE(a.election.mayHoldKey());
}

// The answer to a rewrite of the owner's key, sent in a former ownership, was taken for the answer
// to the write of the present candidacy, and the host acted as the owner without the key.
TEST(Election, AnAnswerOfAFormerOwnershipDoesNotDecideACandidacy)
{
    memory_store store;
    candidate a(store, "a");
    a.becomeOwner();
    store.endLease(store.lastLease);
    a.readOwnerKey();
    a.executeFirst(); // The grant of a new lease.
    const std::uint64_t formerToken = a.waiting.front().first;
    a.waiting.clear();
    a.election.resign(a.now);
    a.waiting.clear();
    a.readOwnerKey();
    a.advanceTime(1ms);
    a.executeFirst(); // The grant of the candidacy's lease.
    a.executeFirst(); // The read of the epoch.
    store_reply formerReply;
    formerReply.revision = store.revision + 1;
    a.election.onStoreResult(a.now, formerToken, formerReply);
    EXPECT_FALSE(a.election.isOwner());
    a.serve();
    EXPECT_TRUE(a.election.isOwner());
}
