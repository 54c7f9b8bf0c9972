// Guards against updates of a watch that are reported as more recent than the request that they
// answer. An answer may have waited to be read, and the store may have accepted changes meanwhile.

#include "platform/kv_store.h"
#include "standin/platform_site.h"

#include <gtest/gtest.h>
#include <optional>

using namespace crocuswind;

TEST(watch_age, IsMeasuredFromTheSendTimeOfThePoll)
{
    constexpr duration maxSilence = 300ms;
    constexpr duration limit = 20s;
    event_loop loop;
    standin::platform_store site(loop);
    http_client client(loop, http_client_settings());
    platform::kv_store store(loop, client, *parseEndpoint(site.address()));
    std::optional<store_watch_update> update;
    instant receivedAt;
    store.watch("servers/", maxSilence, [&](const store_watch_update &received) {
        if (received.what == store_watch_update::kind::started || update)
            return;
        update = received;
        receivedAt = loop.now();
    });
    ASSERT_TRUE(loop.runUntil([&] { return update.has_value(); }, limit));
    EXPECT_EQ(update->what, store_watch_update::kind::unchanged);
    EXPECT_LE(update->asOf, receivedAt - maxSilence)
        << "the store holds the poll for maxSilence before it answers";

    const instant before = loop.now();
    update.reset();
    site.put("servers/i-1", {{"state", "draining"}});
    ASSERT_TRUE(loop.runUntil([&] { return update.has_value(); }, limit));
    EXPECT_EQ(update->what, store_watch_update::kind::changed);
    EXPECT_LE(update->asOf, before);
}
