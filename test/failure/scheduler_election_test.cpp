// Guards against two simultaneous owners, against writes of a former owner, and against an
// ownership that is never regained after the store has lost keys or responses.

#include "scheduler/scheduler.h"

#include <algorithm>
#include <fmt/format.h>
#include <functional>
#include <gtest/gtest.h>
#include <map>

using namespace crocuswind;
using namespace crocuswind::scheduler;

namespace {

/// In-memory store; tests can drop or delay responses and writes.
struct memory_store
{
    struct item
    {
        std::string value;
        std::int64_t revision = 0;
        std::int64_t lease = 0;
    };

    store_result apply(const store_operation &operation)
    {
        store_reply reply;
        if (const auto *grant = std::get_if<store_lease_grant>(&operation)) {
            reply.lease = ++lastLease;
            reply.ttlSeconds = grant->ttlSeconds;
            leases.insert(reply.lease);
        } else if (const auto *renewal = std::get_if<store_lease_renewal>(&operation)) {
            reply.ttlSeconds = leases.count(renewal->lease) != 0 ? 1 : 0;
        } else if (const auto *revocation = std::get_if<store_lease_revocation>(&operation)) {
            endLease(revocation->lease);
        } else if (const auto *range = std::get_if<store_range>(&operation)) {
            const auto found = items.find(range->key);
            if (found != items.end())
                reply.entries.push_back(entryOf(*found));
        } else {
            return apply(std::get<store_transaction>(operation));
        }
        reply.revision = revision;
        return reply;
    }

    store_result apply(const store_transaction &transaction)
    {
        store_reply reply;
        for (const store_compare &compare : transaction.compares) {
            const auto found = items.find(compare.key);
            const std::int64_t actual = found == items.end() ? 0 : found->second.revision;
            reply.succeeded = reply.succeeded && actual == compare.number;
            if (found != items.end())
                reply.entries.push_back(entryOf(*found));
        }
        const bool hasEndedLease = std::any_of(
            transaction.puts.begin(), transaction.puts.end(),
            [&](const store_put &put) { return put.lease != 0 && leases.count(put.lease) == 0; });
        if (reply.succeeded && hasEndedLease)
            return tl::unexpected(store_error::refused);
        if (reply.succeeded) {
            ++revision;
            for (const store_put &put : transaction.puts)
                items[put.key] = {put.value, revision, put.lease};
            for (const store_delete &removed : transaction.deletes)
                items.erase(removed.key);
        }
        reply.revision = revision;
        return reply;
    }

    void endLease(std::int64_t lease)
    {
        leases.erase(lease);
        ++revision;
        for (auto i = items.begin(); i != items.end();)
            i = i->second.lease == lease ? items.erase(i) : std::next(i);
    }

    static store_entry entryOf(const std::pair<const std::string, item> &i)
    {
        return {i.first, i.second.value, i.second.revision, i.second.revision, 1, i.second.lease};
    }

    std::map<std::string, item> items;
    std::set<std::int64_t> leases;
    std::int64_t revision = 1;
    std::int64_t lastLease = 0;
};

/// A host that is a candidate in the election. Its store calls are queued until the test executes
/// them.
struct candidate final : election_ports
{
    candidate(memory_store &s, const std::string &name)
        : store(s)
        , election(settingsOf(name), *this)
    { }

    static election_settings settingsOf(const std::string &name)
    {
        election_settings settings;
        settings.host.value = name;
        settings.address = "127.0.0.1:1";
        settings.candidacyDelay = 1ms;
        return settings;
    }

    void submit(std::uint64_t token, const store_operation &operation, instant) override
    {
        waiting.emplace_back(token, operation);
    }
    void onElected(std::int64_t epoch) override { elected.push_back(epoch); }
    void onDeposed() override { ++deposed; }
    void onOwner(const std::optional<owner_info> &o) override { owner = o; }
    void onCommitted() override { ++committed; }
    void onCommitRefused() override { ++commitsRefused; }
    void onConfirmed(instant authority, instant sole) override
    {
        authorityUntil = authority;
        exclusiveUntil = sole;
    }
    void onStoreAvailable(bool isAvailable) override { storeAvailable = isAvailable; }
    void log(const std::string &, const std::string &) override { }

    /// Executes all queued calls, and those that their responses trigger.
    void serve()
    {
        for (int rounds = 0; rounds < 20 && !waiting.empty(); ++rounds) {
            const auto calls = std::move(waiting);
            waiting.clear();
            for (const auto &[token, operation] : calls)
                election.onStoreResult(now, token, store.apply(operation));
        }
    }

    /// Executes the first queued call and delivers the response.
    void executeFirst()
    {
        const auto [token, operation] = waiting.front();
        waiting.erase(waiting.begin());
        election.onStoreResult(now, token, store.apply(operation));
    }

    /// Responds to the queued commit that the store has refused it.
    void refuse()
    {
        const auto isCommit = [](const auto &call) {
            return std::holds_alternative<store_transaction>(call.second);
        };
        const auto found = std::find_if(waiting.begin(), waiting.end(), isCommit);
        ASSERT_NE(found, waiting.end());
        const std::uint64_t token = found->first;
        waiting.erase(found);
        election.onStoreResult(now, token, tl::unexpected(store_error::refused));
    }

    /// Executes the first queued call, but drops the response.
    void loseAnswer()
    {
        const auto [token, operation] = waiting.front();
        waiting.erase(waiting.begin());
        store.apply(operation);
        election.onStoreResult(now, token, tl::unexpected(store_error::no_answer));
    }

    /// Passes the present owner key of the store to the election.
    void readOwnerKey()
    {
        const auto found = store.items.find("cw/owner");
        election.onOwnerKey(now,
                            found == store.items.end()
                                ? std::nullopt
                                : std::optional<std::string>(found->second.value),
                            store.revision);
    }

    /// Passes the last confirmation in the store to the election.
    void readConfirmation()
    {
        election.onConfirmationKey(now, store.items.at("cw/owner/confirmed").value);
    }

    void advanceTime(duration d)
    {
        now += d;
        election.tick(now);
    }

    /// Wins the election.
    void becomeOwner()
    {
        election.setEligible(now, true);
        readOwnerKey();
        advanceTime(1ms);
        serve();
    }

    memory_store &store;
    instant now{100s};
    std::vector<std::pair<std::uint64_t, store_operation>> waiting;
    std::vector<std::int64_t> elected;
    int deposed = 0;
    int committed = 0;
    int commitsRefused = 0;
    bool storeAvailable = true;
    instant authorityUntil;
    instant exclusiveUntil;
    std::optional<owner_info> owner;
    owner_election election;
};

commit_batch batchOf(const std::string &key, const std::string &value)
{
    commit_batch batch;
    batch.puts.push_back({key, value, 0});
    return batch;
}

} // namespace

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

// An owner of this build followed it, and was replaced at once: the bound of the later owner cut
// short the longer one of the earlier.
TEST(ConfirmationWatch, DoesNotCutShortAnUntracedOwner)
{
    confirmation_watch watch(election_settings().authorityLimit);
    const instant start{100s};
    watch.onAcquired(start, 2, {1, 0});
    watch.onEpoch(start, 2);
    watch.onConfirmation(start, {{2, 1}, std::nullopt, 0});
    watch.onAcquired(start + 1s, 3, {2, 1});
    watch.onEpoch(start + 1s, 3);
    EXPECT_EQ(watch.formerAuthority().endOf(1), start + untracedAuthorityLimit);
}

// The same on a host that only watched.
TEST(ConfirmationWatch, DoesNotCutShortAnUntracedOwnerThatItWatched)
{
    confirmation_watch watch(election_settings().authorityLimit);
    const instant start{100s};
    watch.onEpoch(start - 10s, 1);
    watch.onEpoch(start, 2);
    watch.onConfirmation(start, {{2, 1}, std::nullopt, 0});
    watch.onAcquired(start + 1s, 3, {2, 1});
    EXPECT_EQ(watch.formerAuthority().endOf(1), start + untracedAuthorityLimit);
}

// The reader of a stored time counts from when it can have been at the latest.
TEST(EarlierAuthority, RelatesTimesOfAFormerOwnerToTheOwnClock)
{
    confirmation_watch watch(election_settings().authorityLimit);
    const instant start{100s};
    watch.onConfirmation(start, {{3, 1}, owner_confirmation{2, 5}, 7000});
    watch.onConfirmation(start + 500ms, {{3, 2}, owner_confirmation{2, 5}, 7510});
    watch.onConfirmation(start + 1s, {{3, 3}, owner_confirmation{2, 5}, 7900});
    const earlier_authority &authority = watch.formerAuthority();
    // 490 ms after the closest sight, and 2% more.
    EXPECT_EQ(authority.latestTimeOf({3, 8000}), start + 500ms + 499800us);
    EXPECT_EQ(authority.latestTimeOf({3, 7510}), start + 500ms);
    EXPECT_EQ(authority.latestTimeOf({4, 8000}), std::nullopt);
}

// Small differences of the clocks' rates add up over the life of an owner.
TEST(EarlierAuthority, IsNotMisledByAnOwnerWhoseClockIsSlow)
{
    confirmation_watch watch(election_settings().authorityLimit);
    const instant start{100s};
    instant now = start;
    std::int64_t clockMs = 7000;
    for (std::int64_t number = 1; number <= 24; ++number) {
        watch.onConfirmation(now, {{3, number}, owner_confirmation{2, 5}, clockMs});
        EXPECT_GE(watch.formerAuthority().latestTimeOf({3, clockMs}).value(), now) << number;
        now += 3600s;
        clockMs += 3600000 - 180;
    }
}

// The last sight of a former owner was forgotten before its successor named it.
TEST(ConfirmationWatch, DoesNotCountALapsedAuthorityAnew)
{
    confirmation_watch watch(election_settings().authorityLimit);
    const instant start{100s};
    watch.onEpoch(start, 1);
    watch.onConfirmation(start, {{1, 1}, owner_confirmation{0, 0}, 1000});
    watch.onConfirmation(start + 1s, {{1, 2}, owner_confirmation{0, 0}, 2000});
    const instant later = start + 12s;
    watch.onEpoch(later, 2);
    watch.onConfirmation(later, {{2, 0}, owner_confirmation{1, 2}, 500});
    EXPECT_LE(watch.formerAuthority().endOf(1), later);
    watch.onAcquired(later, 2, {1, 2});
    EXPECT_LE(watch.formerAuthority().endOf(1), later);
}

TEST(ConfirmationWatch, CountsAnUntracedAuthorityOnce)
{
    confirmation_watch watch(election_settings().authorityLimit);
    const instant start{100s};
    watch.onEpoch(start - 10s, 1);
    watch.onEpoch(start, 2);
    watch.onConfirmation(start, {{2, 0}, owner_confirmation{1, 0}, 1000});
    for (int i = 1; i <= 60; ++i)
        watch.onConfirmation(start + i * 1s, {{2, i}, owner_confirmation{1, 0}, 1000 + i * 1000});
    watch.onAcquired(start + 61s, 3, {2, 60});
    EXPECT_EQ(watch.formerAuthority().endOf(2), start + 60s + election_settings().authorityLimit);
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
