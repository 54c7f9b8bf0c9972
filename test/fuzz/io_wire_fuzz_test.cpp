// Guards against bytes on a socket that crash the process, leak a connection, or leave a call
// without exactly one result.

#include "failure/io_raw_peer.h"
#include "fuzz/io_mutation.h"

#include <charconv>
#include <gtest/gtest.h>

using namespace crocuswind;

namespace {

constexpr int rounds = 40;
constexpr int casesPerRound = 25;

const std::string requests[] = {
    "POST /v1/requests?x=1 HTTP/1.1\r\nHost: x\r\nContent-Length: 4\r\n\r\nping",
    "POST /run HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nping\r\n0\r\n\r\n",
    "GET /a HTTP/1.1\r\nHost: x\r\n\r\nGET /b HTTP/1.1\r\nHost: x\r\nExpect: 100-continue\r\n\r\n",
    "PUT http://x/a HTTP/1.0\r\nConnection: keep-alive\r\nContent-Length: 0\r\n\r\n",
};

const std::string answers[] = {
    "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\npong",
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\npong\r\n0\r\nx: y\r\n\r\n",
    "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 204 No Content\r\nConnection: close\r\n\r\n",
};

const std::string frames = "GET /v1/peer HTTP/1.1\r\nHost: x\r\nUpgrade: websocket\r\n"
                           "Connection: Upgrade\r\nSec-WebSocket-Version: 13\r\n"
                           "Sec-WebSocket-Key: dGhlIHNhbXBsZSBub25jZQ==\r\n\r\n"
                           "\x82\x83\x01\x02\x03\x04sct" // "raw", masked
                           "\x89\x80\x01\x02\x03\x04"
                           "\x02\x81\x01\x02\x03\x04x\x80\x81\x01\x02\x03\x04y"
                           "\x88\x82\x01\x02\x03\x04\x02\xea";

struct raw_hello final : peer_hello_codec
{
    std::string helloFrame() override { return "self"; }
    std::optional<host_id> parseHello(std::string_view frame) override
    {
        return frame == "raw" ? std::optional(host_id{"raw"}) : std::nullopt;
    }
};

// Opens connections, sends mutated bytes on each and waits until all are closed.
void sendMutated(event_loop &loop, const ip_endpoint &to, random_source &random,
                 const std::function<std::string()> &pick)
{
    std::vector<std::unique_ptr<raw_connection>> connections;
    for (int k = 0; k < casesPerRound; ++k) {
        connections.push_back(std::make_unique<raw_connection>(loop, to));
        connections.back()->closeWhenSent();
        connections.back()->send(mutate(pick(), random) + "x");
    }
    EXPECT_TRUE(loop.runUntil(
        [&] {
            return std::all_of(connections.begin(), connections.end(),
                               [](const auto &c) { return c->isClosed; });
        },
        testTimeout));
}

} // namespace

TEST(WireFuzz, ServerSurvivesMutatedRequests)
{
    event_loop loop;
    seeded_random random(20261204);
    http_server_settings settings;
    settings.idleTimeout = 500ms;
    int handled = 0;
    std::vector<http_responder> held;
    http_server server(loop, settings, [&](const http_request &, const http_responder &responder) {
        // Every other answer is sent after the caller has disconnected.
        if (++handled % 2 == 0)
            responder.answer({});
        else
            held.push_back(responder);
    });
    const ip_endpoint to = *server.listen({"127.0.0.1", 0});
    for (int i = 0; i < rounds; ++i) {
        sendMutated(loop, to, random, [&] { return requests[random.below(std::size(requests))]; });
        for (const http_responder &responder : std::exchange(held, {}))
            responder.answer({200, "text/plain", {}, "late"});
    }
    EXPECT_GT(handled, 0);
    EXPECT_TRUE(loop.runUntil(
        [&] {
            held.clear();
            return server.openConnections() == 0;
        },
        testTimeout));
    EXPECT_EQ(server.openRequests(), 0U);
}

TEST(WireFuzz, ClientReportsOneResultForEachMutatedAnswer)
{
    event_loop loop;
    seeded_random random(20261204);
    raw_server raw(loop, [&](raw_connection &c) {
        c.closeWhenSent();
        c.send(mutate(answers[random.below(std::size(answers))], random) + "x");
    });
    http_client client(loop, {});
    int results = 0;
    for (int i = 0; i < rounds * casesPerRound; ++i) {
        http_call call;
        call.to = raw.endpoint;
        call.body = "ping";
        call.deadline = loop.now() + testTimeout;
        const int expected = results + 1;
        client.send(call, [&](const http_result &result) {
            ++results;
            const auto length = headerValue(result.headers, "content-length");
            if (result.outcome == http_outcome::answered && !length.empty() && result.status == 200
                && headerValue(result.headers, "transfer-encoding").empty()) {
                EXPECT_EQ(std::to_string(result.body.size()), std::string(length));
            }
        });
        ASSERT_TRUE(loop.runUntil([&] { return results >= expected; }, testTimeout));
        ASSERT_EQ(results, expected);
    }
}

TEST(WireFuzz, PeerLinksSurviveMutatedFrames)
{
    event_loop loop;
    seeded_random random(20261204);
    raw_hello hello;
    peer_links_settings settings;
    settings.self = host_id{"self"};
    settings.handshakeTimeout = 500ms;
    int messages = 0;
    int ups = 0;
    int downs = 0;
    setLogLevel(log_level::error);
    peer_links links(loop, settings, hello, random,
                     {[&](const host_id &) { ++ups; }, [&](const host_id &) { ++downs; },
                      [&](const host_id &, std::string_view) { ++messages; }});
    const ip_endpoint to = *links.listen({"127.0.0.1", 0});
    for (int i = 0; i < rounds; ++i)
        sendMutated(loop, to, random, [&] { return frames; });
    EXPECT_TRUE(loop.runUntil([&] { return links.peersUp().empty(); }, testTimeout));
    EXPECT_GT(messages, 0);
    EXPECT_EQ(ups, downs);
    setLogLevel(log_level::info);
}
