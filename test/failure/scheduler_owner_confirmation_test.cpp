// Guards against a successor that counts the authority of a former owner as shorter than it is, so
// that tasks run twice, or as longer, so that lost tasks are missing for too long.

#include "failure/scheduler_candidate.h"

#include <gtest/gtest.h>

using namespace crocuswind;
using namespace crocuswind::scheduler;

namespace {

/// An owner, and the host that succeeds it once the key of the owner has expired.
struct confirmed_owner : testing::Test
{
    confirmed_owner()
        : a(store, "a")
        , b(store, "b")
    {
        a.becomeOwner();
        b.now = a.now;
        b.readConfirmation();
        confirm();
        b.readConfirmation();
    }

    // Lets time pass on both hosts, without a word between the first one and the store.
    void wait(duration d)
    {
        a.now += d;
        b.now += d;
    }

    void confirm()
    {
        commit_batch batch = batchOf("cw/job/1", "x");
        batch.confirmsOwnership = true;
        a.election.commit(a.now, batch);
        a.serve();
    }

    void replaceOwner()
    {
        store.endLease(store.lastLease);
        b.becomeOwner();
        ASSERT_TRUE(b.election.isOwner());
    }

    memory_store store;
    candidate a;
    candidate b;
    duration limit = election_settings().authorityLimit;
};

} // namespace

// The successor counted the authority of the former owner from its own election, and so waited
// longer for a lost worker than a continuous task may be missing.
TEST_F(confirmed_owner, IsBoundedByItsLastConfirmation)
{
    wait(1s);
    confirm();
    const instant confirmedAt = b.now;
    b.readConfirmation();
    EXPECT_EQ(a.authorityUntil, confirmedAt + limit);
    wait(1200ms);
    replaceOwner();
    EXPECT_EQ(b.election.earlierAuthority().endOf(1), confirmedAt + limit);
}

// The watch showed the successor's own confirmation before the answer to its acquisition arrived.
TEST_F(confirmed_owner, IsBoundedByItsLastConfirmationIfItsSuccessorSeesItsOwnFirst)
{
    wait(1s);
    confirm();
    const instant confirmedAt = b.now;
    b.readConfirmation();
    wait(1200ms);
    store.endLease(store.lastLease);
    b.election.setEligible(b.now, true);
    b.readOwnerKey();
    b.advanceTime(1ms);
    b.executeFirst();
    b.executeFirst();
    const auto [token, acquisition] = b.waiting.front();
    const store_result answer = store.apply(acquisition);
    b.readOwnerKey();
    b.readConfirmation();
    b.election.onStoreResult(b.now, token, answer);
    ASSERT_TRUE(b.election.isOwner());
    EXPECT_EQ(b.election.earlierAuthority().endOf(1), confirmedAt + limit);
}

// A host that has just started found the last confirmation in the store, but can't tell its age.
TEST_F(confirmed_owner, IsReplacedByAHostThatSawItsLastConfirmationAppear)
{
    wait(1s);
    confirm();
    b.readConfirmation();
    candidate started(store, "c");
    started.now = b.now;
    started.readConfirmation();
    store.endLease(store.lastLease);
    for (candidate *c : {&started, &b}) {
        c->election.setEligible(c->now, true);
        c->readOwnerKey();
        c->advanceTime(100ms);
        c->serve();
    }
    EXPECT_FALSE(started.election.isOwner());
    EXPECT_TRUE(b.election.isOwner());
}

// Without another host, it is elected all the same.
TEST_F(confirmed_owner, IsReplacedByAHostThatHasJustStartedIfThereIsNoOther)
{
    candidate started(store, "c");
    started.now = a.now;
    started.readConfirmation();
    store.endLease(store.lastLease);
    started.election.setEligible(started.now, true);
    started.readOwnerKey();
    started.advanceTime(151ms);
    started.serve();
    EXPECT_TRUE(started.election.isOwner());
}

TEST_F(confirmed_owner, IsBoundedByTheElectionIfItsLastConfirmationWasNotSeen)
{
    wait(1s);
    confirm();
    wait(1200ms);
    replaceOwner();
    EXPECT_EQ(b.election.earlierAuthority().endOf(1), b.now + limit);
}

// Other hosts see no renewal, so none may extend what they assume.
TEST_F(confirmed_owner, GainsNoAuthorityFromARenewal)
{
    const instant before = a.authorityUntil;
    a.advanceTime(400ms);
    a.serve();
    EXPECT_EQ(a.exclusiveUntil, a.now + 1s);
    EXPECT_EQ(a.authorityUntil, before);
}

// Other hosts may have seen the copy whose response was lost.
TEST_F(confirmed_owner, CountsAConfirmationFromItsFirstCopy)
{
    wait(1s);
    const instant sentAt = a.now;
    const int committedBefore = a.committed;
    commit_batch batch = batchOf("cw/job/1", "x");
    batch.confirmsOwnership = true;
    a.election.commit(a.now, batch);
    a.loseAnswer();
    b.readConfirmation();
    a.advanceTime(2s);
    a.serve();
    ASSERT_EQ(a.committed, committedBefore + 1);
    EXPECT_EQ(a.authorityUntil, sentAt + limit);
    b.now = a.now;
    replaceOwner();
    EXPECT_EQ(b.election.earlierAuthority().endOf(1), sentAt + limit);
}

// A host was elected, but its response was lost, and it never served.
TEST_F(confirmed_owner, IsBoundedByTheEpochOfAnOwnerThatNeverServed)
{
    wait(1s);
    confirm();
    store.endLease(store.lastLease);
    candidate c(store, "c");
    c.now = a.now;
    c.election.setEligible(c.now, true);
    c.readOwnerKey();
    c.advanceTime(1ms);
    c.executeFirst();
    c.executeFirst();
    c.loseAnswer();
    ASSERT_FALSE(c.election.isOwner());
    wait(1200ms);
    replaceOwner();
    EXPECT_EQ(b.elected, std::vector<std::int64_t>{3});
    EXPECT_EQ(b.election.earlierAuthority().endOf(1), b.now + limit);
}

// The successor counted the authority of an owner that had never served, and so had granted none.
TEST_F(confirmed_owner, IsBoundedByItsLastConfirmationDespiteOwnersThatNeverServed)
{
    wait(1s);
    confirm();
    const instant confirmedAt = b.now;
    b.readConfirmation();
    for (const char *name : {"c", "d"}) {
        store.endLease(store.lastLease);
        candidate unserved(store, name);
        unserved.now = b.now;
        unserved.becomeOwner();
        ASSERT_TRUE(unserved.election.isOwner());
        wait(300ms);
        b.readOwnerKey();
        b.readConfirmation();
    }
    replaceOwner();
    EXPECT_EQ(b.elected, std::vector<std::int64_t>{4});
    EXPECT_EQ(b.election.earlierAuthority().endOf(3), confirmedAt + limit);
    EXPECT_EQ(b.election.earlierAuthority().lastConfirmedEpochBefore(4), 1);
}

TEST_F(confirmed_owner, MayExtendNoLeaseBeforeItIsConfirmed)
{
    candidate started(store, "c");
    started.now = a.now;
    store.endLease(store.lastLease);
    started.becomeOwner();
    ASSERT_TRUE(started.election.isOwner());
    EXPECT_EQ(started.authorityUntil, instant());
    started.advanceTime(400ms);
    started.serve();
    EXPECT_EQ(started.authorityUntil, instant());
    commit_batch batch = batchOf("cw/job/1", "x");
    batch.confirmsOwnership = true;
    started.election.commit(started.now, batch);
    started.serve();
    EXPECT_EQ(started.authorityUntil, started.now + limit);
}

// A host that watched an owner served and replaced knows the last confirmation of the one before.
TEST_F(confirmed_owner, IsBoundedByItsLastConfirmationAfterTwoChanges)
{
    wait(1s);
    confirm();
    const instant confirmedAt = b.now;
    b.readConfirmation();
    wait(1200ms);
    store.endLease(store.lastLease);
    candidate c(store, "c");
    c.now = b.now;
    c.becomeOwner();
    commit_batch batch = batchOf("cw/job/1", "x");
    batch.confirmsOwnership = true;
    c.election.commit(c.now, batch);
    c.serve();
    b.readOwnerKey();
    b.readConfirmation();
    const instant laterConfirmedAt = b.now;
    wait(1200ms);
    replaceOwner();
    EXPECT_EQ(b.election.earlierAuthority().endOf(1), confirmedAt + limit);
    EXPECT_EQ(b.election.earlierAuthority().endOf(2), laterConfirmedAt + limit);
}

// An owner of an earlier build leaves no confirmations.
TEST_F(confirmed_owner, IsGivenTheLongestAuthorityIfItIsOfAnEarlierBuild)
{
    store.items.at("cw/epoch").value = "2 7 a";
    wait(1s);
    replaceOwner();
    EXPECT_EQ(b.election.earlierAuthority().endOf(2), b.now + untracedAuthorityLimit);
}

// A record that is cut short does not say that no owner was ever confirmed.
TEST_F(confirmed_owner, IsGivenTheLongestAuthorityIfTheRecordIsCutShort)
{
    store.items.at("cw/epoch").value = "2";
    wait(1s);
    replaceOwner();
    EXPECT_EQ(b.election.earlierAuthority().endOf(2), b.now + untracedAuthorityLimit);
    EXPECT_EQ(b.election.earlierAuthority().lastConfirmedEpochBefore(3), 2);
}

TEST_F(confirmed_owner, IsNotBoundedByMalformedText)
{
    wait(1s);
    const instant confirmedAt = b.now - 1s;
    for (const char *text : {"", "1", "1 ", "x 1", "1 1x", "1 99999999999999999999", "1 9 0",
                             "1 9 0 0", "1 9 0 0 x", "1 9 0 0 5 6", " 1 9", "1  9"})
        b.election.onConfirmationKey(b.now, text);
    replaceOwner();
    EXPECT_EQ(b.election.earlierAuthority().endOf(1), confirmedAt + limit);
}
