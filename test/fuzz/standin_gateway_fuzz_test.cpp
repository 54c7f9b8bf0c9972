// Guards the stand-in for the store against arbitrary bytes in bodies that crash it, or that change
// the store although the answer is an error.

#include "standin/store_gateway.h"

#include <gtest/gtest.h>

using namespace crocuswind;
using namespace crocuswind::standin;

TEST(StandinGatewayFuzz, ErrorsLeaveTheStoreUnchanged)
{
    const std::vector<std::pair<std::string, std::string>> bases = {
        {"/v3/kv/txn",
         R"({"compare":[{"key":"YQ==","target":"VERSION","version":"0"}],"success":[{"request_put":{"key":"YQ==","value":"Yg==","lease":"0"}}],"failure":[{"request_range":{"key":"YQ=="}}]})"},
        {"/v3/kv/range", R"({"key":"YQ==","range_end":"Yg==","limit":"3"})"},
        {"/v3/kv/deleterange", R"({"key":"YQ==","range_end":"Yg=="})"},
        {"/v3/lease/grant", R"({"TTL":"5","ID":"0"})"},
        {"/v3/watch", R"({"create_request":{"key":"YQ==","range_end":"Yg=="}})"}};
    seeded_random random(20261204);
    store_model store;
    int errors = 0;
    for (int round = 0; round < 20000; ++round) {
        const auto &[path, base] = bases[random.below(bases.size())];
        std::string body = base;
        for (std::uint64_t i = random.below(4); i > 0; --i) {
            const std::size_t at = random.below(body.size());
            if (random.below(2) == 0)
                body[at] = char(random.below(256));
            else
                body.insert(at, 1, "[]{}:,\"\\0-n"[random.below(11)]);
        }
        const std::int64_t before = store.revision();
        const gateway_answer answer = answerStoreCall(store, instant{}, path, body);
        if (answer.status != 200) {
            ++errors;
            ASSERT_EQ(store.revision(), before) << body;
        }
        (void)parseWatchRequest(body);
    }
    EXPECT_GT(errors, 0);
}
