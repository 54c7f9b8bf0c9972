// Checks that the stand-in for the store has the semantics of etcd. Failures guarded against: a
// transaction is applied partially, keys outlive their lease, expired leases are revived, and
// watches miss changes. Any of these would make the tests of the daemon pass against a wrong store.

#include "protocol/protocol.h"
#include "standin/store_gateway.h"

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

using namespace crocuswind;
using namespace crocuswind::standin;
using nlohmann::json;

namespace {

instant at(int ms)
{
    return instant{} + std::chrono::milliseconds(ms);
}

store_operation put(const std::string &key, const std::string &value, std::int64_t version,
                    std::int64_t lease = 0)
{
    store_transaction t;
    t.compares = {{key, store_compare::property::version, version, {}}};
    t.puts = {{key, value, lease}};
    t.readOnFailure = {{key, false}};
    return t;
}

bool isRefused(const store_result &result)
{
    return !result && result.error() == store_error::refused;
}

json call(store_model &store, int ms, const std::string &path, const json &body)
{
    const gateway_answer answer = answerStoreCall(store, at(ms), path, body.dump());
    json parsed = json::parse(answer.body, nullptr, false);
    parsed["status"] = answer.status;
    return parsed;
}

} // namespace

TEST(StandinStore, TransactionIsAllOrNothing)
{
    store_model store;
    ASSERT_TRUE(store.apply(at(0), put("a", "1", 0))->succeeded);
    store_transaction t;
    t.compares = {{"a", store_compare::property::version, 1, {}},
                  {"b", store_compare::property::version, 5, {}}};
    t.puts = {{"a", "2", 0}, {"b", "2", 0}};
    t.readOnFailure = {{"", true}};
    const auto refused = store.apply(at(1), t);
    ASSERT_TRUE(refused);
    EXPECT_FALSE(refused->succeeded);
    ASSERT_EQ(refused->entries.size(), 1u);
    EXPECT_EQ(refused->entries[0].value, "1");
    EXPECT_EQ(refused->revision, 2);

    // An unknown lease in one put makes the store refuse the whole transaction.
    t.compares.clear();
    t.puts = {{"a", "3", 0}, {"b", "3", 99}};
    EXPECT_TRUE(isRefused(store.apply(at(2), t)));
    t.puts = {{"a", "3", 0}, {"a", "4", 0}};
    EXPECT_TRUE(isRefused(store.apply(at(2), t)));
    EXPECT_EQ(store.read({"a", ""})[0].value, "1");

    t.puts = {{"a", "5", 0}, {"b", "5", 0}};
    ASSERT_TRUE(store.apply(at(3), t)->succeeded);
    const auto entries = store.read({"a", "c"});
    ASSERT_EQ(entries.size(), 2u);
    EXPECT_EQ(entries[0].modRevision, entries[1].modRevision);
    EXPECT_EQ(entries[0].createRevision, 2);
    EXPECT_EQ(entries[0].version, 2);
}

TEST(StandinStore, OnlyOneOfTwoWritersWins)
{
    store_model store;
    EXPECT_TRUE(store.apply(at(0), put("owner", "x", 0))->succeeded);
    const auto second = store.apply(at(0), put("owner", "y", 0));
    EXPECT_FALSE(second->succeeded);
    EXPECT_EQ(second->entries[0].value, "x");
}

TEST(StandinStore, ExpiredLeaseDeletesItsKeysAndIsNotRevived)
{
    store_model store;
    const auto lease = store.apply(at(0), store_lease_grant{5})->lease;
    ASSERT_TRUE(store.apply(at(0), put("seat", "x", 0, lease))->succeeded);
    EXPECT_EQ(store.apply(at(4999), store_lease_renewal{lease})->ttlSeconds, 5);
    EXPECT_EQ(store.apply(at(9998), store_range{"seat", false})->entries.size(), 1u);
    const std::int64_t before = store.revision();
    EXPECT_EQ(store.apply(at(9999), store_lease_renewal{lease})->ttlSeconds, 0);
    EXPECT_TRUE(store.read({"seat", ""}).empty());
    const auto changes = store.changesFrom(before + 1, {"seat", ""});
    ASSERT_EQ(changes.size(), 1u);
    EXPECT_TRUE(changes[0].isDeleted);
    EXPECT_TRUE(isRefused(store.apply(at(10000), put("seat", "y", 0, lease))));
}

TEST(StandinStore, WriteWithoutLeaseDetachesKey)
{
    store_model store;
    const auto lease = store.apply(at(0), store_lease_grant{1})->lease;
    ASSERT_TRUE(store.apply(at(0), put("k", "x", 0, lease))->succeeded);
    ASSERT_TRUE(store.apply(at(0), put("k", "y", 1))->succeeded);
    store.expire(at(5000));
    EXPECT_EQ(store.read({"k", ""}).size(), 1u);
}

TEST(StandinStore, UsesTheJsonMappingOfTheGateway)
{
    store_model store;
    const json entry = {{"key", toBase64("a/1")}, {"value", toBase64("v")}};
    EXPECT_EQ(call(store, 0, "/v3/kv/put", entry)["header"]["revision"], "2");
    const json read = {{"key", toBase64("a/")}, {"range_end", toBase64("a0")}};
    const json range = call(store, 0, "/v3/kv/range", read);
    EXPECT_EQ(range["count"], "1");
    EXPECT_EQ(range["kvs"][0]["value"], toBase64("v"));
    EXPECT_EQ(range["kvs"][0]["mod_revision"], "2");
    EXPECT_FALSE(range["kvs"][0].contains("lease"));

    json transaction = json::object();
    transaction["compare"]
        = json::array({{{"key", toBase64("a/1")}, {"target", "MOD"}, {"mod_revision", "1"}}});
    transaction["success"] = json::array({{{"request_put", entry}}});
    transaction["failure"] = json::array({{{"request_range", read}}});
    const json result = call(store, 0, "/v3/kv/txn", transaction);
    EXPECT_FALSE(result.contains("succeeded"));
    EXPECT_EQ(result["responses"][0]["response_range"]["count"], "1");

    const json lease = call(store, 0, "/v3/lease/grant", {{"TTL", "5"}});
    EXPECT_EQ(lease["TTL"], "5");
    const json kept = call(store, 1, "/v3/lease/keepalive", {{"ID", lease["ID"]}});
    EXPECT_EQ(kept["result"]["TTL"], "5");
    const json lapsed = call(store, 9000, "/v3/lease/keepalive", {{"ID", lease["ID"]}});
    EXPECT_FALSE(lapsed["result"].contains("TTL"));
    EXPECT_EQ(call(store, 9000, "/v3/lease/revoke", {{"ID", lease["ID"]}})["status"], 404);
    EXPECT_EQ(call(store, 0, "/v3/kv/put", {{"key", "%"}})["status"], 400);
    EXPECT_EQ(call(store, 0, "/v3/other", json::object())["status"], 404);
}

TEST(StandinStore, WatchMessagesHoldOneRevisionEach)
{
    store_model store;
    ASSERT_TRUE(store.apply(at(0), put("a", "1", 0))->succeeded);
    store_transaction t;
    t.puts = {{"b", "2", 0}, {"c", "2", 0}};
    t.deletes = {{"a"}};
    ASSERT_TRUE(store.apply(at(0), t)->succeeded);
    const std::string text
        = watchChangesMessage(store.revision(), store.changesFrom(2, {"a", "z"}));
    const std::size_t newline = text.find('\n');
    EXPECT_EQ(json::parse(text.substr(0, newline))["result"]["events"].size(), 1u);
    const json second = json::parse(text.substr(newline + 1))["result"]["events"];
    ASSERT_EQ(second.size(), 3u);
    EXPECT_EQ(second[2]["type"], "DELETE");
}
