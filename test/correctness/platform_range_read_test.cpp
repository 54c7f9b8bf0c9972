// Guards against reads of many pages that share one time limit: a new owner that was short of
// processor time began to read the list of 3,000 workers anew again and again, and started nothing.

#include "platform/kv_store.h"
#include "standin/platform_site.h"

#include <fmt/format.h>
#include <gtest/gtest.h>
#include <optional>

using namespace crocuswind;

TEST(range_read, EachPageHasTheTimeLimitOfTheRead)
{
    constexpr int pageCount = 4;
    constexpr duration answerTime = 400ms;
    constexpr duration limit = 1s;
    static_assert(answerTime * pageCount > limit && answerTime < limit);
    event_loop loop;
    int pages = 0;
    http_server slowStore(
        loop, http_server_settings(), [&](const http_request &, const http_responder &responder) {
            const int page = ++pages;
            loop.callAt(loop.now() + answerTime, [page, responder]() mutable {
                http_response answer;
                answer.status = 200;
                answer.body
                    = fmt::format(R"({{"items":[{{"key":"servers/{}","value":"","revision":{},)"
                                  R"("createdRev":1,"lease":0}}],"hasMore":{},"currentRev":9}})",
                                  page, page, page < pageCount);
                responder.answer(answer);
            });
        });
    const auto endpoint = slowStore.listen({"127.0.0.1", 0});
    ASSERT_TRUE(endpoint);
    http_client client(loop, http_client_settings());
    platform::kv_store store(loop, client, *endpoint);
    std::optional<store_result> result;
    store.submit(store_range{"servers/", true}, loop.now() + limit,
                 [&](const store_result &read) { result = read; });
    ASSERT_TRUE(loop.runUntil([&] { return result.has_value(); }, 20s));
    ASSERT_TRUE(result->has_value());
    EXPECT_EQ((*result)->entries.size(), std::size_t(pageCount));
}
