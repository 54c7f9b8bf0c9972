// Guards against clients that exceed the limits of the server, keep it from draining or disconnect,
// and against requests that it loses, mixes up or leaves without an answer.

#include "failure/io_http_exchange.h"

#include <gtest/gtest.h>

using namespace crocuswind;

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
    settings.limits.maxConnections = 2;
    settings.limits.minimumStay = 3600s; // No idle connection makes way.
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
