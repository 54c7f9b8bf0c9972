/// Defines a candidate in the election of the owner and the store that it writes to, so that a test
/// can lose, delay and reorder their calls.
#ifndef CROCUSWIND_TEST_SCHEDULER_CANDIDATE_H
#define CROCUSWIND_TEST_SCHEDULER_CANDIDATE_H

#include "scheduler/scheduler.h"

#include <algorithm>
#include <cstdint>
#include <gtest/gtest.h>
#include <iterator>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace crocuswind::scheduler {

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

/// Returns a batch that writes one key.
inline commit_batch batchOf(const std::string &key, const std::string &value)
{
    commit_batch batch;
    batch.puts.push_back({key, value, 0});
    return batch;
}

} // namespace crocuswind::scheduler

#endif
