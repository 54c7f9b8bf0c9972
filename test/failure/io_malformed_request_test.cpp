// Guards against connections that are closed because of their first bytes and affect the next
// connection with the same descriptor, on the port for callers and on the port for peers.

#include "failure/io_raw_peer.h"

#include <algorithm>
#include <cstdio>
#include <fcntl.h>
#include <gtest/gtest.h>

using namespace crocuswind;

namespace {

struct first_request
{
    std::string bytes;
    std::string answer; ///< Part of the answer; empty if the connection is closed without one.
    bool isGood = false;
};

constexpr std::size_t maxBodyBytes = 1000;

first_request goodRequest(int)
{
    return {"GET /good HTTP/1.1\r\nHost: x\r\n\r\n", "HTTP/1.1 200 ", true};
}

const std::vector<first_request> badRequests = {
    {"these bytes are no request\r\n\r\n", "HTTP/1.1 400 "},
    {"GET /x HTTP/1.1\r\nno colon\r\n\r\n", "HTTP/1.1 400 "},
    {"HEAD / HTTP/1.1\r\nHost: x\r\n\r\n", "HTTP/1.1 501 "},
    {"OPTIONS / HTTP/1.1\r\nHost: x\r\n\r\n", "HTTP/1.1 501 "},
    {"POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 1001\r\n\r\n", "HTTP/1.1 413 "},
    // A client that is still sending may see a reset in place of the answer.
    {"POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 20000\r\n\r\n" + std::string(20000, 'x'), ""},
    {"POST / HTTP/1.1\r\nHost: x\r\nExpect: 100-continue\r\nContent-Length: 20000\r\n\r\n", ""},
    {"GET / HTTP/1.1\r\nx-large: " + std::string(20000, 'x') + "\r\n\r\n", ""},
    {std::string(20000, 'x'), ""},
    {"GET /other HTTP/1.1\r\nHost: x\r\n\r\nno second request\r\n\r\n", ""},
};

const std::string upgrade = "GET /v1/peer HTTP/1.1\r\nHost: x\r\nUpgrade: websocket\r\n"
                            "Connection: Upgrade\r\nSec-WebSocket-Version: 13\r\n"
                            "Sec-WebSocket-Key: dGhlIHNhbXBsZSBub25jZQ==\r\n\r\n";

// Returns a masked binary frame; the mask of zeros leaves the bytes unchanged.
std::string frameOf(const std::string &bytes)
{
    return std::string("\x82") + char(0x80 | bytes.size()) + std::string(4, '\0') + bytes;
}

// Each peer has its own name, since a further link of a peer replaces the former one.
first_request goodHandshake(int index)
{
    return {upgrade + frameOf("hello " + std::to_string(index)), "hello links", true};
}

const std::vector<first_request> badHandshakes = {
    {"these bytes are no request\r\n\r\n", ""},
    {"HEAD / HTTP/1.1\r\nHost: x\r\n\r\n", ""},
    {"GET / HTTP/1.1\r\nHost: x\r\n\r\n", ""},
    {"POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 20000\r\n\r\n" + std::string(20000, 'x'), ""},
    {std::string(200000, 'x'), ""},
    {upgrade + frameOf("no hello"), ""},
    {upgrade + "\x82\xff\x7f\xff\xff\xff\xff\xff\xff\xff" + "mask", ""},
    {upgrade + "\xff\xff\xff\xff\xff\xff", ""},
};

using good_request = first_request (*)(int index);

struct client
{
    client(event_loop &loop, const ip_endpoint &to, first_request r)
        : request(std::move(r))
        , started(loop.now())
        , connection(loop, to)
    {
        connection.send(request.bytes);
    }
    ~client() { connection.reset(); }

    bool isAnswered() const
    {
        return connection.received.find(request.answer) != std::string::npos;
    }

    // Good clients close their connection themselves; it is the server that closes those of others.
    bool isFinished() const { return connection.isClosed || (request.isGood && isAnswered()); }

    first_request request;
    instant started;
    raw_connection connection;
};

// Returns the descriptors that the loop watches although they are closed. A connection that gets
// such a descriptor would not be watched, since the loop takes the descriptor for known.
std::vector<int> closedButWatched(event_loop &loop)
{
    std::vector<int> found;
    event_base_foreach_event(
        loop.base(),
        [](const event_base *, const event *e, void *closed) {
            const int socket = event_get_fd(e);
            if ((event_get_events(e) & (EV_READ | EV_WRITE)) != 0 && socket >= 0
                && fcntl(socket, F_GETFD) < 0)
                static_cast<std::vector<int> *>(closed)->push_back(socket);
            return 0;
        },
        &found);
    return found;
}

struct http_port : testing::TestWithParam<std::uint64_t>
{
    http_port()
    {
        http_server_settings settings;
        settings.maxBodyBytes = maxBodyBytes;
        server = std::make_unique<http_server>(
            loop, settings, [this](const http_request &request, const http_responder &responder) {
                handled += request.path == "/good" ? 1 : 0;
                responder.answer({200, "text/plain", {}, "answer"});
            });
        to = *server->listen({"127.0.0.1", 0});
    }

    event_loop loop;
    std::unique_ptr<http_server> server;
    ip_endpoint to;
    int handled = 0;
};

struct text_hello final : peer_hello_codec
{
    std::string helloFrame() override { return "hello links"; }
    std::optional<host_id> parseHello(std::string_view frame) override
    {
        if (frame.substr(0, 6) != "hello ")
            return std::nullopt;
        return host_id{std::string(frame.substr(6))};
    }
};

struct peer_port : testing::TestWithParam<std::uint64_t>
{
    peer_port()
    {
        setLogLevel(log_level::error);
        peer_links_settings settings;
        settings.self = host_id{"links"};
        links = std::make_unique<peer_links>(
            loop, settings, hello, random,
            peer_links_callbacks{[this](const host_id &) { ++ups; },
                                 [this](const host_id &) { ++downs; },
                                 [](const host_id &, std::string_view) {}});
        to = *links->listen({"127.0.0.1", 0});
    }
    ~peer_port() override { setLogLevel(log_level::info); }

    event_loop loop;
    text_hello hello;
    seeded_random random{1};
    std::unique_ptr<peer_links> links;
    ip_endpoint to;
    int ups = 0;
    int downs = 0;
};

void expectAnswer(event_loop &loop, const ip_endpoint &to, const first_request &request)
{
    client c(loop, to, request);
    EXPECT_TRUE(loop.runUntil([&] { return c.isFinished(); }, testTimeout))
        << request.bytes.substr(0, 80);
    EXPECT_TRUE(c.isAnswered()) << request.bytes.substr(0, 80) << "\n" << c.connection.received;
}

// Both sides close the connection of a bad request, so that the next one gets the same descriptors.
void expectIndependent(event_loop &loop, const ip_endpoint &to, good_request good,
                       const std::vector<first_request> &bad)
{
    for (const first_request &request : bad) {
        ASSERT_NO_FATAL_FAILURE(expectAnswer(loop, to, request));
        ASSERT_EQ(closedButWatched(loop), std::vector<int>()) << request.bytes.substr(0, 80);
        ASSERT_NO_FATAL_FAILURE(expectAnswer(loop, to, good(0)));
    }
}

// Sends 2,500 first requests, about half of them bad, on 16 connections at a time. Returns the
// number of good ones.
int expectGoodOnesAnswered(event_loop &loop, const ip_endpoint &to, good_request good,
                           const std::vector<first_request> &bad, std::uint64_t seed)
{
    constexpr int total = 2500;
    constexpr std::size_t atOnce = 16;
    seeded_random random(seed);
    std::vector<std::unique_ptr<client>> clients;
    int sent = 0;
    int goodOnes = 0;
    int unanswered = 0;
    int wrong = 0; // Bad ones that were not closed, or not after their answer.
    duration longest = duration::zero();
    while (sent < total || !clients.empty()) {
        for (; sent < total && clients.size() < atOnce; ++sent) {
            const first_request next
                = random.below(2) == 0 ? good(sent) : bad[random.below(bad.size())];
            goodOnes += next.isGood ? 1 : 0;
            clients.push_back(std::make_unique<client>(loop, to, next));
        }
        const auto isFinished = [](const auto &c) { return c->isFinished(); };
        if (!loop.runUntil([&] { return std::any_of(clients.begin(), clients.end(), isFinished); },
                           testTimeout))
            break;
        const auto finished = std::partition(clients.begin(), clients.end(),
                                             [&](const auto &c) { return !isFinished(c); });
        for (auto i = finished; i != clients.end(); ++i) {
            const client &c = **i;
            if (!c.isAnswered())
                ++(c.request.isGood ? unanswered : wrong);
            else if (c.request.isGood)
                longest = std::max(longest, loop.now() - c.started);
        }
        clients.erase(finished, clients.end());
    }
    for (const auto &c : clients)
        ++(c->request.isGood ? unanswered : wrong);
    std::printf("seed %d: %d requests, %d good, %d of them unanswered, %d bad ones not closed or "
                "without their answer, longest time of a good one %.1f ms\n",
                int(seed), sent, goodOnes, unanswered, wrong,
                std::chrono::duration<double, std::milli>(longest).count());
    EXPECT_EQ(sent, total);
    EXPECT_EQ(unanswered, 0);
    EXPECT_EQ(wrong, 0);
    return goodOnes;
}

} // namespace

TEST_F(http_port, ConnectionsAfterABadOneAreServed)
{
    expectIndependent(loop, to, goodRequest, badRequests);
}

TEST_P(http_port, GoodRequestsAmongBadOnesAreAnswered)
{
    const int good = expectGoodOnesAnswered(loop, to, goodRequest, badRequests, GetParam());
    EXPECT_EQ(handled, good);
    EXPECT_TRUE(loop.runUntil([&] { return server->openConnections() == 0; }, testTimeout));
    EXPECT_TRUE(server->isIdle());
}

// A server that only removes closed connections in its sweep, once a second, would reach the limit.
TEST_F(http_port, ConnectionsThatTheLibraryHasClosedAreRemovedAtOnce)
{
    for (const first_request &request : badRequests) {
        client c(loop, to, request);
        EXPECT_TRUE(loop.runUntil([&] { return c.isFinished(); }, testTimeout));
        loop.runUntil([] { return true; }, testTimeout);
        EXPECT_EQ(server->openConnections(), 0U) << request.bytes.substr(0, 80);
    }
}

TEST_F(peer_port, ConnectionsAfterABadOneAreServed)
{
    expectIndependent(loop, to, goodHandshake, badHandshakes);
}

TEST_P(peer_port, GoodHandshakesAmongBadOnesAreAnswered)
{
    expectGoodOnesAnswered(loop, to, goodHandshake, badHandshakes, GetParam());
    EXPECT_TRUE(loop.runUntil([&] { return links->peersUp().empty(); }, testTimeout));
    EXPECT_EQ(ups, downs);
}

INSTANTIATE_TEST_SUITE_P(Seeds, http_port, testing::Values(1, 2, 3, 4));
INSTANTIATE_TEST_SUITE_P(Seeds, peer_port, testing::Values(1, 2, 3, 4));
