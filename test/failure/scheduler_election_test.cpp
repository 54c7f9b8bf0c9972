// Guards against two owners, against writes of a former owner, and against an ownership that is
// lost for good when the store loses keys or answers.

#include "scheduler/scheduler.h"

#include <algorithm>
#include <fmt/format.h>
#include <functional>
#include <gtest/gtest.h>
#include <map>

using namespace crocuswind;
using namespace crocuswind::scheduler;

namespace {

/// The store in memory; answers and writes can be lost or delayed.
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

/// A host that stands for election; its calls wait until they are carried out.
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
    void onConfirmed(instant, instant sole) override { exclusiveUntil = sole; }
    void onStoreAvailable(bool isAvailable) override { storeAvailable = isAvailable; }
    void log(const std::string &, const std::string &) override { }

    /// Carries out all waiting calls, and those that follow from the answers.
    void serve()
    {
        for (int rounds = 0; rounds < 20 && !waiting.empty(); ++rounds) {
            const auto calls = std::move(waiting);
            waiting.clear();
            for (const auto &[token, operation] : calls)
                election.onStoreResult(now, token, store.apply(operation));
        }
    }

    void carryOutFirst()
    {
        const auto [token, operation] = waiting.front();
        waiting.erase(waiting.begin());
        election.onStoreResult(now, token, store.apply(operation));
    }

    /// Refuses the waiting commit.
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

    /// Carries out the first waiting call without an answer.
    void loseAnswer()
    {
        const auto [token, operation] = waiting.front();
        waiting.erase(waiting.begin());
        store.apply(operation);
        election.onStoreResult(now, token, tl::unexpected(store_error::no_answer));
    }

    void seeOwner()
    {
        const auto found = store.items.find("cw/owner");
        election.onOwnerKey(now,
                            found == store.items.end()
                                ? std::nullopt
                                : std::optional<std::string>(found->second.value),
                            store.revision);
    }

    void pass(duration d)
    {
        now += d;
        election.tick(now);
    }

    void become()
    {
        election.setEligible(now, true);
        seeOwner();
        pass(1ms);
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
        c->seeOwner();
        c->pass(1ms);
    }
    a.serve();
    b.serve();
    EXPECT_TRUE(a.election.isOwner());
    EXPECT_FALSE(b.election.isOwner());
    b.seeOwner();
    ASSERT_TRUE(b.owner.has_value());
    EXPECT_EQ(b.owner->host.value, "a");
}

TEST(Election, EpochsRiseAndTheFormerOwnerWritesNothingMore)
{
    memory_store store;
    candidate a(store, "a");
    candidate b(store, "b");
    a.become();
    a.election.commit(a.now, batchOf("cw/job/1", "of a"));
    const auto delayed = a.waiting;
    a.waiting.clear();
    store.endLease(1);
    b.become();
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
        a.become();
        a.election.commit(a.now, batchOf("cw/job/1", "x"));
    }

    memory_store store;
    candidate a;
};

} // namespace

TEST_F(sent_commit, IsRecognisedWithoutAnAnswer)
{
    a.loseAnswer();
    EXPECT_EQ(a.committed, 0);
    EXPECT_FALSE(a.storeAvailable);
    a.pass(200ms);
    a.serve();
    EXPECT_EQ(a.committed, 1);
    EXPECT_TRUE(a.storeAvailable);
    EXPECT_TRUE(a.election.isOwner());
}

// A job whose commit the store had refused was kept for another try, and its callers waited for it
// until their deadlines.
TEST_F(sent_commit, IsGivenBackIfTheStoreRefusesIt)
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

// The copy without an answer may have taken effect: callers must not be told that it has not.
TEST_F(sent_commit, IsNotGivenBackIfItMayHaveTakenEffect)
{
    a.loseAnswer();
    a.pass(200ms);
    a.refuse();
    EXPECT_EQ(a.commitsRefused, 0);
    a.pass(200ms);
    a.serve();
    EXPECT_EQ(a.committed, 1);
}

// The answer to a commit of the former epoch was taken for that of the commit under way, which was
// given back although it took effect.
TEST_F(sent_commit, OfAFormerEpochDoesNotAnswerForALaterOne)
{
    const std::uint64_t formerToken = a.waiting.front().first;
    a.waiting.clear();
    store.endLease(store.lastLease);
    candidate b(store, "b");
    b.become();
    a.seeOwner();
    ASSERT_EQ(a.deposed, 1);
    store.endLease(store.lastLease);
    a.become();
    ASSERT_TRUE(a.election.isOwner());
    a.election.commit(a.now, batchOf("cw/job/2", "y"));
    a.election.onStoreResult(a.now, formerToken, tl::unexpected(store_error::refused));
    EXPECT_EQ(a.commitsRefused, 0);
    a.serve();
    EXPECT_EQ(a.committed, 1);
}

// The owner's key was written anew without an answer. The next commit lost to it, found the number
// of this write in the store, took it for its own and counted as durable.
TEST(Election, AKeyWrittenWithoutAnAnswerIsNotTakenForTheNextCommit)
{
    memory_store store;
    candidate a(store, "a");
    a.become();
    store.endLease(store.lastLease);
    a.seeOwner();
    a.carryOutFirst(); // The grant of a new lease.
    a.loseAnswer();
    a.election.commit(a.now, batchOf("cw/job/1", "x"));
    a.serve();
    EXPECT_EQ(a.committed, int(store.items.count("cw/job/1")));
    a.pass(10ms);
    a.serve();
    EXPECT_EQ(a.committed, 1);
    EXPECT_EQ(store.items.count("cw/job/1"), 1U);
    EXPECT_EQ(a.deposed, 0);
}

TEST(Election, ALostOwnerKeyIsWrittenAnewUnderTheSameEpoch)
{
    memory_store store;
    candidate a(store, "a");
    a.become();
    store.endLease(1);
    a.seeOwner();
    a.serve();
    EXPECT_TRUE(a.election.isOwner());
    EXPECT_EQ(a.elected, std::vector<std::int64_t>{1});
    EXPECT_EQ(store.items.count("cw/owner"), 1u);
    a.election.commit(a.now, batchOf("cw/job/1", "x"));
    a.serve();
    EXPECT_EQ(a.committed, 1);
}

TEST(Election, NobodyStandsWhileTheOwnerIsNotKnown)
{
    memory_store store;
    candidate a(store, "a");
    a.election.setEligible(a.now, true);
    a.pass(5s);
    EXPECT_TRUE(a.waiting.empty());
    a.seeOwner();
    a.election.onOwnerKeyUnknown(a.now);
    a.pass(5s);
    EXPECT_TRUE(a.waiting.empty());
}

TEST(Election, AResigningOwnerMakesRoomAtOnce)
{
    memory_store store;
    candidate a(store, "a");
    candidate b(store, "b");
    a.become();
    b.election.setEligible(b.now, true);
    b.seeOwner();
    a.election.resign(a.now);
    a.serve();
    EXPECT_EQ(a.deposed, 1);
    b.seeOwner();
    b.pass(1ms);
    b.serve();
    EXPECT_TRUE(b.election.isOwner());
}

TEST(Election, TheSoleOwnershipEndsWithTheLease)
{
    memory_store store;
    candidate a(store, "a");
    a.become();
    const instant first = a.exclusiveUntil;
    EXPECT_LE(first, a.now + 1s);
    a.pass(400ms);
    a.serve();
    EXPECT_EQ(a.exclusiveUntil, a.now + 1s);
    EXPECT_GT(a.exclusiveUntil, first);
}
