/// Defines a fixture with an HTTP client and a server in one loop, which exchange calls over
/// loopback.
#ifndef CROCUSWIND_TEST_IO_HTTP_EXCHANGE_H
#define CROCUSWIND_TEST_IO_HTTP_EXCHANGE_H

#include "failure/io_raw_peer.h"

#include <gtest/gtest.h>
#include <memory>
#include <optional>
#include <string>

namespace crocuswind {

/// A client, and a server that a test starts if it needs one.
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

} // namespace crocuswind

#endif
