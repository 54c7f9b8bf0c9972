// Guards against two links in use for one pair of hosts, against hosts that do not reconnect after
// one of them restarted, and against peers that exceed the limits or do not send a valid hello.

#include "failure/io_raw_peer.h"

#include <gtest/gtest.h>

using namespace crocuswind;

namespace {

// Encodes a hello as "hello NAME".
struct text_hello final : peer_hello_codec
{
    explicit text_hello(std::string n)
        : name(std::move(n))
    { }
    std::string helloFrame() override { return "hello " + name; }
    std::optional<host_id> parseHello(std::string_view frame) override
    {
        if (frame.substr(0, 6) != "hello ")
            return std::nullopt;
        return host_id{std::string(frame.substr(6))};
    }
    std::string name;
};

struct test_host
{
    test_host(event_loop &loop, const std::string &name, std::uint64_t seed,
              peer_links_settings settings = {})
        : hello(name)
        , random(seed)
    {
        settings.self = host_id{name};
        settings.minRetryDelay = 1ms;
        settings.maxRetryDelay = 10ms;
        peer_links_callbacks callbacks;
        callbacks.up = [this](const host_id &peer) { events.push_back("up " + peer.value); };
        callbacks.down = [this](const host_id &peer) { events.push_back("down " + peer.value); };
        callbacks.message = [this](const host_id &peer, std::string_view frame) {
            received.emplace_back(peer.value + ": " + std::string(frame));
        };
        links = std::make_unique<peer_links>(loop, settings, hello, random, std::move(callbacks));
    }

    ip_endpoint listen(const ip_endpoint &where = {"127.0.0.1", 0})
    {
        const auto endpoint = links->listen(where);
        EXPECT_TRUE(endpoint) << endpoint.error();
        return *endpoint;
    }

    void dial(const std::string &name, const ip_endpoint &endpoint)
    {
        links->setPeers({{host_id{name}, endpoint}});
    }

    text_hello hello;
    seeded_random random;
    std::vector<std::string> events;
    std::vector<std::string> received;
    std::unique_ptr<peer_links> links;
};

struct peer_links_test : testing::Test
{
    void connect(test_host &a, test_host &b)
    {
        a.dial(b.hello.name, b.listen());
        ASSERT_TRUE(loop.runUntil([&] { return areUp(a, b); }, testTimeout));
    }

    static bool areUp(const test_host &a, const test_host &b)
    {
        return a.links->isUp(host_id{b.hello.name}) && b.links->isUp(host_id{a.hello.name});
    }

    // Sends a frame each way and waits for both.
    void exchange(test_host &a, test_host &b)
    {
        const std::size_t beforeA = a.received.size();
        const std::size_t beforeB = b.received.size();
        EXPECT_EQ(a.links->send(host_id{b.hello.name}, "ping"), peer_send_result::queued);
        EXPECT_EQ(b.links->send(host_id{a.hello.name}, "pong"), peer_send_result::queued);
        EXPECT_TRUE(loop.runUntil(
            [&] { return a.received.size() > beforeA && b.received.size() > beforeB; },
            testTimeout));
        EXPECT_EQ(a.received.back(), b.hello.name + ": pong");
        EXPECT_EQ(b.received.back(), a.hello.name + ": ping");
    }

    event_loop loop;
    test_host a{loop, "a", 1};
    test_host b{loop, "b", 2};
};

const std::string upgrade = "GET /v1/peer HTTP/1.1\r\nHost: x\r\nUpgrade: websocket\r\n"
                            "Connection: Upgrade\r\nSec-WebSocket-Version: 13\r\n"
                            "Sec-WebSocket-Key: dGhlIHNhbXBsZSBub25jZQ==\r\n\r\n";

// Returns a masked binary frame; the mask of zeros leaves the bytes unchanged.
std::string frameOf(const std::string &bytes)
{
    return std::string("\x82") + char(0x80 | bytes.size()) + std::string(4, '\0') + bytes;
}

} // namespace

TEST_F(peer_links_test, ExchangesFramesOfAllSizes)
{
    connect(a, b);
    exchange(a, b);
    const std::string large(1024 * 1024, '\xff');
    EXPECT_EQ(a.links->send(host_id{"b"}, large), peer_send_result::queued);
    EXPECT_EQ(a.links->send(host_id{"b"}, ""), peer_send_result::queued);
    EXPECT_TRUE(loop.runUntil([&] { return b.received.size() == 3; }, testTimeout));
    EXPECT_EQ(b.received[1], "a: " + large);
    EXPECT_EQ(b.received[2], "a: ");
    EXPECT_EQ(a.links->send(host_id{"b"}, large + "x"), peer_send_result::too_large);
    EXPECT_EQ(a.links->send(host_id{"c"}, "x"), peer_send_result::no_link);
    EXPECT_EQ(a.links->peersUp(), std::vector<host_id>{host_id{"b"}});
}

TEST_F(peer_links_test, SimultaneousDialKeepsOneLink)
{
    const ip_endpoint toA = a.listen();
    const ip_endpoint toB = b.listen();
    a.dial("b", toB);
    b.dial("a", toA);
    ASSERT_TRUE(loop.runUntil([&] { return areUp(a, b); }, testTimeout));
    exchange(a, b);
    // The link that is not kept is closed after a second, which must not be reported.
    bool hasElapsed = false;
    loop.callAt(loop.now() + 1500ms, [&] { hasElapsed = true; });
    EXPECT_TRUE(loop.runUntil([&] { return hasElapsed; }, testTimeout));
    exchange(a, b);
    EXPECT_EQ(a.events, std::vector<std::string>{"up b"});
    EXPECT_EQ(b.events, std::vector<std::string>{"up a"});
}

TEST_F(peer_links_test, ReconnectsToARestartedPeer)
{
    const ip_endpoint toB = b.listen();
    a.dial("b", toB);
    ASSERT_TRUE(loop.runUntil([&] { return areUp(a, b); }, testTimeout));
    b.links.reset();
    ASSERT_TRUE(loop.runUntil([&] { return a.events.size() == 2; }, testTimeout));
    test_host again(loop, "b", 3);
    again.listen(toB);
    ASSERT_TRUE(loop.runUntil([&] { return areUp(a, again); }, testTimeout));
    exchange(a, again);
    EXPECT_EQ(a.events, (std::vector<std::string>{"up b", "down b", "up b"}));
}

TEST_F(peer_links_test, NewIncarnationOfAPeerReplacesItsOldLink)
{
    // The link of the old process of "b" stays open without traffic; the new process dials.
    const ip_endpoint toA = a.listen();
    a.dial("b", b.listen());
    ASSERT_TRUE(loop.runUntil([&] { return areUp(a, b); }, testTimeout));
    test_host again(loop, "b", 3);
    again.dial("a", toA);
    ASSERT_TRUE(loop.runUntil([&] { return a.events.size() == 3; }, testTimeout));
    EXPECT_EQ(a.events, (std::vector<std::string>{"up b", "down b", "up b"}));
    ASSERT_TRUE(loop.runUntil([&] { return areUp(a, again); }, testTimeout));
    exchange(a, again);
}

TEST_F(peer_links_test, RetriesDiallingUntilThePeerListens)
{
    const ip_endpoint toB = unusedEndpoint(loop);
    a.dial("b", toB);
    bool hasElapsed = false;
    loop.callAt(loop.now() + 50ms, [&] { hasElapsed = true; });
    EXPECT_TRUE(loop.runUntil([&] { return hasElapsed; }, testTimeout));
    EXPECT_TRUE(a.events.empty());
    b.listen(toB);
    EXPECT_TRUE(loop.runUntil([&] { return areUp(a, b); }, testTimeout));
}

TEST_F(peer_links_test, StopsDiallingAPeerThatIsRemovedFromTheSet)
{
    connect(a, b);
    a.links->setPeers({});
    exchange(a, b);
    b.links.reset();
    EXPECT_TRUE(loop.runUntil([&] { return a.events.size() == 2; }, testTimeout));
    EXPECT_EQ(a.events.back(), "down b");
    EXPECT_TRUE(a.links->peersUp().empty());
}

TEST_F(peer_links_test, PeerWithAnUnexpectedNameIsNotConnected)
{
    int hellos = 0;
    struct counting_hello final : peer_hello_codec
    {
        explicit counting_hello(int &c)
            : count(c)
        { }
        std::string helloFrame() override
        {
            ++count;
            return "hello impostor";
        }
        std::optional<host_id> parseHello(std::string_view) override { return host_id{"a"}; }
        int &count;
    } impostor(hellos);
    seeded_random random(4);
    peer_links_settings settings;
    settings.self = host_id{"impostor"};
    peer_links other(
        loop, settings, impostor, random,
        {[](const host_id &) {}, [](const host_id &) {}, [](const host_id &, std::string_view) {}});
    a.dial("b", *other.listen({"127.0.0.1", 0}));
    EXPECT_TRUE(loop.runUntil([&] { return hellos >= 3; }, testTimeout));
    EXPECT_TRUE(a.events.empty());
}

TEST_F(peer_links_test, QueueIsBoundedAndDropsAreCounted)
{
    peer_links_settings settings;
    settings.maxQueuedBytes = 100000;
    test_host sender(loop, "s", 5, settings);
    connect(sender, b);
    // Nothing is written until the loop runs, so the queue fills up.
    const std::string frame(30000, 'x');
    int queued = 0;
    while (sender.links->send(host_id{"b"}, frame) == peer_send_result::queued)
        ++queued;
    EXPECT_EQ(queued, 3);
    EXPECT_EQ(sender.links->send(host_id{"b"}, frame), peer_send_result::full);
    EXPECT_EQ(sender.links->droppedFrames(), 2U);
    EXPECT_TRUE(loop.runUntil([&] { return b.received.size() == 3; }, testTimeout));
    EXPECT_EQ(sender.links->send(host_id{"b"}, frame), peer_send_result::queued);
}

TEST_F(peer_links_test, OversizedFrameClosesTheLink)
{
    peer_links_settings settings;
    settings.maxFrameBytes = 1000;
    test_host small(loop, "s", 6, settings);
    connect(a, small);
    EXPECT_EQ(a.links->send(host_id{"s"}, std::string(1000, 'x')), peer_send_result::queued);
    EXPECT_EQ(a.links->send(host_id{"s"}, std::string(1001, 'x')), peer_send_result::queued);
    EXPECT_TRUE(loop.runUntil([&] { return small.events.size() >= 2; }, testTimeout));
    EXPECT_EQ(small.events[1], "down a");
    EXPECT_EQ(small.received.size(), 1U);
}

TEST_F(peer_links_test, ClosesConnectionsThatAreNotPeers)
{
    peer_links_settings settings;
    settings.handshakeTimeout = 100ms;
    test_host strict(loop, "s", 7, settings);
    const ip_endpoint to = strict.listen();
    const std::string openings[] = {
        "",
        "GET / HTTP/1.1\r\nHost: x\r\n\r\n",
        "GET /other " + upgrade.substr(upgrade.find("HTTP/1.1")),
        std::string(100000, 'x'),
        "GET /v1/peer HTTP/1.1\r\nx: " + std::string(100000, 'x'),
        upgrade,
        upgrade + frameOf("not a hello"),
        upgrade + frameOf("hello s"),
        upgrade + "\x81\x80\x01\x02\x03\x04",
        upgrade + std::string("\x82\xff\x7f\xff\xff\xff\xff\xff\xff\xff\0\0\0\0", 14),
    };
    for (const std::string &opening : openings) {
        raw_connection raw(loop, to);
        raw.send(opening);
        EXPECT_TRUE(loop.runUntil([&] { return raw.isClosed; }, testTimeout))
            << opening.substr(0, 99);
    }
    EXPECT_TRUE(strict.events.empty());
    raw_connection peer(loop, to);
    peer.send(upgrade + frameOf("hello raw") + frameOf("frame"));
    EXPECT_TRUE(loop.runUntil([&] { return strict.received.size() == 1; }, testTimeout));
    EXPECT_EQ(strict.received[0], "raw: frame");
}

TEST_F(peer_links_test, SilentPeerIsReportedDown)
{
    peer_links_settings settings;
    settings.pingInterval = 10ms;
    settings.receiveTimeout = 50ms;
    test_host host(loop, "s", 8, settings);
    raw_connection peer(loop, host.listen());
    peer.send(upgrade + frameOf("hello raw"));
    EXPECT_TRUE(loop.runUntil([&] { return host.events.size() == 2; }, testTimeout));
    EXPECT_EQ(host.events, (std::vector<std::string>{"up raw", "down raw"}));
}

TEST_F(peer_links_test, AcceptedLinksAreBounded)
{
    peer_links_settings settings;
    settings.maxAcceptedLinks = 2;
    test_host small(loop, "s", 9, settings);
    const ip_endpoint to = small.listen();
    raw_connection first(loop, to);
    raw_connection second(loop, to);
    first.send(upgrade);
    second.send(upgrade);
    EXPECT_TRUE(loop.runUntil([&] { return !first.received.empty() && !second.received.empty(); },
                              testTimeout));
    raw_connection third(loop, to);
    EXPECT_TRUE(loop.runUntil([&] { return third.isClosed; }, testTimeout));
    EXPECT_FALSE(first.isClosed || second.isClosed);
}

TEST_F(peer_links_test, PortInUseIsReportedWithTheEndpoint)
{
    const ip_endpoint used = b.listen();
    const auto listening = a.links->listen(used);
    ASSERT_FALSE(listening);
    EXPECT_NE(listening.error().find(toString(used)), std::string::npos);
}
