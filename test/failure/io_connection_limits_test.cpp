// Guards against peers that make the process hold memory without a bound: clients that send ahead
// without reading, that begin requests and never end them, or that hold all connections, and
// servers whose answers never end.

#include "failure/io_http_exchange.h"

#include <gtest/gtest.h>
#include <vector>

using namespace crocuswind;

namespace {

constexpr std::size_t kilobyte = 1024;

struct connection_limits_test : http_test
{
    connection_limits_test()
    {
        settings.maxBodyBytes = 256 * kilobyte;
        settings.limits.largeRequestBytes = 0; // Raised to the largest request.
        settings.limits.maxHeldBytes = 0;
    }

    void serveAnswers(const std::string &body)
    {
        to = serve(
            [body](const http_request &request, const http_responder &responder) {
                const bool isSmall = request.path == "/small";
                responder.answer({200, "text/plain", {}, isSmall ? "done" : body});
            },
            settings);
    }

    /// Runs one round of the loop without waiting for events.
    void runRound()
    {
        loop.post([] {});
        int checks = 0;
        loop.runUntil([&] { return ++checks > 1; }, testTimeout);
    }

    /// Runs so many rounds of the loop, and returns the most bytes that the server held.
    std::size_t mostHeldBytes(int rounds)
    {
        std::size_t most = 0;
        for (int i = 0; i < rounds; ++i) {
            runRound();
            most = std::max(most, server->heldBytes());
        }
        return most;
    }

    /// Sends \p bytes on a connection that reads what arrives, and returns the most bytes that the
    /// server held meanwhile.
    std::size_t mostHeldFor(const std::string &bytes)
    {
        raw_connection sender(loop, to);
        sender.send(bytes);
        return mostHeldBytes(300);
    }

    http_server_settings settings;
    ip_endpoint to;
};

/// A connection that sends and does not read.
struct deaf_client
{
    explicit deaf_client(const ip_endpoint &to)
        : socket(::socket(AF_INET, SOCK_STREAM, 0))
    {
        const int bufferBytes = 4096;
        setsockopt(socket, SOL_SOCKET, SO_RCVBUF, &bufferBytes, sizeof(bufferBytes));
        sockaddr_in address = {};
        address.sin_family = AF_INET;
        address.sin_port = htons(to.port);
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        EXPECT_EQ(connect(socket, reinterpret_cast<sockaddr *>(&address), sizeof(address)), 0);
    }
    ~deaf_client() { close(socket); }
    deaf_client(const deaf_client &) = delete;
    deaf_client &operator=(const deaf_client &) = delete;

    bool send(const std::string &bytes) const
    {
        return ::send(socket, bytes.data(), bytes.size(), MSG_DONTWAIT | MSG_NOSIGNAL) > 0;
    }

    int socket;
};

std::string repeated(const std::string &text, std::size_t count)
{
    std::string all;
    for (std::size_t i = 0; i < count; ++i)
        all += text;
    return all;
}

} // namespace

TEST_F(connection_limits_test, ReadingPausesUntilAnswersAreTaken)
{
    serveAnswers(std::string(100 * kilobyte, 'x'));
    const std::string requests = repeated("GET / HTTP/1.1\r\nHost: x\r\n\r\n", 10000);
    const deaf_client client(to);
    std::size_t most = 0;
    for (int i = 0; i < 200; ++i) {
        client.send(requests);
        most = std::max(most, mostHeldBytes(1));
    }
    // One answer, what is read ahead, and the header of one request.
    EXPECT_LT(most, 200 * kilobyte);
    EXPECT_EQ(server->connectionCounters().paused, 1U);
    EXPECT_EQ(exchange(callTo(to)).status, 200);
}

// The client takes its answers after the server has paused.
TEST_F(connection_limits_test, PausedConnectionsAreServedToTheEnd)
{
    serveAnswers(std::string(10 * kilobyte, 'x'));
    constexpr std::size_t requests = 5000;
    raw_connection client(loop, to);
    std::size_t received = 0;
    client.onBytes = [&](raw_connection &c) { received += std::exchange(c.received, {}).size(); };
    client.send(repeated("GET / HTTP/1.1\r\nHost: x\r\n\r\n", requests));
    EXPECT_TRUE(loop.runUntil([&] { return received >= requests * 10 * kilobyte; }, testTimeout));
    EXPECT_FALSE(client.isClosed);
}

TEST_F(connection_limits_test, LargestRequestsAreServed)
{
    serveAnswers("done");
    for (int i = 0; i < 3; ++i)
        EXPECT_EQ(exchange(callTo(to, std::string(settings.maxBodyBytes, 'x'))).status, 200);
    // Behind other requests on the same connection.
    raw_connection client(loop, to);
    const std::string small = "GET / HTTP/1.1\r\nHost: x\r\n\r\n";
    client.send(repeated(small, 2000)
                + "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 200000\r\n\r\n"
                + std::string(200000, 'x'));
    const auto answers = [&] {
        std::size_t count = 0;
        for (auto at = client.received.find("done"); at != std::string::npos;
             at = client.received.find("done", at + 1))
            ++count;
        return count;
    };
    EXPECT_TRUE(loop.runUntil([&] { return answers() == 2001; }, testTimeout));
}

TEST_F(connection_limits_test, RequestsWithoutAnEndAreBounded)
{
    serveAnswers("done");
    const std::size_t bound = 2 * (settings.maxBodyBytes + 32 * kilobyte) + 16 * kilobyte * 28;
    const std::string post = "POST / HTTP/1.1\r\nHost: x\r\n";
    const std::string chunked = post + "Transfer-Encoding: chunked\r\n\r\n";
    EXPECT_LT(mostHeldFor("GET /" + std::string(8192 * kilobyte, 'x')), bound);
    EXPECT_LT(mostHeldFor(post + repeated("a: b\r\n", 1024 * kilobyte)), bound);
    EXPECT_LT(mostHeldFor(chunked + std::string(8192 * kilobyte, '1')), bound);
    EXPECT_LT(mostHeldFor(chunked + repeated("1000\r\n" + std::string(4096, 'x') + "\r\n", 2048)),
              bound);
    EXPECT_LT(mostHeldFor(post + "Content-Length: 262144\r\n\r\n" + std::string(200000, 'x')),
              bound);
    EXPECT_EQ(exchange(callTo(to)).status, 200);
}

// Large answers that nobody reads: together they exceed the bound, and the heaviest go.
TEST_F(connection_limits_test, AllConnectionsTogetherAreBounded)
{
    settings.limits.maxHeldBytes = 16384 * kilobyte;
    serveAnswers(std::string(8192 * kilobyte, 'x'));
    std::vector<std::unique_ptr<deaf_client>> clients;
    std::size_t most = 0;
    for (int i = 0; i < 8; ++i) {
        clients.push_back(std::make_unique<deaf_client>(to));
        clients.back()->send("GET / HTTP/1.1\r\nHost: x\r\n\r\n");
        most = std::max(most, mostHeldBytes(50));
    }
    EXPECT_LT(most, (16384 + 8192) * kilobyte);
    EXPECT_GT(server->connectionCounters().closedForMemory, 0U);
    http_call call = callTo(to);
    call.path = "/small";
    EXPECT_EQ(exchange(call).status, 200);
}

TEST_F(connection_limits_test, IdleConnectionsMakeWayForOthers)
{
    settings.limits.maxConnections = 4;
    settings.limits.minimumStay = 10ms;
    serveAnswers("done");
    std::vector<std::unique_ptr<raw_connection>> idle;
    for (int i = 0; i < 12; ++i) {
        idle.push_back(std::make_unique<raw_connection>(loop, to));
        idle.back()->send("GET / HTTP/1.1\r\nHo");
    }
    EXPECT_EQ(exchange(callTo(to)).status, 200);
    EXPECT_GT(server->connectionCounters().closedForOthers, 0U);
    EXPECT_LE(server->openConnections(), 4U);
}

// A client that takes nothing is cut off although its connection is not read any more.
TEST_F(connection_limits_test, ClientsThatTakeNothingAreCutOff)
{
    settings.idleTimeout = 200ms;
    settings.limits.maxHeldBytes = 65536 * kilobyte;
    serveAnswers(std::string(8192 * kilobyte, 'x'));
    const deaf_client client(to);
    for (int i = 0; i < 50; ++i) {
        client.send(repeated("GET / HTTP/1.1\r\nHost: x\r\n\r\n", 10000));
        mostHeldBytes(1);
    }
    EXPECT_TRUE(loop.runUntil([&] { return server->openConnections() == 0; }, testTimeout));
    EXPECT_EQ(server->connectionCounters().closedUnread, 1U);
    EXPECT_EQ(server->heldBytes(), 0U);
}

// A worker or a store whose answer has a chunk size without an end.
TEST_F(connection_limits_test, AnswersWithoutAnEndAreBounded)
{
    const manual_listener listener;
    http_call call;
    call.to = listener.endpoint();
    call.deadline = loop.now() + testTimeout;
    const http_call_id id = client.send(call, [](const http_result &) {});
    std::vector<int> sockets;
    ASSERT_TRUE(loop.runUntil(
        [&] {
            listener.acceptReady(sockets);
            return !sockets.empty() && hasUnreadInput(sockets.front());
        },
        testTimeout));
    const std::string header = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    ASSERT_EQ(write(sockets.front(), header.data(), header.size()), ssize_t(header.size()));
    // What the buffers of both sockets hold is not bounded here.
    constexpr std::size_t limit = 64 * 1024 * kilobyte;
    const std::string piece(256 * kilobyte, '1');
    std::size_t taken = 0;
    for (int i = 0; i < 1000 && taken < 2 * limit; ++i) {
        const ssize_t count
            = ::send(sockets.front(), piece.data(), piece.size(), MSG_DONTWAIT | MSG_NOSIGNAL);
        taken += std::size_t(std::max<ssize_t>(count, 0));
        runRound();
    }
    EXPECT_LT(taken, limit);
    client.cancel(id);
    close(sockets.front());
}
