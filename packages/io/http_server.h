/// Defines the HTTP/1.1 server of a process, on libevent's evhttp with every limit set.
#ifndef CROCUSWIND_IO_HTTP_SERVER_H
#define CROCUSWIND_IO_HTTP_SERVER_H

#include "endpoint.h"
#include "event_loop.h"
#include "http_message.h"
#include "tls_context.h"

#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <tl/expected.hpp>

namespace crocuswind {

/// Bounds of a server.
struct http_server_settings
{
    std::size_t maxHeaderBytes = 16 * 1024; ///< Request line and header; more is refused.
    /// A larger body is answered with 413 without being read, and the connection is closed. A
    /// caller that is still sending may see the connection reset instead of the answer.
    std::size_t maxBodyBytes = 1024 * 1024;
    std::size_t maxConnections = 1024; ///< At the limit, no further connection is accepted.
    /// A connection that has not taken in its last answer and delivered its next whole request in
    /// this time is closed, which covers idle connections, slow senders and slow readers alike. The
    /// time does not run while a request is being worked on.
    duration idleTimeout = 30s;
    std::shared_ptr<tls_context> tls; ///< Plain HTTP if null.
};

/// Answers one request, at once or later. Copies refer to the same request. If all copies go away
/// without an answer, the caller receives status 500.
class http_responder
{
public:
    /// Sends the answer. Only the first call has an effect, and none once the caller is gone.
    void answer(const http_response &response) const;

    /// Calls \p function if the caller's connection goes away before the answer. At most one
    /// function is kept. It is called from the loop, never from within this call, and also when the
    /// connection went away before this call.
    void onDisconnect(std::function<void()> function) const;

    /// Returns whether the caller's connection went away before the answer.
    bool isGone() const;

private:
    friend class http_server;
    struct state;
    explicit http_responder(std::shared_ptr<state> s);
    std::shared_ptr<state> m_state;
};

/// A server with one handler for all paths.
class http_server
{
public:
    /// Receives each whole request. May answer at once or keep the responder.
    using handler = std::function<void(http_request request, http_responder responder)>;

    http_server(event_loop &loop, http_server_settings settings, handler h);

    /// Closes all connections; requests not answered yet count as gone, without a notice.
    ~http_server();
    http_server(const http_server &) = delete;
    http_server &operator=(const http_server &) = delete;

    /// Listens on \p where; port 0 takes any free port. Returns the endpoint in use, or a message
    /// that names the address and the reason, for instance that the port is in use.
    tl::expected<ip_endpoint, std::string> listen(const ip_endpoint &where);

    /// Stops accepting connections, closes idle ones and answers what is still open or arrives on
    /// open connections with `connection: close`.
    void stopAccepting();

    /// Returns the number of requests handed out and not answered yet, whose caller is still there.
    std::size_t openRequests() const;

    /// Returns the number of open connections.
    std::size_t openConnections() const;

private:
    friend class http_responder;
    struct implementation;
    std::unique_ptr<implementation> m_implementation;
};

} // namespace crocuswind

#endif
