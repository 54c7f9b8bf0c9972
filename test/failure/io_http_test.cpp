// Guards against truncated, stale or oversized responses that are accepted as complete, against
// calls beyond the limits of an endpoint, and against reports of cancelled calls.

#include "failure/io_http_exchange.h"

#include <gtest/gtest.h>

using namespace crocuswind;

TEST_F(http_test, RequestAndResponseArriveComplete)
{
    http_request seen;
    const ip_endpoint to = serve([&](http_request request, const http_responder &responder) {
        seen = std::move(request);
        responder.answer({201, "text/plain", {{"x-a", "b"}}, "pong"});
    });
    http_call call = callTo(to);
    call.headers = {{"traceparent", "t"}};
    const http_result result = exchange(call);
    EXPECT_EQ(result.outcome, http_outcome::answered);
    EXPECT_EQ(result.status, 201);
    EXPECT_EQ(result.body, "pong");
    EXPECT_EQ(headerValue(result.headers, "x-a"), "b");
    EXPECT_EQ(seen.method, "POST");
    EXPECT_EQ(seen.path, "/run");
    EXPECT_EQ(seen.query, "x=1");
    EXPECT_EQ(seen.body, "ping");
    EXPECT_EQ(headerValue(seen.headers, "traceparent"), "t");
    EXPECT_EQ(seen.peerAddress, "127.0.0.1");
    EXPECT_EQ(server->openRequests(), 0U);
    EXPECT_EQ(client.connections(to), 1);
}

TEST_F(http_test, LargeBodiesArriveComplete)
{
    const std::string large(1024 * 1024, 'x');
    const ip_endpoint to = serve([&](const http_request &request, const http_responder &responder) {
        responder.answer({200, "text/plain", {}, request.body});
    });
    EXPECT_EQ(exchange(callTo(to, large)).body, large);
}

TEST_F(http_test, ConnectionsAreReused)
{
    const ip_endpoint to
        = serve([](const http_request &, const http_responder &r) { r.answer({}); });
    for (int i = 0; i < 5; ++i)
        EXPECT_EQ(exchange(callTo(to)).outcome, http_outcome::answered);
    EXPECT_EQ(server->openConnections(), 1U);
}

TEST_F(http_test, TruncatedAnswersAreNoAnswer)
{
    EXPECT_EQ(answerWith("HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\npong").outcome,
              http_outcome::answered);
    const std::string chunked = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    EXPECT_EQ(answerWith(chunked + "4\r\npong\r\n0\r\n\r\n").body, "pong");
    for (const std::string &bytes :
         {std::string("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\npong"),
          std::string("HTTP/1.1 200 OK\r\n\r\npong"), std::string("HTTP/1.1 200 OK\r\n"),
          std::string("HTTP/1.1 200 OK\r\nContent-Length: 5"), std::string(), chunked,
          chunked + "4\r\npong\r\n", chunked + "4\r\npo", chunked + "4\r\npong\r\n0\r\n",
          std::string("HTTP/1.1 200 OK\r\nContent-Length: x\r\n\r\npong"),
          std::string("nonsense\r\n\r\n")})
        EXPECT_EQ(answerWith(bytes).outcome, http_outcome::no_answer) << bytes;
}

TEST_F(http_test, AnAnswerWithoutLengthIsNoAnswer)
{
    // The body ends with the connection, so a truncated body cannot be detected.
    EXPECT_EQ(answerWith("HTTP/1.0 200 OK\r\nConnection: close\r\n\r\npong").outcome,
              http_outcome::no_answer);
}

TEST_F(http_test, ConnectionClosedWhileIdleIsNotReused)
{
    raw_server raw(
        loop, [](raw_connection &c) { c.send("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"); });
    EXPECT_EQ(exchange(callTo(raw.endpoint)).outcome, http_outcome::answered);
    raw.connections[0]->close();
    EXPECT_TRUE(loop.runUntil([&] { return client.connections(raw.endpoint) == 0; }, testTimeout));
    EXPECT_EQ(exchange(callTo(raw.endpoint)).outcome, http_outcome::answered);
    EXPECT_EQ(raw.connections.size(), 2U);
}

TEST_F(http_test, UnreadBytesAreNotTakenAsTheNextAnswer)
{
    const std::string first = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nfirst";
    const std::string stale = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nstale";
    raw_server raw(loop, [&](raw_connection &c) { c.send(first + stale); });
    EXPECT_EQ(exchange(callTo(raw.endpoint)).body, "first");
    EXPECT_EQ(exchange(callTo(raw.endpoint)).body, "first");
    EXPECT_EQ(raw.connections.size(), 2U);
}

TEST_F(http_test, ConnectionsAndQueueOfAnEndpointAreBounded)
{
    std::vector<http_responder> held;
    const ip_endpoint to = serve(
        [&](const http_request &, const http_responder &responder) { held.push_back(responder); });
    http_client small(loop, [] {
        http_client_settings s;
        s.maxConnectionsPerEndpoint = 2;
        s.maxQueuedPerEndpoint = 3;
        return s;
    }());
    int answered = 0;
    int refused = 0;
    for (int i = 0; i < 6; ++i)
        small.send(callTo(to), [&](const http_result &r) {
            answered += r.outcome == http_outcome::answered ? 1 : 0;
            refused += r.outcome == http_outcome::not_connected ? 1 : 0;
        });
    EXPECT_TRUE(loop.runUntil([&] { return held.size() == 2 && refused == 1; }, testTimeout));
    EXPECT_EQ(small.connections(to), 2);
    for (std::size_t next = 0; next < 5; ++next) {
        EXPECT_TRUE(loop.runUntil([&] { return held.size() > next; }, testTimeout));
        EXPECT_LE(server->openRequests(), 2U);
        held[next].answer({});
    }
    EXPECT_TRUE(loop.runUntil([&] { return answered == 5; }, testTimeout));
}

TEST_F(http_test, CancelledCallIsNotReportedAndTheServerSeesTheDisconnect)
{
    int disconnects = 0;
    std::optional<http_responder> held;
    const ip_endpoint to = serve([&](const http_request &, const http_responder &responder) {
        responder.onDisconnect([&] { ++disconnects; });
        held = responder;
    });
    bool isReported = false;
    const http_call_id id
        = client.send(callTo(to), [&](const http_result &) { isReported = true; });
    EXPECT_TRUE(loop.runUntil([&] { return held.has_value(); }, testTimeout));
    EXPECT_EQ(server->openRequests(), 1U);
    client.cancel(id);
    EXPECT_TRUE(loop.runUntil([&] { return disconnects == 1; }, testTimeout));
    EXPECT_TRUE(held->isDisconnected());
    // A function that is set after the disconnect is called as well.
    held->onDisconnect([&] { ++disconnects; });
    EXPECT_TRUE(loop.runUntil([&] { return disconnects == 2; }, testTimeout));
    EXPECT_EQ(server->openRequests(), 0U);
    held->answer({});
    EXPECT_TRUE(loop.runUntil([&] { return server->openConnections() == 0; }, testTimeout));
    EXPECT_FALSE(isReported);
}

TEST_F(http_test, OversizedAnswersAreNoAnswer)
{
    const ip_endpoint to = serve([](const http_request &, const http_responder &r) {
        r.answer({200, "text/plain", {}, std::string(1001, 'x')});
    });
    http_call call = callTo(to);
    call.maxAnswerBytes = 1000;
    EXPECT_EQ(exchange(call).outcome, http_outcome::no_answer);
    call.maxAnswerBytes = 1001;
    EXPECT_EQ(exchange(call).outcome, http_outcome::answered);
}

TEST_F(http_test, StreamDeliversDataAsItArrivesAndReportsItsEnd)
{
    raw_connection *peer = nullptr;
    raw_server raw(loop, [&](raw_connection &c) {
        peer = &c;
        c.send("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\none\r\n");
    });
    std::string received;
    std::optional<http_result> end;
    client.stream(
        callTo(raw.endpoint), testTimeout, [&](std::string_view bytes) { received += bytes; },
        [&](const http_result &r) { end = r; });
    EXPECT_TRUE(loop.runUntil([&] { return received == "one"; }, testTimeout));
    peer->send("3\r\ntwo\r\n");
    EXPECT_TRUE(loop.runUntil([&] { return received == "onetwo"; }, testTimeout));
    EXPECT_FALSE(end);
    peer->close();
    EXPECT_TRUE(loop.runUntil([&] { return end.has_value(); }, testTimeout));
    EXPECT_EQ(end->outcome, http_outcome::no_answer);
}

TEST_F(http_test, StreamMayBeCancelledFromItsDataCallback)
{
    raw_server raw(loop, [&](raw_connection &c) {
        c.send("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\na\r\n1\r\nb\r\n");
    });
    std::string received;
    http_call_id id = 0;
    id = client.stream(
        callTo(raw.endpoint), testTimeout,
        [&](std::string_view bytes) {
            received += bytes;
            client.cancel(id);
        },
        [&](const http_result &) { received += "reported"; });
    EXPECT_TRUE(loop.runUntil(
        [&] { return !raw.connections.empty() && raw.connections[0]->isClosed; }, testTimeout));
    EXPECT_EQ(received, "a");
}
