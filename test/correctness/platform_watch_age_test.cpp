// Guards against news of the store that are taken for younger than the question that they answer:
// an answer may have waited to be read, and the store may have accepted changes meanwhile.

#include "platform/kv_store.h"
#include "standin/platform_site.h"

#include <gtest/gtest.h>
#include <optional>

using namespace crocuswind;

TEST(watch_age, IsCountedFromTheTimeTheStoreWasAsked)
{
    constexpr duration silence = 300ms;
    constexpr duration limit = 20s;
    event_loop loop;
    standin::platform_store site(loop);
    http_client client(loop, http_client_settings());
    platform::kv_store store(loop, client, *parseEndpoint(site.address()));
    std::optional<store_watch_update> news;
    instant heardAt;
    store.watch("servers/", silence, [&](const store_watch_update &update) {
        if (update.what == store_watch_update::kind::started || news)
            return;
        news = update;
        heardAt = loop.now();
    });
    ASSERT_TRUE(loop.runUntil([&] { return news.has_value(); }, limit));
    EXPECT_EQ(news->what, store_watch_update::kind::unchanged);
    EXPECT_LE(news->asOf, heardAt - silence)
        << "the store has waited for so long before it answered";

    const instant before = loop.now();
    news.reset();
    site.put("servers/i-1", {{"state", "draining"}});
    ASSERT_TRUE(loop.runUntil([&] { return news.has_value(); }, limit));
    EXPECT_EQ(news->what, store_watch_update::kind::changed);
    EXPECT_LE(news->asOf, before);
}
