// Guards against calls that are reported as "not connected" although bytes may have been sent,
// against connections that are wrongly reported as refused, and against responses that are judged
// by another time than that of their arrival.

#include "failure/io_http_exchange.h"

#include <algorithm>
#include <gtest/gtest.h>

using namespace crocuswind;

namespace {

bool allHaveInput(const std::vector<int> &sockets)
{
    return std::all_of(sockets.begin(), sockets.end(), hasUnreadInput);
}

} // namespace

TEST_F(http_test, RefusedConnectionIsNotConnected)
{
    const http_call call = callTo(unusedEndpoint(loop));
    for (int i = 0; i < 3; ++i) {
        const http_result result = exchange(call);
        EXPECT_EQ(result.outcome, http_outcome::not_connected);
        EXPECT_TRUE(result.isRefused);
    }
}

TEST_F(http_test, ConnectionIsRefusedOnlyUntilAProcessListens)
{
    const ip_endpoint to = unusedEndpoint(loop);
    EXPECT_TRUE(exchange(callTo(to)).isRefused);
    http_server late(loop, {}, [](const http_request &, const http_responder &r) { r.answer({}); });
    ASSERT_TRUE(late.listen(to));
    EXPECT_EQ(exchange(callTo(to)).outcome, http_outcome::answered);
}

// A refused connection is taken as a sign that the process at the address has ended, so a
// connection attempt that is not answered must not be reported as refused.
TEST_F(http_test, UnansweredConnectionIsNotRefused)
{
    const full_backlog_listener listener(loop);
    http_client_settings settings;
    settings.connectTimeout = 50ms;
    http_client impatientClient(loop, settings);
    // Sets errno to ECONNREFUSED, which must not be attributed to the next connection.
    EXPECT_TRUE(exchange(callTo(unusedEndpoint(loop))).isRefused);
    std::optional<http_result> result;
    impatientClient.send(callTo(listener.endpoint), [&](const http_result &r) { result = r; });
    EXPECT_TRUE(loop.runUntil([&] { return result.has_value(); }, testTimeout));
    EXPECT_EQ(result->outcome, http_outcome::not_connected);
    EXPECT_FALSE(result->isRefused);
}

TEST_F(http_test, ConnectionClosedDuringACallIsNotRefused)
{
    raw_server raw(
        loop, [](raw_connection &c) { c.send("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"); });
    EXPECT_EQ(exchange(callTo(raw.endpoint)).outcome, http_outcome::answered);
    raw.connections[0]->onBytes = [](raw_connection &c) { c.close(); };
    const http_result result = exchange(callTo(raw.endpoint));
    EXPECT_EQ(result.outcome, http_outcome::no_answer);
    EXPECT_FALSE(result.isRefused);
}

TEST_F(http_test, HostNamesAreNotResolved)
{
    EXPECT_EQ(exchange(callTo({"localhost", 80})).outcome, http_outcome::not_connected);
}

TEST_F(http_test, ConnectionClosedAfterTheRequestIsNoAnswer)
{
    raw_server raw(loop, [](raw_connection &c) { c.close(); });
    EXPECT_EQ(exchange(callTo(raw.endpoint)).outcome, http_outcome::no_answer);
}

TEST_F(http_test, DeadlineWithoutAnswerIsNoAnswer)
{
    raw_server raw(loop, nullptr);
    http_call call = callTo(raw.endpoint);
    call.deadline = loop.now() + 50ms;
    const http_result result = exchange(call);
    EXPECT_NE(result.outcome, http_outcome::answered);
    EXPECT_GE(loop.now(), call.deadline);
    EXPECT_EQ(client.connections(raw.endpoint), 0);
}

// Deadlines that passed while the thread was blocked were evaluated before all sockets were read:
// libevent reports a limited number of sockets in a round, and reads a large response in parts.
// Calls then failed although their responses had arrived in time.
TEST_F(http_test, AnswersThatArriveInTimeWhileTheThreadIsBlockedCount)
{
    constexpr std::size_t callCount = 100;
    const std::string body(20000, 'x');
    const std::string answer = "HTTP/1.1 200 OK\r\nContent-Length: 20000\r\n\r\n" + body;
    manual_listener listener;
    http_client_settings settings;
    settings.maxConnectionsPerEndpoint = int(callCount);
    http_client manyCalls{loop, settings};
    http_call call = callTo(listener.endpoint());
    call.deadline = loop.now() + 500ms;
    std::vector<http_result> results;
    for (std::size_t i = 0; i < callCount; ++i)
        manyCalls.send(call, [&](const http_result &r) { results.push_back(r); });
    std::vector<int> sockets;
    EXPECT_TRUE(loop.runUntil(
        [&] {
            listener.acceptReady(sockets);
            return sockets.size() == callCount && allHaveInput(sockets);
        },
        testTimeout));
    for (const int socket : sockets)
        EXPECT_EQ(send(socket, answer.data(), answer.size(), 0), ssize_t(answer.size()));
    while (loop.now() <= call.deadline) { }
    EXPECT_TRUE(loop.runUntil([&] { return results.size() == callCount; }, testTimeout));
    const auto answered = std::count_if(results.begin(), results.end(), [&](const http_result &r) {
        return r.outcome == http_outcome::answered && r.body == body;
    });
    EXPECT_EQ(answered, int(callCount));
    for (const int socket : sockets)
        close(socket);
}

// Bytes that arrive after the deadline do not complete a response, even if they keep arriving and
// there is unread input in every round.
TEST_F(http_test, AnswerThatIsIncompleteAtTheDeadlineIsNoAnswer)
{
    manual_listener listener;
    http_call call = callTo(listener.endpoint());
    call.deadline = loop.now() + 200ms;
    std::optional<http_result> result;
    client.send(call, [&](const http_result &r) { result = r; });
    std::vector<int> sockets;
    EXPECT_TRUE(loop.runUntil(
        [&] {
            listener.acceptReady(sockets);
            return sockets.size() == 1 && allHaveInput(sockets);
        },
        testTimeout));
    ASSERT_EQ(sockets.size(), 1U);
    const std::string begin = "HTTP/1.1 200 OK\r\nContent-Length: 1000000\r\n\r\n";
    EXPECT_EQ(send(sockets[0], begin.data(), begin.size(), 0), ssize_t(begin.size()));
    while (loop.now() <= call.deadline) { }
    int rounds = 0;
    EXPECT_TRUE(loop.runUntil(
        [&] {
            send(sockets[0], "x", 1, MSG_NOSIGNAL);
            return result.has_value() || ++rounds == 1000;
        },
        testTimeout));
    EXPECT_LT(rounds, 200);
    EXPECT_EQ(result.value_or(http_result()).outcome, http_outcome::no_answer);
    close(sockets[0]);
}
