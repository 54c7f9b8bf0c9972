// Guards against store failures that are reported as "no effect" although the operation may have
// taken effect, and against watches that report nothing after their connection broke.

#include "failure/io_raw_peer.h"

#include <gtest/gtest.h>

using namespace crocuswind;

namespace {

const std::string created = R"({"result":{"header":{"revision":"4"},"created":true}})";
const std::string changed = R"({"result":{"header":{"revision":"5"},"events":[)"
                            R"({"kv":{"key":"YS9i","value":"eA==","mod_revision":"5"}}]}})";

struct store_test : testing::Test
{
    etcd_store_settings settingsFor(std::vector<ip_endpoint> endpoints)
    {
        etcd_store_settings settings;
        settings.endpoints = std::move(endpoints);
        settings.minRetryDelay = 1ms;
        settings.maxRetryDelay = 5ms;
        return settings;
    }

    store_result submit(store &s, const store_operation &operation = store_range{"a", false})
    {
        std::optional<store_result> result;
        s.submit(operation, loop.now() + testTimeout, [&](const store_result &r) { result = r; });
        EXPECT_TRUE(loop.runUntil([&] { return result.has_value(); }, testTimeout));
        return *result;
    }

    std::string chunk(const std::string &bytes)
    {
        return fmt::format("{:x}\r\n{}\r\n", bytes.size(), bytes);
    }

    event_loop loop;
    seeded_random random{1};
    const std::string streamHeader = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
};

} // namespace

TEST_F(store_test, MapsEachStatusToAStoreError)
{
    http_response response;
    std::string path;
    http_server server(loop, {}, [&](const http_request &request, const http_responder &responder) {
        path = request.path;
        responder.answer(response);
    });
    etcd_store store(loop, settingsFor({*server.listen({"127.0.0.1", 0})}), random);
    response.body = R"({"header":{"revision":"4"},"kvs":[{"key":"YQ==","value":"eA=="}]})";
    const store_result found = submit(store);
    ASSERT_TRUE(found);
    EXPECT_EQ(found->entries.at(0).value, "x");
    EXPECT_EQ(path, "/v3/kv/range");
    response.body = "{}";
    EXPECT_EQ(submit(store).error(), store_error::no_answer);
    const std::pair<int, store_error> cases[] = {
        {400, store_error::refused},   {404, store_error::refused},   {429, store_error::refused},
        {408, store_error::no_answer}, {499, store_error::no_answer}, {500, store_error::no_answer},
        {503, store_error::no_answer}, {504, store_error::no_answer}};
    for (const auto &[status, error] : cases) {
        response.status = status;
        EXPECT_EQ(submit(store).error(), error) << status;
    }
    EXPECT_EQ(submit(store, store_lease_grant{5}).error(), store_error::no_answer);
    EXPECT_EQ(path, "/v3/lease/grant");
}

TEST_F(store_test, ConnectionClosedAfterTheRequestIsNoAnswer)
{
    raw_server raw(loop, [](raw_connection &c) { c.close(); });
    etcd_store store(loop, settingsFor({raw.endpoint}), random);
    EXPECT_EQ(submit(store).error(), store_error::no_answer);
}

TEST_F(store_test, SwitchesToTheNextEndpointAfterAFailureWithoutRetrying)
{
    int requests = 0;
    http_server server(loop, {}, [&](const http_request &, const http_responder &responder) {
        ++requests;
        responder.answer({200, "application/json", {}, R"({"header":{"revision":"4"}})"});
    });
    etcd_store store(loop, settingsFor({unusedEndpoint(loop), *server.listen({"127.0.0.1", 0})}),
                     random);
    EXPECT_EQ(submit(store).error(), store_error::not_sent);
    EXPECT_EQ(requests, 0);
    EXPECT_TRUE(submit(store));
    EXPECT_TRUE(submit(store));
    EXPECT_EQ(requests, 2);
}

TEST_F(store_test, WatchStreamMayBeSplitAtEveryByte)
{
    const std::string stream = created + "\n" + changed + "\n";
    std::size_t cut = 0;
    raw_server raw(loop, [&](raw_connection &c) {
        if (c.received.find("progress_notify") == std::string::npos)
            return;
        c.onBytes = nullptr;
        c.send(streamHeader + chunk(stream.substr(0, cut)) + chunk(stream.substr(cut)));
    });
    etcd_store store(loop, settingsFor({raw.endpoint}), random);
    for (cut = 1; cut < stream.size(); ++cut) {
        std::vector<store_watch_update> updates;
        const store_watch_id id = store.watch(
            "a/", 1s, [&](const store_watch_update &update) { updates.push_back(update); });
        ASSERT_TRUE(loop.runUntil([&] { return updates.size() == 2; }, testTimeout)) << cut;
        EXPECT_EQ(updates[0].what, store_watch_update::kind::started);
        EXPECT_EQ(updates[0].revision, 4);
        ASSERT_EQ(updates[1].changes.size(), 1U);
        EXPECT_EQ(updates[1].changes[0].entry.key, "a/b");
        EXPECT_EQ(updates[1].changes[0].entry.value, "x");
        store.cancelWatch(id);
    }
}

TEST_F(store_test, BrokenWatchIsReportedAndSetUpAgain)
{
    int streams = 0;
    const std::string endings[] = {"", R"({"result":{"header":{"revision":"6"},"canceled":true}})",
                                   R"({"error":{"message":"unavailable"}})", "nonsense"};
    raw_server raw(loop, [&](raw_connection &c) {
        c.onBytes = nullptr;
        const std::string &ending = endings[streams++ % 4];
        c.send(streamHeader + chunk(created));
        if (ending.empty())
            c.closeWhenSent();
        else
            c.send(chunk(ending));
    });
    etcd_store store(loop, settingsFor({raw.endpoint}), random);
    std::vector<store_watch_update::kind> kinds;
    store.watch("a/", 1s, [&](const store_watch_update &update) { kinds.push_back(update.what); });
    ASSERT_TRUE(loop.runUntil([&] { return kinds.size() >= 8; }, testTimeout));
    for (std::size_t i = 0; i < 8; ++i)
        EXPECT_EQ(kinds[i],
                  i % 2 == 0 ? store_watch_update::kind::started : store_watch_update::kind::lost);
}

TEST_F(store_test, WatchMayBeCancelledFromItsCallback)
{
    raw_server raw(loop,
                   [&](raw_connection &c) { c.send(streamHeader + chunk(created + changed)); });
    etcd_store store(loop, settingsFor({raw.endpoint}), random);
    int updates = 0;
    store_watch_id id = 0;
    id = store.watch("a/", 1s, [&](const store_watch_update &) {
        ++updates;
        store.cancelWatch(id);
    });
    EXPECT_TRUE(loop.runUntil(
        [&] { return !raw.connections.empty() && raw.connections[0]->isClosed; }, testTimeout));
    EXPECT_EQ(updates, 1);
}

TEST_F(store_test, HostListIsPolledAndFailuresAreReported)
{
    http_response response;
    http_server server(loop, {}, [&](const http_request &request, const http_responder &responder) {
        response.status = request.path == "/v1/hosts" ? response.status : 404;
        responder.answer(response);
    });
    response.body = R"({"hosts":[]})";
    host_list_client_settings settings;
    settings.endpoint = *server.listen({"127.0.0.1", 0});
    settings.interval = 1ms;
    int lists = 0;
    std::string error;
    host_list_client client(loop, settings, [&](const tl::expected<host_list, std::string> &list) {
        lists += list ? 1 : 0;
        error = list ? "" : list.error();
    });
    EXPECT_TRUE(loop.runUntil([&] { return lists >= 3; }, testTimeout));
    response.body = "[]";
    EXPECT_TRUE(
        loop.runUntil([&] { return error.find("cannot read") != std::string::npos; }, testTimeout));
    response.status = 500;
    EXPECT_TRUE(
        loop.runUntil([&] { return error.find("status 500") != std::string::npos; }, testTimeout));
}
