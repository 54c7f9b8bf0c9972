// Guards against bodies that differ from the published etcd v3 gateway protocol, and against
// malformed answers that are accepted as results.

#include "protocol/protocol.h"

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>
#include <rapidcheck/gtest.h>

using namespace crocuswind;
using nlohmann::json;

namespace {

constexpr const char *header
    = R"("header":{"cluster_id":"12585971608760269493","member_id":"13847567121247652255",)"
      R"("revision":"2","raft_term":"3"})";

json bodyOf(const store_operation &operation, const std::string &path)
{
    const store_call call = toStoreCall(operation);
    EXPECT_EQ(call.path, path);
    return json::parse(call.body);
}

} // namespace

TEST(Base64, MatchesTheTestVectorsOfRfc4648)
{
    const std::pair<const char *, const char *> vectors[] = {{"", ""},
                                                             {"f", "Zg=="},
                                                             {"fo", "Zm8="},
                                                             {"foo", "Zm9v"},
                                                             {"foob", "Zm9vYg=="},
                                                             {"fooba", "Zm9vYmE="},
                                                             {"foobar", "Zm9vYmFy"}};
    for (const auto &[bytes, text] : vectors) {
        EXPECT_EQ(toBase64(bytes), text);
        EXPECT_EQ(fromBase64(text), bytes);
    }
    for (const char *text :
         {"Z", "Zg", "Zg=", "Z===", "====", "Zg==Zg==", "Zh==", "Zm9=", "Zm 8", "=g=="})
        EXPECT_FALSE(fromBase64(text)) << text;
}

RC_GTEST_PROP(Base64, RoundTripsAllBytes, (const std::string &bytes))
{
    RC_ASSERT(fromBase64(toBase64(bytes)) == bytes);
}

TEST(StoreBodies, PrefixRangeEndFollowsThePublishedProtocol)
{
    EXPECT_EQ(prefixRangeEnd("foo"), "fop");
    EXPECT_EQ(prefixRangeEnd("a\xff"), "b");
    EXPECT_EQ(prefixRangeEnd("\xff\xff"), std::string(1, '\0'));
    EXPECT_EQ(prefixRangeEnd(""), std::string(1, '\0'));
}

TEST(StoreBodies, FormatsRequests)
{
    EXPECT_EQ(bodyOf(store_range{"foo", false}, "/v3/kv/range"), json({{"key", "Zm9v"}}));
    EXPECT_EQ(bodyOf(store_range{"foo", true}, "/v3/kv/range"),
              json({{"key", "Zm9v"}, {"range_end", "Zm9w"}}));
    EXPECT_EQ(bodyOf(store_range{"", true}, "/v3/kv/range"),
              json({{"key", "AA=="}, {"range_end", "AA=="}}));
    EXPECT_EQ(bodyOf(store_lease_grant{5}, "/v3/lease/grant"), json({{"TTL", "5"}}));
    EXPECT_EQ(bodyOf(store_lease_renewal{7}, "/v3/lease/keepalive"), json({{"ID", "7"}}));
    EXPECT_EQ(bodyOf(store_lease_revocation{7}, "/v3/lease/revoke"), json({{"ID", "7"}}));

    store_transaction transaction;
    transaction.compares = {{"foo", store_compare::property::create_revision, 5, ""},
                            {"foo", store_compare::property::value, 0, "bar"}};
    transaction.puts = {{"foo", "bar", 7}};
    transaction.deletes = {{"foo"}};
    transaction.readOnFailure = {{"foo", false}};
    EXPECT_EQ(bodyOf(transaction, "/v3/kv/txn"), json::parse(R"({
        "compare":[{"key":"Zm9v","result":"EQUAL","target":"CREATE","create_revision":"5"},
                   {"key":"Zm9v","result":"EQUAL","target":"VALUE","value":"YmFy"}],
        "success":[{"request_put":{"key":"Zm9v","value":"YmFy","lease":"7"}},
                   {"request_delete_range":{"key":"Zm9v"}}],
        "failure":[{"request_range":{"key":"Zm9v"}}]})"));
    EXPECT_EQ(json::parse(toWatchCall("foo").body), json::parse(R"({"create_request":
        {"key":"Zm9v","range_end":"Zm9w","progress_notify":true}})"));
}

TEST(StoreBodies, ParsesPublishedAnswers)
{
    const std::string head = header;
    const auto range = parseStoreReply(
        store_range{"foo", false},
        "{" + head
            + R"(,"kvs":[{"key":"Zm9v","create_revision":"2","mod_revision":2,)"
              R"("version":"1","value":"YmFy","lease":"9007199254740993"}],"count":"1"})");
    ASSERT_TRUE(range) << range.error();
    ASSERT_EQ(range->entries.size(), 1U);
    EXPECT_EQ(range->revision, 2);
    EXPECT_EQ(range->entries[0].key, "foo");
    EXPECT_EQ(range->entries[0].value, "bar");
    EXPECT_EQ(range->entries[0].modRevision, 2);
    EXPECT_EQ(range->entries[0].lease, 9007199254740993);

    const auto failed = parseStoreReply(
        store_transaction(),
        "{" + head + R"(,"responses":[{"response_range":{"kvs":[{"key":"Zm9v"}]}}]})");
    ASSERT_TRUE(failed) << failed.error();
    EXPECT_FALSE(failed->succeeded);
    ASSERT_EQ(failed->entries.size(), 1U);
    EXPECT_EQ(failed->entries[0].version, 0);
    const auto succeeded
        = parseStoreReply(store_transaction(),
                          "{" + head + R"(,"succeeded":true,"responses":[{"response_put":{}}]})");
    EXPECT_TRUE(succeeded && succeeded->succeeded);

    const auto grant = parseStoreReply(store_lease_grant{5},
                                       "{" + head + R"(,"ID":"7587848390391632133","TTL":"5"})");
    ASSERT_TRUE(grant) << grant.error();
    EXPECT_EQ(grant->lease, 7587848390391632133);
    EXPECT_EQ(grant->ttlSeconds, 5);
    const auto lapsed
        = parseStoreReply(store_lease_renewal{7}, "{\"result\":{" + head + R"(,"ID":"7"}})" + "\n");
    ASSERT_TRUE(lapsed) << lapsed.error();
    EXPECT_EQ(lapsed->ttlSeconds, 0);
    EXPECT_TRUE(parseStoreReply(store_lease_revocation{7}, "{" + head + "}"));
}

TEST(StoreBodies, RefusesMalformedBodies)
{
    const std::string head = header;
    for (const std::string &body :
         {std::string(), std::string("[]"), std::string("{}"), std::string("{\"header\":3}"),
          "{" + head, "{" + head + R"(,"kvs":3})", "{" + head + R"(,"kvs":[3]})",
          "{" + head + R"(,"more":true})", "{" + head + R"(,"kvs":[{"key":"Zm9"}]})",
          "{" + head + R"(,"kvs":[{"version":"1x"}]})", "{" + head + R"(,"kvs":[{"version":1.5}]})",
          "{" + head + R"(,"kvs":[{"version":"9223372036854775808"}]})",
          "{" + head + R"(,"kvs":[{"version":9223372036854775808}]})", std::string(100000, '[')})
        EXPECT_FALSE(parseStoreReply(store_range{"foo", false}, body)) << body.substr(0, 200);
    EXPECT_FALSE(parseStoreReply(store_lease_grant{5}, "{" + head + "}"));
    EXPECT_FALSE(parseStoreReply(store_lease_renewal{5}, R"({"error":{"message":"no"}})"));
}

TEST(StoreBodies, ParsesWatchMessages)
{
    const std::string head = header;
    const auto created
        = parseWatchMessage("{\"result\":{" + head + R"(,"watch_id":"0","created":true}})");
    ASSERT_TRUE(created) << created.error();
    EXPECT_TRUE(created->isCreated);
    EXPECT_EQ(created->revision, 2);
    const auto changed
        = parseWatchMessage("{\"result\":{" + head
                            + R"(,"events":[{"kv":{"key":"Zm9v","mod_revision":"2"}},)"
                              R"({"type":"DELETE","kv":{"key":"Zm9v","mod_revision":"3"}}]}})");
    ASSERT_TRUE(changed) << changed.error();
    ASSERT_EQ(changed->changes.size(), 2U);
    EXPECT_FALSE(changed->changes[0].isDeleted);
    EXPECT_TRUE(changed->changes[1].isDeleted);
    EXPECT_EQ(changed->changes[1].entry.modRevision, 3);
    const auto cancelled = parseWatchMessage("{\"result\":{" + head
                                             + R"(,"canceled":true,"compact_revision":"9"}})");
    EXPECT_TRUE(cancelled && cancelled->isCancelled);
    EXPECT_FALSE(parseWatchMessage(R"({"error":{"http_code":503,"message":"unavailable"}})"));
    EXPECT_FALSE(parseWatchMessage("{\"result\":{" + head + R"(,"events":[{}]}})"));
}

TEST(JsonObjectSplitter, FindsObjectsHoweverTheStreamIsSplit)
{
    const std::vector<std::string> expected = {R"({"a":"}\"{\\"})", R"({"b":[{},{"c":1}]})", "{}"};
    const std::string stream = expected[0] + "\n" + expected[1] + expected[2] + "\r\n";
    for (std::size_t cut = 0; cut <= stream.size(); ++cut) {
        json_object_splitter splitter(100);
        std::vector<std::string> objects;
        EXPECT_TRUE(splitter.feed(stream.substr(0, cut), objects));
        EXPECT_TRUE(splitter.feed(stream.substr(cut), objects));
        EXPECT_EQ(objects, expected) << cut;
    }
}

TEST(JsonObjectSplitter, RefusesLargeObjectsAndBytesOutsideObjects)
{
    std::vector<std::string> objects;
    EXPECT_TRUE(json_object_splitter(4).feed("{  }", objects));
    EXPECT_FALSE(json_object_splitter(4).feed("{   }", objects));
    json_object_splitter splitter(100);
    EXPECT_FALSE(splitter.feed("{}x", objects));
    EXPECT_FALSE(splitter.feed("{}", objects));
}
