// Guards against arbitrary bytes in bodies of the store and the host list that crash the process or
// make it hang.

#include "fuzz/io_mutation.h"
#include "protocol/protocol.h"

#include <gtest/gtest.h>

using namespace crocuswind;

namespace {

constexpr int rounds = 4000;

const std::string bodies[] = {
    R"({"header":{"revision":"2"},"kvs":[{"key":"Zm9v","create_revision":"2","mod_revision":"2",)"
    R"("version":"1","value":"YmFy","lease":"7"}],"count":"1"})",
    R"({"header":{"revision":"3"},"succeeded":true,"responses":[{"response_range":{"kvs":[{"key":"Zg=="}]}}]})",
    R"({"result":{"header":{"revision":"5"},"ID":"7","TTL":"5"}})",
    R"({"result":{"header":{"revision":"5"},"created":true,"events":[{"type":"DELETE","kv":{"key":"YS9i"}}]}})",
    R"({"hosts":[{"name":"w","kind":"worker","data_centre":"a","address":"1.2.3.4:5","state":"live",)"
    R"("cores":1,"memory_mb":1,"accelerators":0}]})",
};

} // namespace

TEST(StoreFuzz, ParsersSurviveMutatedBodies)
{
    seeded_random random(20261204);
    const store_operation operations[]
        = {store_range{"a", true}, store_transaction(), store_lease_grant{5},
           store_lease_renewal{7}, store_lease_revocation{7}};
    int accepted = 0;
    for (int i = 0; i < rounds; ++i) {
        const std::string body = mutate(bodies[random.below(std::size(bodies))], random);
        for (const store_operation &operation : operations)
            accepted += parseStoreReply(operation, body) ? 1 : 0;
        accepted += parseWatchMessage(body) ? 1 : 0;
        const auto list = parseHostList(body);
        accepted += list ? 1 : 0;
        if (list) {
            EXPECT_TRUE(parseHostList(toHostListBody(list->hosts)));
        }
    }
    EXPECT_GT(accepted, 0); // Some mutated bodies stay valid, so acceptance is covered too.
}

TEST(StoreFuzz, SplitterFindsTheSameObjectsHoweverTheStreamIsCut)
{
    seeded_random random(20261204);
    for (int i = 0; i < rounds / 10; ++i) {
        const std::string stream = mutate(bodies[0] + bodies[3], random) + bodies[2];
        json_object_splitter whole(1000);
        json_object_splitter cut(1000);
        std::vector<std::string> expected;
        std::vector<std::string> objects;
        const bool isAccepted = whole.feed(stream, expected);
        bool isCutAccepted = true;
        for (std::size_t at = 0; at < stream.size() && isCutAccepted;) {
            const std::size_t length = 1 + random.below(40);
            isCutAccepted = cut.feed(std::string_view(stream).substr(at, length), objects);
            at += length;
        }
        EXPECT_EQ(isAccepted, isCutAccepted);
        EXPECT_EQ(objects, expected);
    }
}

TEST(StoreFuzz, Base64HasOneEncodingForEachValue)
{
    seeded_random random(20261204);
    for (int i = 0; i < rounds; ++i) {
        const std::string text = mutate("Zm9vYmFyZm9vYg==", random);
        if (const auto bytes = fromBase64(text)) {
            EXPECT_EQ(toBase64(*bytes), text);
        }
    }
}
