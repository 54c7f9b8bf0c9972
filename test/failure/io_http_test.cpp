// Guards against truncated responses that are accepted as complete, against calls that are reported
// as "not connected" although bytes may have been sent, and against peers that exceed the limits or
// disconnect.

#include "failure/io_raw_peer.h"

#include <algorithm>
#include <gtest/gtest.h>

using namespace crocuswind;

namespace {

bool allHaveInput(const std::vector<int> &sockets)
{
    return std::all_of(sockets.begin(), sockets.end(), hasUnreadInput);
}

struct http_test : testing::Test
{
    ip_endpoint serve(http_server::handler h, http_server_settings settings = {})
    {
        server = std::make_unique<http_server>(loop, settings, std::move(h));
        return *server->listen({"127.0.0.1", 0});
    }

    http_call callTo(const ip_endpoint &to, const std::string &body = "ping")
    {
        http_call call;
        call.to = to;
        call.path = "/run?x=1";
        call.body = body;
        call.deadline = loop.now() + testTimeout;
        return call;
    }

    http_result exchange(const http_call &call)
    {
        std::optional<http_result> result;
        client.send(call, [&](const http_result &r) { result = r; });
        EXPECT_TRUE(loop.runUntil([&] { return result.has_value(); }, testTimeout));
        return result.value_or(http_result());
    }

    // Sends a call to a raw server that answers with fixed bytes and then closes the connection.
    http_result answerWith(const std::string &bytes)
    {
        raw_server raw(loop, [&](raw_connection &c) {
            if (bytes.empty()) {
                c.close();
                return;
            }
            c.closeWhenSent();
            c.send(bytes);
        });
        return exchange(callTo(raw.endpoint));
    }

    event_loop loop;
    std::unique_ptr<http_server> server;
    http_client client{loop, {}};
};

} // namespace

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

TEST_F(http_test, PipelinedRequestsAreAnsweredInTurn)
{
    std::vector<http_responder> held;
    const ip_endpoint to = serve(
        [&](const http_request &, const http_responder &responder) { held.push_back(responder); });
    raw_connection caller(loop, to);
    caller.send("GET /a HTTP/1.1\r\nHost: x\r\n\r\nGET /b HTTP/1.1\r\nHost: x\r\n\r\n");
    EXPECT_TRUE(loop.runUntil([&] { return held.size() == 1; }, testTimeout));
    caller.send("GET /c HTTP/1.1\r\nHost: x\r\n\r\n");
    for (std::size_t next = 0; next < 3; ++next) {
        EXPECT_TRUE(loop.runUntil([&] { return held.size() > next; }, testTimeout));
        held[next].answer({200, "text/plain", {}, "answer"});
    }
    const auto count = [&] {
        std::size_t n = 0;
        for (auto at = caller.received.find("answer"); at != std::string::npos;
             at = caller.received.find("answer", at + 1))
            ++n;
        return n;
    };
    EXPECT_TRUE(loop.runUntil([&] { return count() == 3; }, testTimeout));
}

TEST_F(http_test, DestroyedResponderAnswers500)
{
    const ip_endpoint to = serve([](const http_request &, const http_responder &) {});
    EXPECT_EQ(exchange(callTo(to)).status, 500);
}

TEST_F(http_test, OversizedRequestsAreRefused)
{
    int handled = 0;
    http_server_settings settings;
    settings.maxBodyBytes = 1000;
    settings.maxHeaderBytes = 2000;
    const ip_endpoint to = serve(
        [&](const http_request &, const http_responder &r) {
            ++handled;
            r.answer({});
        },
        settings);
    EXPECT_EQ(exchange(callTo(to, std::string(1000, 'x'))).status, 200);
    EXPECT_EQ(exchange(callTo(to, std::string(1001, 'x'))).status, 413);
    http_call call = callTo(to);
    call.headers = {{"x-large", std::string(3000, 'x')}};
    const http_result result = exchange(call);
    EXPECT_TRUE(result.outcome == http_outcome::no_answer || result.status >= 400) << result.status;
    EXPECT_EQ(handled, 1);
}

TEST_F(http_test, ConflictingLengthsAreRefused)
{
    int handled = 0;
    const ip_endpoint to = serve([&](const http_request &, const http_responder &) { ++handled; });
    raw_connection caller(loop, to);
    caller.send(
        "POST / HTTP/1.1\r\nContent-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n");
    EXPECT_TRUE(loop.runUntil([&] { return caller.isClosed; }, testTimeout));
    EXPECT_EQ(caller.received.substr(0, 12), "HTTP/1.1 400");
    EXPECT_EQ(handled, 0);
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

TEST_F(http_test, SilentConnectionsAreClosed)
{
    http_server_settings settings;
    settings.idleTimeout = 100ms;
    const ip_endpoint to
        = serve([](const http_request &, const http_responder &r) { r.answer({}); }, settings);
    raw_connection silent(loop, to);
    raw_connection halfway(loop, to);
    halfway.send("GET / HTTP/1.1\r\nHo");
    EXPECT_TRUE(loop.runUntil([&] { return silent.isClosed && halfway.isClosed; }, testTimeout));
    EXPECT_TRUE(loop.runUntil([&] { return server->openConnections() == 0; }, testTimeout));
}

TEST_F(http_test, ConnectionsAboveTheLimitWaitUntilOneIsClosed)
{
    int handled = 0;
    http_server_settings settings;
    settings.maxConnections = 2;
    const ip_endpoint to = serve(
        [&](const http_request &, const http_responder &r) {
            ++handled;
            r.answer({});
        },
        settings);
    auto first = std::make_unique<raw_connection>(loop, to);
    raw_connection second(loop, to);
    EXPECT_TRUE(loop.runUntil([&] { return server->openConnections() == 2; }, testTimeout));
    std::optional<http_result> result;
    client.send(callTo(to), [&](const http_result &r) { result = r; });
    second.send("GET / HTTP/1.1\r\nHost: x\r\n\r\n");
    EXPECT_TRUE(loop.runUntil([&] { return handled == 1; }, testTimeout));
    EXPECT_EQ(server->openConnections(), 2U);
    EXPECT_FALSE(result);
    first.reset();
    EXPECT_TRUE(loop.runUntil([&] { return result.has_value(); }, testTimeout));
    EXPECT_EQ(result->status, 200);
}

TEST_F(http_test, DrainingServerFinishesOpenRequestsAndAcceptsNoConnection)
{
    std::optional<http_responder> held;
    const ip_endpoint to
        = serve([&](const http_request &, const http_responder &responder) { held = responder; });
    raw_connection idle(loop, to);
    std::optional<http_result> result;
    client.send(callTo(to), [&](const http_result &r) { result = r; });
    EXPECT_TRUE(loop.runUntil([&] { return held && server->openConnections() == 2; }, testTimeout));
    server->stopAccepting();
    EXPECT_TRUE(loop.runUntil([&] { return idle.isClosed; }, testTimeout));
    EXPECT_EQ(server->openRequests(), 1U);
    held->answer({200, "text/plain", {}, "last"});
    EXPECT_TRUE(loop.runUntil([&] { return result.has_value(); }, testTimeout));
    EXPECT_EQ(result->body, "last");
    EXPECT_EQ(headerValue(result->headers, "connection"), "close");
    EXPECT_EQ(exchange(callTo(to)).outcome, http_outcome::not_connected);
}

// A process ended as soon as its last request was answered, before the answer was written.
TEST_F(http_test, ServerIsNotIdleUntilItsAnswersAreWritten)
{
    std::optional<http_responder> held;
    const ip_endpoint to
        = serve([&](const http_request &, const http_responder &responder) { held = responder; });
    std::optional<http_result> result;
    client.send(callTo(to), [&](const http_result &r) { result = r; });
    EXPECT_TRUE(loop.runUntil([&] { return held.has_value(); }, testTimeout));
    EXPECT_FALSE(server->isIdle());
    server->stopAccepting();
    held->answer({200, "text/plain", {}, "last"});
    EXPECT_EQ(server->openRequests(), 0U);
    EXPECT_FALSE(server->isIdle());
    EXPECT_TRUE(loop.runUntil([&] { return server->isIdle(); }, testTimeout));
    server.reset();
    EXPECT_TRUE(loop.runUntil([&] { return result.has_value(); }, testTimeout));
    EXPECT_EQ(result->body, "last");
}

// A client that is gone takes no answer.
TEST_F(http_test, ServerIsIdleOnceAClientThatReadsNothingIsGone)
{
    const std::string body(8 << 20, 'x');
    const ip_endpoint to = serve([&](const http_request &, const http_responder &responder) {
        responder.answer({200, "text/plain", {}, body});
    });
    auto reader = std::make_unique<raw_connection>(loop, to);
    reader->send("GET / HTTP/1.1\r\nHost: x\r\n\r\n");
    EXPECT_TRUE(loop.runUntil([&] { return !server->isIdle(); }, testTimeout));
    reader.reset();
    EXPECT_TRUE(loop.runUntil([&] { return server->isIdle(); }, testTimeout));
}

TEST_F(http_test, PortInUseIsReportedWithTheEndpoint)
{
    const ip_endpoint to = serve([](const http_request &, const http_responder &) {});
    http_server second(loop, {}, [](const http_request &, const http_responder &) {});
    const auto listening = second.listen(to);
    ASSERT_FALSE(listening);
    EXPECT_NE(listening.error().find(toString(to)), std::string::npos);
    EXPECT_NE(listening.error().find("in use"), std::string::npos);
}

TEST_F(http_test, ServerMayBeDestroyedBeforeItsResponders)
{
    std::optional<http_responder> held;
    const ip_endpoint to
        = serve([&](const http_request &, const http_responder &responder) { held = responder; });
    std::optional<http_result> result;
    client.send(callTo(to), [&](const http_result &r) { result = r; });
    EXPECT_TRUE(loop.runUntil([&] { return held.has_value(); }, testTimeout));
    server.reset();
    held->answer({});
    EXPECT_TRUE(loop.runUntil([&] { return result.has_value(); }, testTimeout));
    EXPECT_EQ(result->outcome, http_outcome::no_answer);
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
